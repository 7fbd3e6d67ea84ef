//! A loopback proxy that impairs connections between processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time between bytes that were held back and the end of their connection.
const END_DELAY: Duration = Duration::from_millis(50);

/// How the proxy impairs all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Impairment {
    #[default]
    None,
    /// Delays each chunk by this many milliseconds.
    Delay(u64),
    /// Passes on at most this many bytes per second on each connection.
    Bandwidth(u64),
    /// Holds back all bytes, in both directions, until the impairment ends. They are lost if their
    /// sender resets the connection.
    Silent,
    /// Holds back bytes from the upstream until the impairment ends.
    OneWay,
    /// Closes open and new connections.
    Reset,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    impairment: Arc<Mutex<watch::Sender<Impairment>>>,
    /// Number of times that the open connections were silenced.
    silenced: Arc<AtomicU64>,
}

impl Proxy {
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (impairment, receiver) = watch::channel(Impairment::None);
        let silenced = Arc::new(AtomicU64::new(0));
        let count = silenced.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let receiver = receiver.clone();
                let silence = Silence::new(count.clone());
                tokio::spawn(async move {
                    let _ = forward(caller, upstream, receiver, silence).await;
                });
            }
        });
        Self {
            address,
            impairment: Arc::new(Mutex::new(impairment)),
            silenced,
        }
    }

    /// Discards all bytes on the connections that are open now; new ones work.
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    pub fn set_impairment(&self, impairment: Impairment) {
        let sender = self.impairment.lock().expect("no panic under the lock");
        sender.send_replace(impairment);
    }
}

/// Tells whether a connection has been silenced for good.
#[derive(Clone)]
struct Silence {
    count: Arc<AtomicU64>,
    /// Count at the opening of the connection.
    count_at_open: u64,
}

impl Silence {
    fn new(count: Arc<AtomicU64>) -> Self {
        let count_at_open = count.load(Ordering::SeqCst);
        Self {
            count,
            count_at_open,
        }
    }

    fn is_silent(&self) -> bool {
        self.count.load(Ordering::SeqCst) > self.count_at_open
    }
}

/// Forwards a connection until either side closes or the proxy resets it.
async fn forward(
    caller: TcpStream,
    upstream: SocketAddr,
    impairment: watch::Receiver<Impairment>,
    silence: Silence,
) -> std::io::Result<()> {
    if *impairment.borrow() == Impairment::Reset {
        return Ok(());
    }
    let server = TcpStream::connect(upstream).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = impairment.clone();
    let held: &[Impairment] = &[Impairment::Silent, Impairment::OneWay];
    let outbound = copy(
        from_caller,
        to_server,
        impairment.clone(),
        &held[..1],
        &silence,
    );
    let inbound = copy(from_server, to_caller, impairment, held, &silence);
    tokio::select! {
        done = outbound => done,
        done = inbound => done,
        _ = reset.wait_for(|impairment| *impairment == Impairment::Reset) => Ok(()),
    }
}

/// Waits until the sender resets the connection.
async fn wait_for_reset(from: &OwnedReadHalf) -> std::io::Error {
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        match from.as_ref().take_error() {
            Ok(None) => {}
            Ok(Some(error)) | Err(error) => return error,
        }
    }
}

/// Copies bytes in one direction, held back during the impairments `held`.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut impairment: watch::Receiver<Impairment>,
    held: &[Impairment],
    silence: &Silence,
) -> std::io::Result<()> {
    let mut bytes = vec![0; 16 * 1024];
    let mut was_held = false;
    loop {
        let count = from.read(&mut bytes).await?;
        if count == 0 {
            if was_held {
                // The receiver must not see the end before it has handled what was held back.
                tokio::time::sleep(END_DELAY).await;
            }
            return Ok(());
        }
        was_held = held.contains(&impairment.borrow());
        tokio::select! {
            passed = impairment.wait_for(|impairment| !held.contains(impairment)) => {
                if passed.is_err() {
                    return Ok(());
                }
            }
            error = wait_for_reset(&from) => return Err(error),
        }
        if silence.is_silent() {
            continue;
        }
        let current = *impairment.borrow();
        let delay = match current {
            Impairment::Delay(ms) => Duration::from_millis(ms),
            Impairment::Bandwidth(per_second) => {
                Duration::from_secs_f64(count as f64 / per_second as f64)
            }
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        to.write_all(&bytes[..count]).await?;
    }
}
