//! Border to the callers.

use std::rc::Rc;

use async_trait::async_trait;
use tokio::net::TcpListener;

use super::context::Context;
use super::owner::Owner;

/// Accepts and serves the callers of one protocol.
#[async_trait(?Send)]
pub trait Entry {
    /// Serves callers until the listener fails or the box shuts down.
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()>;
}
