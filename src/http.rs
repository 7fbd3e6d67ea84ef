//! A small HTTP client with a fixed local address and a timeout for each call.

pub mod exclusive;

use std::net::IpAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after which an unused connection in the pool is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for opening a connection. It covers several round trips, but no retransmission of a
/// lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time before the first TCP keepalive probe, and the interval between probes. The kernel
/// accepts whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed. With three, detecting a dead long poll
/// and repeating it would exceed the four seconds within which a box must learn of a change.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection is closed if the other end no longer responds.
pub const DEAD_CONNECTION_TIMEOUT: Duration =
    KEEPALIVE_INTERVAL.saturating_mul(1 + KEEPALIVE_PROBES);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection was opened, so nothing was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    #[error("connection refused or reset: {0}")]
    Failed(String),
    #[error("no answer in time")]
    TimedOut,
    /// The rest of the body did not arrive in time.
    #[error("answer incomplete in time: {received} bytes of its body arrived")]
    Incomplete { received: usize },
    #[error("status {code}: {body}")]
    Status { code: u16, body: String },
}

/// A response with any status.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When the head of the response arrived. The body of a large one arrives much later.
    pub arrived: Instant,
}

impl Answer {
    /// Returns the body if the status is 200, or [`HttpError::Status`].
    pub fn into_success(self) -> Result<Bytes, HttpError> {
        self.check_status().map(|answer| answer.body)
    }

    /// Returns the response if its status is 200, or [`HttpError::Status`].
    pub fn check_status(self) -> Result<Self, HttpError> {
        if self.status == StatusCode::OK {
            return Ok(self);
        }
        Err(HttpError::Status {
            code: self.status.as_u16(),
            body: String::from_utf8_lossy(&self.body).into_owned(),
        })
    }
}

/// An HTTP client that pools connections to any number of servers.
///
/// A response that a server repeats while its connection is idle closes the connection. One that is
/// repeated after the next request was sent can't be told from that request's own response. Calls
/// whose responses must not be confused have separate pools, or none.
#[derive(Clone)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
    connector: HttpConnector,
}

/// A request with its timeout.
pub struct Call<'a> {
    pub method: Method,
    /// `IP:port`.
    pub address: &'a str,
    pub path: &'a str,
    pub bearer: Option<&'a str>,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub timeout: Duration,
    /// If set, `timeout` ends with the first part of the response's body: the transfer then takes as
    /// long as it needs, but is given up once no data has arrived for this time.
    pub stall_timeout: Option<Duration>,
    /// Receives the number of bytes of the body that have arrived.
    pub progress: Option<&'a watch::Sender<usize>>,
}

impl<'a> Call<'a> {
    /// Creates a GET request.
    pub fn get(address: &'a str, path: &'a str, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            address,
            path,
            bearer: None,
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
            stall_timeout: None,
            progress: None,
        }
    }

    /// Creates a POST request.
    pub fn post(address: &'a str, path: &'a str, body: Vec<u8>, timeout: Duration) -> Self {
        Self {
            method: Method::POST,
            body,
            ..Self::get(address, path, timeout)
        }
    }
}

impl Client {
    /// Creates a client that connects from the address `from`.
    pub fn new(from: IpAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A partition closes no connections. Without probes, each call over a dead connection
        // would last until its timeout.
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_local_address(Some(from));
        Self::with_idle_connections(connector, usize::MAX)
    }

    /// Returns a client like this one with a pool of its own.
    pub fn separate(&self) -> Self {
        Self::with_idle_connections(self.connector.clone(), usize::MAX)
    }

    /// Returns a client like this one that opens a connection for each call.
    pub fn unpooled(&self) -> Self {
        Self::with_idle_connections(self.connector.clone(), 0)
    }

    /// Creates a client that keeps at most this many idle connections to a server.
    fn with_idle_connections(connector: HttpConnector, count: usize) -> Self {
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(count)
            .build(connector.clone());
        Self { inner, connector }
    }

    pub async fn post(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        self.call(Call::post(address, path, body, timeout)).await
    }

    pub async fn get(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        self.call(Call::get(address, path, timeout)).await
    }

    /// Sends a request and returns the body of a successful response.
    pub async fn call(&self, call: Call<'_>) -> Result<Bytes, HttpError> {
        self.send(call).await?.into_success()
    }

    /// Sends a request and returns the response, whatever its status.
    pub async fn send(&self, call: Call<'_>) -> Result<Answer, HttpError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        if let Some(bearer) = call.bearer {
            request = request.header(AUTHORIZATION, format!("Bearer {bearer}"));
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| HttpError::Failed(error.to_string()))?;
        let expired = tokio::time::sleep(call.timeout);
        tokio::pin!(expired);
        let response = tokio::select! {
            biased;
            response = self.inner.request(request) => response,
            () = &mut expired => return Err(HttpError::TimedOut),
        };
        let response = response.map_err(|error| match error.is_connect() {
            true => HttpError::Unsent(error.to_string()),
            false => failed(&error),
        })?;
        let arrived = Instant::now();
        let (head, mut rest) = response.into_parts();
        let mut body = BytesMut::new();
        loop {
            let part = tokio::select! {
                biased;
                part = next_part(&mut rest) => part?,
                () = &mut expired => return Err(HttpError::Incomplete { received: body.len() }),
            };
            let Some(part) = part else { break };
            body.extend_from_slice(&part);
            if let Some(progress) = call.progress {
                progress.send_replace(body.len());
            }
            if let Some(stall_timeout) = call.stall_timeout {
                expired.as_mut().reset(Instant::now() + stall_timeout);
            }
        }
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.freeze(),
            arrived,
        })
    }
}

/// Returns the next part of a body; none at its end.
async fn next_part(body: &mut Incoming) -> Result<Option<Bytes>, HttpError> {
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.map_err(|error| failed(&error))?.into_data() {
            return Ok(Some(part));
        }
    }
    Ok(None)
}

fn failed(error: &dyn std::fmt::Display) -> HttpError {
    HttpError::Failed(error.to_string())
}
