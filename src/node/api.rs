//! The box's HTTP server: the resource API for operators, the endpoints for peers, readiness,
//! metrics and a dump of the box's state.

mod resources;

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use prometheus::Registry;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use super::configuration;
use super::exchange::{Exchange, Failure, Reply};
use super::message::{Dump, Message, Sender};
use super::registrar::{self, Join};
use super::updates::Update;
use super::{follow, limits, peers};
use crate::borders::roster::Listing;
use crate::borders::table::{Commit, Revision, TableError, Verdict};
use crate::decisions::limit::Loan;
use crate::decisions::readers::choose_readers_by_domain;

use crate::declarations::snapshot::Snapshot;
use crate::metrics;

/// Work that is passed from the HTTP server to the thread that runs the box.
pub enum Work {
    Serve(Box<Exchange>, oneshot::Sender<Result<Reply, Failure>>),
    /// Rolls back the transaction on the pinned connection with this id.
    AbandonTransaction(u64),
    Lend(limits::LoanRequest, oneshot::Sender<Option<Loan>>),
    Commit(Commit, oneshot::Sender<Result<Verdict, TableError>>),
}

/// State that the handlers share.
pub struct Api {
    pub name: Arc<str>,
    /// Hash of the administrator's token, which may declare partners.
    pub admin_hash: Option<Arc<str>>,
    pub decisions: Sender,
    pub configuration: configuration::Sender,
    pub work: mpsc::UnboundedSender<Work>,
    pub readers: Readers,
    /// Boxes that join the list of boxes through this one.
    pub joins: registrar::Sender,
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    pub boxes: watch::Receiver<Arc<[Listing]>>,
    pub shutting_down: watch::Receiver<bool>,
    pub registry: Registry,
    /// Number that makes the nonce of the next commit unique.
    pub next_nonce: AtomicU64,
}

/// Readers by failure domain, chosen once for each list of boxes.
#[derive(Default)]
pub struct Readers {
    chosen: Mutex<Chosen>,
}

#[derive(Default)]
struct Chosen {
    boxes: Arc<[Listing]>,
    readers: HashMap<Arc<str>, Vec<Listing>>,
}

impl Readers {
    fn of(&self, boxes: &Arc<[Listing]>, domain: &str) -> Vec<Listing> {
        let mut chosen = self.chosen.lock().expect("no holder panics");
        if !Arc::ptr_eq(&chosen.boxes, boxes) {
            *chosen = Chosen {
                boxes: boxes.clone(),
                readers: choose_readers_by_domain(boxes),
            };
        }
        chosen.readers.get(domain).cloned().unwrap_or_default()
    }
}

/// Time that a box which asks for readers waits for the list of boxes to be known.
const LIST_WAIT: Duration = Duration::from_millis(250);

type Shared = State<Arc<Api>>;

/// Serves the whole API until the listener fails.
pub async fn serve(api: Arc<Api>, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new()
        .route(peers::EXCHANGE, post(exchange))
        .route(peers::ABANDON, post(abandon))
        .route(peers::OPINION, post(opinion))
        .route(peers::REACH, post(reach))
        .route(peers::LIVE_MEMBERS, post(live_members))
        .route(peers::REVOKE, post(revoke))
        .route(peers::UPDATE, post(update))
        .route(peers::SCAN, post(scan))
        .route(peers::BOXES, post(boxes))
        .route(peers::FOLLOW, post(follow))
        .route(peers::BORROW, post(borrow))
        .route(peers::ALERT, post(alert))
        .route(peers::JOIN, post(join))
        .route(peers::READERS, post(readers))
        .route("/v1/resources", get(resources::list).post(resources::apply))
        .route(
            "/v1/resources/{*key}",
            get(resources::show)
                .put(resources::put)
                .delete(resources::delete),
        )
        .route("/v1/watch", get(resources::watch_changes))
        .route("/ready", get(ready))
        .route("/revision", get(revision))
        .route("/metrics", get(metrics_text))
        .route("/dump", get(dump))
        .with_state(api);
    axum::serve(listener, router).await
}

/// Serves only the metrics until the listener fails.
pub async fn serve_metrics(registry: Registry, listener: TcpListener) -> std::io::Result<()> {
    let text = move || async move { metrics::render(&registry) };
    axum::serve(listener, Router::new().route("/metrics", get(text))).await
}

// Endpoints for peers.

