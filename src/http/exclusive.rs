//! A connection for a single request that must not arrive once it was given up.
//!
//! Closing a connection leaves what was sent on its way, and a network partition may hold it up for
//! any time. A reset discards it. A connection that was opened for the request alone also shows
//! whether the server is reachable before anything is sent.

use std::net::IpAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{CONNECT_TIMEOUT, Call, HttpError, failed};
use crate::dial::dial;

/// An open connection, which is reset when it is dropped.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Connects from the address `from` to `address`, an `IP:port`.
    pub async fn open(from: IpAddr, address: &str) -> Result<Self, HttpError> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, dial(from, address)).await;
        let opened = opened.map_err(|elapsed| HttpError::Unsent(elapsed.to_string()))?;
        let stream = opened.map_err(|error| HttpError::Unsent(error.to_string()))?;
        let reset = stream.set_zero_linger();
        reset.map_err(|error| HttpError::Unsent(error.to_string()))?;
        Ok(Self { stream })
    }

    /// Sends a request and returns the body of a successful response.
    pub async fn call(self, call: Call<'_>) -> Result<Bytes, HttpError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(HOST, call.address);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| HttpError::Unsent(error.to_string()))?;
        let answered = exchange(self.stream, request);
        match tokio::time::timeout(call.timeout, answered).await {
            Ok(answered) => answered,
            Err(_) => Err(HttpError::TimedOut),
        }
    }
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Bytes, HttpError> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| failed(&error))?;
    let answered = async {
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| failed(&error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| failed(&error))?.to_bytes();
        match status {
            StatusCode::OK => Ok(body),
            _ => Err(HttpError::Status {
                code: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            }),
        }
    };
    let driven = async {
        let _ = connection.await;
        // The response may still have to be read from the channel.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        answer = answered => answer,
        () = driven => unreachable!("never ends"),
    }
}
