//! A loopback proxy that harms connections from outside the processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does to all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Impairment {
    #[default]
    None,
    /// Each piece waits so many milliseconds.
    Delay(u64),
    /// Nothing passes either way; it is kept and passes later.
    Silent,
    /// Answers do not pass; they are kept and pass later.
    OneWay,
    /// Connections are closed, and new ones too.
    Reset,
}

/// A proxy before one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<Mutex<watch::Sender<Impairment>>>,
    /// How often the connections open at the time went silent.
    hushed: Arc<AtomicU64>,
}

impl Proxy {
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (harm, seen) = watch::channel(Impairment::None);
        let hushed = Arc::new(AtomicU64::new(0));
        let counted = hushed.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let seen = seen.clone();
                let hush = Hush::new(counted.clone());
                tokio::spawn(async move {
                    let _ = carry(caller, upstream, seen, hush).await;
                });
            }
        });
        Self {
            address,
            harm: Arc::new(Mutex::new(harm)),
            hushed,
        }
    }

    /// All connections that are open now carry nothing any more; new ones work.
    pub fn silence_open_connections(&self) {
        self.hushed.fetch_add(1, Ordering::SeqCst);
    }

    pub fn set_impairment(&self, harm: Impairment) {
        let sender = self.harm.lock().expect("no panic under the lock");
        sender.send_replace(harm);
    }
}

/// Whether one connection went silent for good.
#[derive(Clone)]
struct Hush {
    count: Arc<AtomicU64>,
    opened: u64,
}

impl Hush {
    fn new(count: Arc<AtomicU64>) -> Self {
        let opened = count.load(Ordering::SeqCst);
        Self { count, opened }
    }

    fn is_silent(&self) -> bool {
        self.count.load(Ordering::SeqCst) > self.opened
    }
}

async fn carry(
    caller: TcpStream,
    upstream: SocketAddr,
    harm: watch::Receiver<Impairment>,
    hush: Hush,
) -> std::io::Result<()> {
    if *harm.borrow() == Impairment::Reset {
        return Ok(());
    }
    let member = TcpStream::connect(upstream).await?;
    caller.set_nodelay(true)?;
    member.set_nodelay(true)?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_member, to_member) = member.into_split();
    let mut reset = harm.clone();
    let held: &[Impairment] = &[Impairment::Silent, Impairment::OneWay];
    let there = pass(from_caller, to_member, harm.clone(), &held[..1], &hush);
    let back = pass(from_member, to_caller, harm, held, &hush);
    tokio::select! {
        done = there => done,
        done = back => done,
        _ = reset.wait_for(|harm| *harm == Impairment::Reset) => Ok(()),
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Impairment>,
    held: &[Impairment],
    hush: &Hush,
) -> std::io::Result<()> {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        if harm.wait_for(|harm| !held.contains(harm)).await.is_err() {
            return Ok(());
        }
        if hush.is_silent() {
            continue;
        }
        let now = *harm.borrow();
        if let Impairment::Delay(ms) = now {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        to.write_all(&bytes[..count]).await?;
    }
}