fn pack<T: Serialize>(value: &T) -> Response {
    let bytes = rmp_serde::to_vec(value).expect("messages can be serialized");
    bytes.into_response()
}

fn unpack<T: DeserializeOwned>(body: &Bytes) -> Result<T, StatusCode> {
    rmp_serde::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

async fn exchange(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let exchange: Box<Exchange> = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api.work.send(Work::Serve(exchange, reply));
    let answer = answer.await.unwrap_or(Err(Failure::NotOwner));
    Ok(pack(&answer))
}

async fn abandon(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let _ = api.work.send(Work::AbandonTransaction(unpack(&body)?));
    Ok(pack(&()))
}

async fn opinion(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let (group, term) = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api
        .decisions
        .send(Message::QueryOpinion { group, term, reply });
    Ok(pack(&answer.await.ok().flatten()))
}

async fn reach(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let group = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api.decisions.send(Message::QueryMajority { group, reply });
    Ok(pack(&answer.await.ok().flatten()))
}

async fn live_members(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let group = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api
        .decisions
        .send(Message::QueryLiveMembers { group, reply });
    Ok(pack(&answer.await.ok().flatten()))
}

async fn revoke(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let group = unpack(&body)?;
    let (reply, revoked) = oneshot::channel();
    let _ = api.decisions.send(Message::RevokeLease { group, reply });
    let revoked = revoked.await;
    let revoked = revoked.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(pack(&revoked))
}

async fn alert(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let from = unpack(&body)?;
    let _ = api.decisions.send(Message::AlertReceived { from });
    Ok(pack(&()))
}

async fn borrow(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let request = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api.work.send(Work::Lend(request, reply));
    Ok(pack(&answer.await.ok().flatten()))
}

async fn join(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let listing = unpack(&body)?;
    let (reply, welcome) = oneshot::channel();
    let _ = api.joins.send(Join { listing, reply });
    let welcome = welcome.await;
    let welcome = welcome.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(pack(&welcome))
}

/// Returns the readers of a failure domain, once this box knows the list of boxes.
async fn readers(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let domain: Arc<str> = unpack(&body)?;
    let mut boxes = api.boxes.clone();
    let listed = boxes.wait_for(|boxes| !boxes.is_empty());
    let listed = tokio::time::timeout(LIST_WAIT, listed).await;
    let listed = listed.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let listed = listed.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let readers = api.readers.of(&listed, &domain);
    Ok(pack(&readers))
}

async fn follow(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let request = unpack(&body)?;
    let (snapshot, boxes) = (api.snapshot.clone(), api.boxes.clone());
    let answer = follow::answer_follower(request, &api.configuration, snapshot, boxes).await;
    let answer = answer.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Response::new(answer.into()))
}

async fn update(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let update: Update = unpack(&body)?;
    let _ = api
        .configuration
        .send(configuration::Request::Update(update));
    Ok(pack(&()))
}

async fn scan(State(api): Shared, body: Bytes) -> Result<Response, StatusCode> {
    let request = unpack(&body)?;
    let (reply, answer) = oneshot::channel();
    let _ = api
        .configuration
        .send(configuration::Request::PeerScan { request, reply });
    let scan = answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Response::new(scan.into()))
}

async fn boxes(State(api): Shared) -> Response {
    pack(&api.boxes.borrow().to_vec())
}

// Endpoints for operators' tools.

async fn ready(State(api): Shared) -> (StatusCode, &'static str) {
    if *api.shutting_down.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if api.snapshot.borrow().revision == Revision::NONE {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    (StatusCode::OK, "ready\n")
}

/// Returns the revision in force on this box.
async fn revision(State(api): Shared) -> Json<Revision> {
    Json(api.snapshot.borrow().revision)
}

async fn metrics_text(State(api): Shared) -> String {
    metrics::render(&api.registry)
}

async fn dump(State(api): Shared) -> Json<Value> {
    let (reply, answer) = oneshot::channel();
    let _ = api.decisions.send(Message::Dump(reply));
    let Dump {
        callers,
        idle_connections,
        resting,
        groups,
    } = answer.await.unwrap_or_default();
    let revision = api.snapshot.borrow().revision;
    let boxes = api.boxes.borrow().to_vec();
    Json(json!({
        "box": api.name,
        "revision": revision,
        "leaving": *api.shutting_down.borrow(),
        "boxes": boxes,
        "callers": callers,
        "idle_connections": idle_connections,
        "resting": resting,
        "groups": groups,
    }))
}
