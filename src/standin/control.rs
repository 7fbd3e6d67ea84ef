//! Client and server of a stand-in member's control protocol: HTTP with MessagePack.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{ConnectInfo, Request as HttpRequest, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

use super::faults::{Faults, Gate};
use super::member::{Batch, Member};
use crate::borders::member::Fence;
use crate::borders::member::{
    Member as MemberControl, MemberError, Members, Order, Status, Stream,
};
use crate::declarations::resource::{Address, Member as DeclaredMember};
use crate::http::{Client, HttpError};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a primary waits for new entries before it answers with an empty batch, as a
/// heartbeat.
const SHIP_POLL_WAIT: Duration = Duration::from_millis(150);
const SHIP_TIMEOUT: Duration = Duration::from_millis(600);
const SHIP_RETRY_DELAY: Duration = Duration::from_millis(30);

#[derive(Serialize, Deserialize)]
enum Request {
    Status,
    Fence {
        term: u64,
    },
    Promote {
        term: u64,
    },
    Follow {
        term: u64,
        primary: Address,
    },
    /// Requests the entries after the first `from` entries.
    Ship {
        term: u64,
        from: u64,
    },
}

#[derive(Serialize, Deserialize)]
enum Reply {
    Status(Status),
    Batch(Batch),
    Fenced { promised: u64 },
    Failed(String),
}

/// Serves a member's control port until the listener fails.
pub async fn serve(member: Arc<Member>, listener: TcpListener) -> std::io::Result<()> {
    let gated = Router::new()
        .route("/control", post(handle_control))
        .layer(from_fn_with_state(member.gate.clone(), apply_faults))
        .with_state(member.clone());
    let faults = faults_router(member.gate.clone());
    let lag = Router::new()
        .route("/lag", post(set_lag))
        .with_state(member);
    let router = gated.merge(faults).merge(lag);
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    axum::serve(listener, service).await
}

/// Returns the router of `/faults`, to which no faults apply.
pub fn faults_router(gate: Gate) -> Router {
    Router::new()
        .route("/faults", get(get_faults).post(set_faults))
        .with_state(gate)
}

async fn get_faults(State(gate): State<Gate>) -> axum::Json<Faults> {
    axum::Json(gate.get())
}

async fn set_faults(State(gate): State<Gate>, axum::Json(faults): axum::Json<Faults>) {
    gate.set(faults);
}

async fn set_lag(State(member): State<Arc<Member>>, axum::Json(ms): axum::Json<u64>) {
    member.state().lag = Duration::from_millis(ms);
}

/// Applies the current faults to a request and its answer.
pub async fn apply_faults(
    State(gate): State<Gate>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    request: HttpRequest,
    next: Next,
) -> Response {
    gate.enter(peer.ip()).await;
    if gate.get().refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let response = next.run(request).await;
    gate.leave(peer.ip()).await;
    response
}

