//! A small HTTP client that calls from one address and waits no longer than told.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const IDLE: Duration = Duration::from_secs(20);
/// Time for a new connection: a few ways there and back, and no lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Rest after which the other end is probed, and time between two probes: whole seconds,
/// as the kernel counts them.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer. With a third, a silent wait for changes and its retry would
/// outlast the four seconds after which a box has to know every change.
const KEEPALIVE_TRIES: u32 = 2;
/// Time after which an open connection is given up whose other end says nothing more.
pub const DEAD_CONNECTION_TIMEOUT: Duration = KEEPALIVE.saturating_mul(1 + KEEPALIVE_TRIES);

/// Why a call has no body to show.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    #[error("connection refused or reset: {0}")]
    Failed(String),
    #[error("no answer in time")]
    TimedOut,
    #[error("status {code}: {body}")]
    Status { code: u16, body: String },
}

/// An answer of any status.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The body, if the call was done.
    pub fn into_success(self) -> Result<Bytes, HttpError> {
        if self.status == StatusCode::OK {
            return Ok(self.body);
        }
        Err(HttpError::Status {
            code: self.status.as_u16(),
            body: String::from_utf8_lossy(&self.body).into_owned(),
        })
    }
}

/// Pooled connections to any number of servers.
#[derive(Clone)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

/// A call in parts.
pub struct Call<'a> {
    pub method: Method,
    /// `IP:port`.
    pub address: &'a str,
    pub path: &'a str,
    pub bearer: Option<&'a str>,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

impl<'a> Call<'a> {
    /// A question without a body.
    pub fn get(address: &'a str, path: &'a str, wait: Duration) -> Self {
        Self {
            method: Method::GET,
            address,
            path,
            bearer: None,
            headers: Vec::new(),
            body: Vec::new(),
            timeout: wait,
        }
    }
}

impl Client {
    /// A client whose connections start at `from`.
    pub fn new(from: IpAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A cut says nothing: without probes a wait for an answer lasts its whole time.
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(KEEPALIVE_TRIES));
        connector.set_local_address(Some(from));
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self { inner }
    }

    pub async fn post(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, HttpError> {
        let call = Call {
            method: Method::POST,
            address,
            path,
            bearer: None,
            headers: Vec::new(),
            body,
            timeout: wait,
        };
        self.call(call).await
    }

    pub async fn get(&self, address: &str, path: &str, wait: Duration) -> Result<Bytes, HttpError> {
        self.call(Call::get(address, path, wait)).await
    }

    /// The body of an answer that says that the call was done.
    pub async fn call(&self, call: Call<'_>) -> Result<Bytes, HttpError> {
        self.send(call).await?.into_success()
    }

    /// The whole answer, also to a call that was refused.
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
        tokio::time::timeout(call.timeout, self.exchange(request))
            .await
            .map_err(|_| HttpError::TimedOut)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, HttpError> {
        let broken = |error: &dyn std::fmt::Display| HttpError::Failed(error.to_string());
        let response = self.inner.request(request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => HttpError::Unsent(error.to_string()),
            false => broken(&error),
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| broken(&error))?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
