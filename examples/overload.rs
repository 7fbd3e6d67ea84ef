//! Goodput and latency at multiples of capacity, and one partner flooding another.
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
const MOST_CLIENTS: usize = 4_000;

#[derive(Default)]
struct Load {
    done: Sample,
    refused: Sample,
    late: u64,
    errors: BTreeMap<String, u64>,
    offered: u64,
}

/// Clients that are free; new ones are made as needed.
struct Callers {
    at: SocketAddr,
    partner: String,
    group: String,
    free: RefCell<Vec<Client>>,
    made: Cell<usize>,
}

impl Callers {
    async fn one(&self) -> Option<Client> {
        if let Some(client) = self.free.borrow_mut().pop() {
            return Some(client);
        }
        if self.made.get() >= MOST_CLIENTS {
            return None;
        }
        self.made.set(self.made.get() + 1);
        Client::connect(self.at, &self.partner, &self.group, Some("v1.0.0"))
            .await
            .ok()
    }
}

/// Sends reads at a rate, whether answers come or not.
async fn offer(callers: Rc<Callers>, rate: f64, length: Duration, seed: u64) -> Load {
    let load = Rc::new(RefCell::new(Load::default()));
    let mut dice = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + length;
    let mut next = Instant::now();
    let mut tasks = Vec::new();
    while next < end {
        tokio::time::sleep_until(next.into()).await;
        while next <= Instant::now() {
            next += Duration::from_secs_f64(-(1.0 - dice.random::<f64>()).ln() / rate);
            load.borrow_mut().offered += 1;
            let (callers, load) = (callers.clone(), load.clone());
            tasks.push(tokio::task::spawn_local(async move {
                let Some(mut client) = callers.one().await else {
                    return;
                };
                let began = Instant::now();
                let answer = client.query("SELECT title FROM deck WHERE id = 1").await;
                let took = began.elapsed();
                let mut load = load.borrow_mut();
                match answer {
                    Ok(_) if took <= DEADLINE => load.done.add(took),
                    Ok(_) => load.late += 1,
                    Err(error) if error.is_not_run() => load.refused.add(took),
                    Err(error) => *load.errors.entry(error.to_string()).or_default() += 1,
                }
                callers.free.borrow_mut().push(client);
            }));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    load.take()
}

async fn callers(cluster: &Cluster, i: usize, group: &str) -> anyhow::Result<Rc<Callers>> {
    let (partner, group) = cluster.split_group_name(group);
    Ok(Rc::new(Callers {
        at: cluster.sql_address(i),
        partner: partner.to_owned(),
        group: group.to_owned(),
        free: RefCell::default(),
        made: Cell::default(),
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

async fn start(groups: &[&str]) -> anyhow::Result<Cluster> {
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
        load.done.len() as f64 / length.as_secs_f64(),
        load.done.summary(),
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
        let cluster = start(&["market"]).await?;
        let callers = callers(&cluster, 0, "market").await?;
        let load = offer(callers, capacity * factor, length, 1).await;
        report(&format!("{factor} x capacity"), &load, length);
    }
    let cluster = start(&["huerto/market", "cards/decks"]).await?;
    let quiet = callers(&cluster, 0, "cards/decks").await?;
    let load = offer(quiet, capacity * 0.3, length, 2).await;
    report("cards alone, 0.3 x", &load, length);
    for factor in [1.0, 4.0] {
        let flood = callers(&cluster, 0, "huerto/market").await?;
        let quiet = callers(&cluster, 0, "cards/decks").await?;
        let (flooding, other) = tokio::join!(
            offer(flood, capacity * factor, length, 3),
            offer(quiet, capacity * 0.3, length, 4),
        );
        report(&format!("huerto floods at {factor} x"), &flooding, length);
        report("cards meanwhile, 0.3 x", &other, length);
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let runtime = bench::runtime()?;
    LocalSet::new().block_on(&runtime, measure(bench::duration()))
}