async fn handle_control(State(member): State<Arc<Member>>, body: Bytes) -> Response {
    let Ok(request) = rmp_serde::from_slice(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let result = match request {
        Request::Status => Ok(Reply::Status(member.state().status())),
        Request::Fence { term } => member.fence(term).map(Reply::Status),
        Request::Promote { term } => member.promote(term).await.map(Reply::Status),
        Request::Follow { term, primary } => member.follow(term, primary).map(Reply::Status),
        Request::Ship { term, from } => member
            .ship(term, from, SHIP_POLL_WAIT)
            .await
            .map(Reply::Batch),
    };
    let reply = result.unwrap_or_else(|error| match error {
        MemberError::Fenced { promised } => Reply::Fenced { promised },
        other => Reply::Failed(other.to_string()),
    });
    rmp_serde::to_vec(&reply)
        .expect("a reply is plain data")
        .into_response()
}

/// Control client of one member.
pub struct Remote {
    client: Client,
    address: Address,
    source: IpAddr,
}

impl Remote {
    async fn call(&self, request: &Request, timeout: Duration) -> Result<Reply, MemberError> {
        let body = rmp_serde::to_vec(request).expect("a request is plain data");
        let answer = self
            .client
            .post(&self.address.control, "/control", body, timeout);
        let bytes = answer.await.map_err(|error| match error {
            HttpError::Unsent(_) | HttpError::Failed(_) => MemberError::Broken,
            HttpError::TimedOut | HttpError::Incomplete { .. } => MemberError::TimedOut,
            HttpError::Status { code, .. } => MemberError::InvalidAnswer(format!("status {code}")),
        })?;
        let reply = rmp_serde::from_slice(&bytes)
            .map_err(|error| MemberError::InvalidAnswer(error.to_string()))?;
        match reply {
            Reply::Fenced { promised } => Err(MemberError::Fenced { promised }),
            Reply::Failed(why) => Err(MemberError::InvalidAnswer(why)),
            other => Ok(other),
        }
    }

    async fn call_for_status(&self, request: &Request) -> Result<Status, MemberError> {
        match self.call(request, ANSWER_TIMEOUT).await? {
            Reply::Status(status) => Ok(status),
            _ => Err(MemberError::InvalidAnswer("not a status".to_owned())),
        }
    }
}

#[async_trait(?Send)]
impl MemberControl for Remote {
    async fn status(&self) -> Result<Status, MemberError> {
        self.call_for_status(&Request::Status).await
    }

    async fn fence(&self, fence: &Fence) -> Result<Status, MemberError> {
        let term = fence.term;
        self.call_for_status(&Request::Fence { term }).await
    }

    async fn promote(
        &self,
        term: u64,
        _: &Order,
        _: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError> {
        self.call_for_status(&Request::Promote { term }).await
    }

    async fn follow(&self, term: u64, primary: &Address) -> Result<Status, MemberError> {
        let primary = primary.clone();
        self.call_for_status(&Request::Follow { term, primary })
            .await
    }

    async fn wait_until_gone(&self) {
        let Ok(address) = self.address.control.parse::<SocketAddr>() else {
            return;
        };
        let Ok(socket) = TcpSocket::new_v4() else {
            return;
        };
        let _ = socket.bind(SocketAddr::new(self.source, 0));
        // The connection is idle until the member's process ends.
        if let Ok(mut stream) = socket.connect(address).await {
            let _ = stream.read_u8().await;
        }
    }
}

/// Creates control clients that connect from one local address.
pub struct Remotes {
    pub client: Client,
    pub source: IpAddr,
}

impl Members for Remotes {
    fn member(&self, declared: &DeclaredMember) -> Rc<dyn MemberControl> {
        Rc::new(Remote {
            client: self.client.clone(),
            address: declared.address.clone(),
            source: self.source,
        })
    }
}

/// Fetches entries from the primary that the member follows. Never returns.
pub async fn replicate(member: Arc<Member>) {
    let client = Client::new(member.settings.ip);
    loop {
        let (term, from, primary) = {
            let state = member.state();
            (
                state.promised,
                state.last_position().index,
                state.primary.clone(),
            )
        };
        let Some(address) = primary else {
            let _ = tokio::time::timeout(SHIP_POLL_WAIT, member.primary_changed.notified()).await;
            continue;
        };
        member.gate.enter(member.settings.ip).await;
        let remote = Remote {
            client: client.clone(),
            address,
            source: member.settings.ip,
        };
        let request = Request::Ship { term, from };
        let shipped = tokio::select! {
            shipped = remote.call(&request, SHIP_TIMEOUT) => shipped,
            () = member.primary_changed.notified() => continue,
        };
        if !receive_shipped(&member, shipped).await {
            tokio::time::sleep(SHIP_RETRY_DELAY).await;
        }
    }
}

/// Stores the answer to a `Ship` request. Returns false if the next request should be delayed.
async fn receive_shipped(member: &Arc<Member>, shipped: Result<Reply, MemberError>) -> bool {
    match shipped {
        Ok(Reply::Batch(batch)) => {
            let _ = member.receive(batch).await;
            true
        }
        Err(MemberError::Broken) => {
            member.state().stream = Stream::Broken;
            false
        }
        _ => false,
    }
}

/// Applies received entries once the replication lag has passed. Never returns.
pub async fn apply_entries(member: Arc<Member>) {
    loop {
        let wait = match member.apply_due().await {
            Some(wait) => wait.min(Duration::from_millis(5)),
            None => Duration::from_millis(1),
        };
        tokio::time::sleep(wait).await;
    }
}
