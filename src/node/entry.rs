//! Border to the callers: a codec takes their connections and serves them.

use std::rc::Rc;

use async_trait::async_trait;
use tokio::net::TcpListener;

use super::context::Context;
use super::owner::Owner;

/// Takes callers of one protocol.
#[async_trait(?Send)]
pub trait Entry {
    /// Serves until the listener fails or the box has left.
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()>;
}
