//! Measures goodput and latency at multiples of the capacity, and while one partner overloads a box
//! that another partner shares.
//!
//! `cargo run --release --example overload -- [SECONDS]`

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use larkfall::trial::bench;
use larkfall::trial::client::Client;
use larkfall::trial::cluster::{Cluster, Shape};
use larkfall::trial::host::Threads;
use larkfall::trial::sample::Sample;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::LocalSet;

const SLOTS: usize = 3;
const SERVICE_MS: u64 = 5;
const REPLICAS: usize = 2;
const DEADLINE: Duration = Duration::from_millis(500);
const MAX_CLIENTS: usize = 4_000;

#[derive(Default)]
struct Load {
    completed: Sample,
    refused: Sample,
    /// Answers after the deadline.
    late: u64,
    errors: BTreeMap<String, u64>,
    offered: u64,
}

/// Clients of one group. Connects a new one if none is idle, up to [`MAX_CLIENTS`].
struct ClientPool {
    at: SocketAddr,
    partner: String,
    group: String,
    idle: RefCell<Vec<Client>>,
    connected: Cell<usize>,
}

impl ClientPool {
    async fn acquire(&self) -> Option<Client> {
        if let Some(client) = self.idle.borrow_mut().pop() {
            return Some(client);
        }
        if self.connected.get() >= MAX_CLIENTS {
            return None;
        }
        self.connected.set(self.connected.get() + 1);
        Client::connect(self.at, &self.partner, &self.group, Some("v1.0.0"))
            .await
            .ok()
    }
}

/// Sends reads at a rate that doesn't depend on the answers.
async fn send_reads(pool: Rc<ClientPool>, rate: f64, length: Duration, seed: u64) -> Load {
    let load = Rc::new(RefCell::new(Load::default()));
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + length;
    let mut next = Instant::now();
    let mut tasks = Vec::new();
    while next < end {
        tokio::time::sleep_until(next.into()).await;
        while next <= Instant::now() {
            next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            load.borrow_mut().offered += 1;
            let (pool, load) = (pool.clone(), load.clone());
            tasks.push(tokio::task::spawn_local(async move {
                let Some(mut client) = pool.acquire().await else {
                    return;
                };
                let sent = Instant::now();
                let answer = client.query("SELECT title FROM deck WHERE id = 1").await;
                let latency = sent.elapsed();
                let mut load = load.borrow_mut();
                match answer {
                    Ok(_) if latency <= DEADLINE => load.completed.add(latency),
                    Ok(_) => load.late += 1,
                    Err(error) if error.is_not_run() => load.refused.add(latency),
                    Err(error) => *load.errors.entry(error.to_string()).or_default() += 1,
                }
                pool.idle.borrow_mut().push(client);
            }));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    load.take()
}

async fn client_pool(cluster: &Cluster, i: usize, group: &str) -> anyhow::Result<Rc<ClientPool>> {
    let (partner, group) = cluster.split_group_name(group);
    Ok(Rc::new(ClientPool {
        at: cluster.sql_address(i),
        partner: partner.to_owned(),
        group: group.to_owned(),
        idle: RefCell::default(),
        connected: Cell::default(),
    }))
}

fn shape(groups: &[&str]) -> Shape {
    Shape {
        groups: groups.iter().map(|group| (*group).to_owned()).collect(),
        boxes: 1,
        domains: 1,
        service_ms: SERVICE_MS,
        slots: SLOTS,
        group_fields: json!({ "deadline_ms": DEADLINE.as_millis() as u64, "max_age_ms": 10_000, "owners": 1 }),
        ..Shape::default()
    }
}

async fn start_cluster(groups: &[&str]) -> anyhow::Result<Cluster> {
    let cluster = Cluster::start(shape(groups), &Threads::default()).await?;
    for group in groups {
        let mut client = cluster.connect(0, group, None).await?;
        client
            .query("CREATE TABLE deck (id bigint, title text)")
            .await?;
        client.query("INSERT INTO deck VALUES (1, 'verbs')").await?;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(cluster)
}

fn report(name: &str, load: &Load, length: Duration) {
    println!(
        "{name:28} offered {:6.0}/s  goodput {:6.0}/s  {}  refused {:6.0}/s (p99 {:6.2} ms)  late {}  errors {:?}",
        load.offered as f64 / length.as_secs_f64(),
        load.completed.len() as f64 / length.as_secs_f64(),
        load.completed.summary(),
        load.refused.len() as f64 / length.as_secs_f64(),
        load.refused.quantile(0.99).as_secs_f64() * 1_000.0,
        load.late,
        load.errors,
    );
}

async fn measure(length: Duration) -> anyhow::Result<()> {
    let capacity = (REPLICAS * SLOTS) as f64 * 1_000.0 / (SERVICE_MS as f64 + 1.0);
    println!(
        "one box, two replicas of {SLOTS} slots, {SERVICE_MS} ms a statement: about {capacity:.0}/s; deadline {} ms",
        DEADLINE.as_millis()
    );
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let cluster = start_cluster(&["market"]).await?;
        let pool = client_pool(&cluster, 0, "market").await?;
        let load = send_reads(pool, capacity * factor, length, 1).await;
        report(&format!("{factor} x capacity"), &load, length);
    }
    let cluster = start_cluster(&["huerto/market", "cards/decks"]).await?;
    let quiet = client_pool(&cluster, 0, "cards/decks").await?;
    let load = send_reads(quiet, capacity * 0.3, length, 2).await;
    report("cards alone, 0.3 x", &load, length);
    for factor in [1.0, 4.0] {
        let flooding = client_pool(&cluster, 0, "huerto/market").await?;
        let quiet = client_pool(&cluster, 0, "cards/decks").await?;
        let (flooding_load, quiet_load) = tokio::join!(
            send_reads(flooding, capacity * factor, length, 3),
            send_reads(quiet, capacity * 0.3, length, 4),
        );
        report(
            &format!("huerto floods at {factor} x"),
            &flooding_load,
            length,
        );
        report("cards meanwhile, 0.3 x", &quiet_load, length);
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let runtime = bench::runtime()?;
    LocalSet::new().block_on(&runtime, measure(bench::duration()))
}
