//! Readiness endpoint that tells the balancer whether this box takes callers.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves the endpoint until the listener fails.
pub async fn serve(listener: TcpListener, ready: watch::Receiver<bool>) -> std::io::Result<()> {
    let router = Router::new()
        .route("/v1/readyz", get(readiness))
        .with_state(Arc::new(ready));
    axum::serve(listener, router).await
}

async fn readiness(State(ready): State<Arc<watch::Receiver<bool>>>) -> StatusCode {
    match *ready.borrow() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
