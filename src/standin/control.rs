//! The control protocol of a stand-in member, both ends: HTTP with `rmp-serde`.

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
use crate::borders::member::{Member as Border, MemberError, Members, Order, Status, Stream};
use crate::declarations::resource::{Address, Member as Declared};
use crate::http::{Client, HttpError};

const ANSWER_WAIT: Duration = Duration::from_secs(1);
const SHIP_HOLD: Duration = Duration::from_millis(150);
const SHIP_WAIT: Duration = Duration::from_millis(600);
const SHIP_RETRY: Duration = Duration::from_millis(30);

#[derive(Serialize, Deserialize)]
enum Request {
    Status,
    Fence { term: u64 },
    Promote { term: u64 },
    Follow { term: u64, primary: Address },
    Ship { term: u64, from: u64 },
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
        .route("/control", post(control))
        .layer(from_fn_with_state(member.gate.clone(), through_gate))
        .with_state(member.clone());
    let faults = faults_router(member.gate.clone());
    let lag = Router::new()
        .route("/lag", post(set_lag))
        .with_state(member);
    let router = gated.merge(faults).merge(lag);
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    axum::serve(listener, service).await
}

/// `GET` and `POST /faults`, which pass no gate.
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

/// Brings about the switched faults around a request.
pub async fn through_gate(
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

async fn control(State(member): State<Arc<Member>>, body: Bytes) -> Response {
    let Ok(request) = rmp_serde::from_slice(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let done = match request {
        Request::Status => Ok(Reply::Status(member.state().status())),
        Request::Fence { term } => member.fence(term).map(Reply::Status),
        Request::Promote { term } => member.promote(term).await.map(Reply::Status),
        Request::Follow { term, primary } => member.follow(term, primary).map(Reply::Status),
        Request::Ship { term, from } => member.ship(term, from, SHIP_HOLD).await.map(Reply::Batch),
    };
    let reply = done.unwrap_or_else(|error| match error {
        MemberError::Fenced { promised } => Reply::Fenced { promised },
        other => Reply::Failed(other.to_string()),
    });
    rmp_serde::to_vec(&reply)
        .expect("a reply is plain data")
        .into_response()
}

/// The caller's end of the control protocol.
pub struct Remote {
    client: Client,
    address: Address,
    from: IpAddr,
}

impl Remote {
    async fn call(&self, request: &Request, wait: Duration) -> Result<Reply, MemberError> {
        let body = rmp_serde::to_vec(request).expect("a request is plain data");
        let sent = self
            .client
            .post(&self.address.control, "/control", body, wait);
        let bytes = sent.await.map_err(|error| match error {
            HttpError::Unsent(_) | HttpError::Broken(_) => MemberError::Broken,
            HttpError::Late => MemberError::TimedOut,
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

    async fn status_of(&self, request: &Request) -> Result<Status, MemberError> {
        match self.call(request, ANSWER_WAIT).await? {
            Reply::Status(status) => Ok(status),
            _ => Err(MemberError::InvalidAnswer("not a status".to_owned())),
        }
    }
}

#[async_trait(?Send)]
impl Border for Remote {
    async fn status(&self) -> Result<Status, MemberError> {
        self.status_of(&Request::Status).await
    }

    async fn fence(&self, bid: &Fence) -> Result<Status, MemberError> {
        let term = bid.term;
        self.status_of(&Request::Fence { term }).await
    }

    async fn promote(
        &self,
        term: u64,
        _: &Order,
        _: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError> {
        self.status_of(&Request::Promote { term }).await
    }

    async fn follow(&self, term: u64, primary: &Address) -> Result<Status, MemberError> {
        let primary = primary.clone();
        self.status_of(&Request::Follow { term, primary }).await
    }

    async fn wait_until_gone(&self) {
        let Ok(address) = self.address.control.parse::<SocketAddr>() else {
            return;
        };
        let Ok(socket) = TcpSocket::new_v4() else {
            return;
        };
        let _ = socket.bind(SocketAddr::new(self.from, 0));
        if let Ok(mut stream) = socket.connect(address).await {
            let _ = stream.read_u8().await;
        }
    }
}

/// Makes control ends that call from one address.
pub struct Remotes {
    pub client: Client,
    pub from: IpAddr,
}

impl Members for Remotes {
    fn member(&self, declared: &Declared) -> Rc<dyn Border> {
        Rc::new(Remote {
            client: self.client.clone(),
            address: declared.address.clone(),
            from: self.from,
        })
    }
}

/// Takes entries from the primary this member follows, for as long as it lives.
pub async fn replicate(member: Arc<Member>) {
    let client = Client::new(member.settings.ip);
    loop {
        let (term, from, primary) = {
            let state = member.state();
            (state.promised, state.last().index, state.primary.clone())
        };
        let Some(address) = primary else {
            let _ = tokio::time::timeout(SHIP_HOLD, member.refollow.notified()).await;
            continue;
        };
        member.gate.enter(member.settings.ip).await;
        let remote = Remote {
            client: client.clone(),
            address,
            from: member.settings.ip,
        };
        let request = Request::Ship { term, from };
        let shipped = tokio::select! {
            shipped = remote.call(&request, SHIP_WAIT) => shipped,
            () = member.refollow.notified() => continue,
        };
        if !took(&member, shipped).await {
            tokio::time::sleep(SHIP_RETRY).await;
        }
    }
}

async fn took(member: &Arc<Member>, shipped: Result<Reply, MemberError>) -> bool {
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

/// Applies received entries when their lag is over, for as long as the member lives.
pub async fn apply_entries(member: Arc<Member>) {
    loop {
        let wait = match member.apply_due().await {
            Some(wait) => wait.min(Duration::from_millis(5)),
            None => Duration::from_millis(1),
        };
        tokio::time::sleep(wait).await;
    }
}
