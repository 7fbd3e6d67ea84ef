//! The environment of a test: a group of three members, a store, and some boxes.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

use super::boxes::{Process, Settings};
use super::client::{Answer, Client};
use super::group::Group;
use super::member::{self, Handle};
use super::proxy::Proxy;
use super::replies::Kind;
use super::store::Store;

// Databases that callers connect to, one for each type of route.
pub const STRICT: &str = "sales.example";
pub const OWN_WRITES: &str = "plots";
pub const BOUNDED: &str = "panel";

const GROUP: &str = "db1";
const CONNECTIONS: usize = 12;

/// The boxes under test and the stand-ins around them.
pub struct World {
    pub store: Store,
    pub store_address: SocketAddr,
    pub group: Group,
    pub members: Vec<(String, SocketAddr, Handle)>,
    pub boxes: Vec<Process>,
    /// [`Settings::with_pressure_rules`] of the boxes that are added.
    pub with_pressure_rules: bool,
    /// Version of the newest manifest that the world has put.
    version: u64,
}

/// Returns the operator's manifest: a route for each database, and one without a hostname.
pub fn manifest(version: u64, timeout_ms: u64) -> Value {
    let route = |host: &str, kind: &str| {
        json!({
            "name": format!("r-{host}"), "hostname": host, "path_prefix": "/", "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 250, "priority": 1,
            "backend": GROUP, "max_attempts": 2, "max_staleness_ms": 2_500,
        })
    };
    json!({
        "version": version,
        "routes": [route(STRICT, "primary"), route(OWN_WRITES, "own_writes"), route(BOUNDED, "bounded"),
            {"name": "r-none", "path_prefix": "/", "type": "primary", "backend": GROUP}],
        "services": [{"name": GROUP, "max_connections": CONNECTIONS, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 1_500, "idle_timeout_ms": 15_000},
    })
}

impl World {
    /// Starts the stand-ins and `boxes` boxes, and waits until all boxes are ready.
    pub async fn start(boxes: usize) -> Self {
        Self::without_boxes().await.with_boxes(boxes).await
    }

    /// Like [`World::start`], with the platform's pressure rules in force.
    pub async fn with_pressure_rules(boxes: usize) -> Self {
        let mut world = Self::without_boxes().await;
        world.with_pressure_rules = true;
        world.with_boxes(boxes).await
    }

    async fn with_boxes(self, boxes: usize) -> Self {
        let mut world = self;
        for i in 0..boxes {
            world.add_box(i);
        }
        for process in &world.boxes {
            process.wait_ready().await;
        }
        world.wait_for_primary().await;
        world
    }

    /// Like [`World::start`], with a proxy in front of each member.
    pub async fn behind_proxies(boxes: usize, with_pressure_rules: bool) -> (Self, Vec<Proxy>) {
        let mut world = Self::without_boxes().await;
        world.with_pressure_rules = with_pressure_rules;
        let mut proxies = Vec::new();
        for (i, (id, address, _)) in world.members.iter().enumerate() {
            let proxy = Proxy::start(*address).await;
            world
                .store
                .put("servers", id, &member_entry(i, proxy.address, "ready"));
            proxies.push(proxy);
        }
        (world.with_boxes(boxes).await, proxies)
    }

    /// Starts the stand-ins alone.
    pub async fn without_boxes() -> Self {
        let store = Store::default();
        let store_address = store.start().await;
        let ids: Vec<String> = (0..3).map(|i| format!("i-{i}")).collect();
        let group = Group::new(GROUP, &ids);
        store.add_group(group.clone());
        store.put("op", "config", &manifest(3, 3_000));
        let mut members = Vec::new();
        for (i, id) in ids.iter().enumerate() {
            let handle = Handle::default();
            let address = member::start(group.clone(), id, CONNECTIONS, handle.clone()).await;
            store.put("servers", id, &member_entry(i, address, "ready"));
            members.push((id.clone(), address, handle));
        }
        let replicated = group.clone();
        tokio::spawn(async move {
            loop {
                replicated.replicate();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        Self {
            store,
            store_address,
            group,
            members,
            boxes: Vec::new(),
            with_pressure_rules: false,
            version: 3,
        }
    }

    /// Puts the base manifest again under a version that is higher by `step`.
    pub fn bump_manifest_version(&mut self, step: u64) {
        self.version += step;
        let next = manifest(self.version, 3_000);
        self.store.put("op", "config", &next);
    }

    /// Puts a manifest with an additional database and returns the database's name.
    pub fn add_database(&mut self) -> String {
        self.add_databases(1)
    }

    /// Puts a manifest with this many additional databases and returns the last one's name.
    pub fn add_databases(&mut self, count: usize) -> String {
        self.version += 1;
        let mut next = manifest(self.version, 3_000);
        let routes = next["routes"].as_array_mut().expect("routes");
        let template = routes[0].clone();
        for i in 0..count {
            let mut added = template.clone();
            added["name"] = format!("route-{i}").into();
            added["hostname"] = format!("added-{}-{i}", self.version).into();
            routes.push(added);
        }
        self.store.put("op", "config", &next);
        format!("added-{}-{}", self.version, count - 1)
    }

    /// Starts a box without waiting until the box is ready.
    pub fn add_box(&mut self, i: usize) {
        self.add_box_with_store(i, self.store_address);
    }

    /// Starts a box that reaches the store at the given address.
    pub fn add_box_with_store(&mut self, i: usize, store: SocketAddr) {
        self.add_box_in_zone(i, &format!("zone-{}", i % 3), store);
    }

    /// Starts a box in a failure domain.
    pub fn add_box_in_zone(&mut self, i: usize, zone: &str, store: SocketAddr) {
        let mut settings = Settings::new(&format!("box-{i}"), zone, store);
        settings.with_pressure_rules = self.with_pressure_rules;
        self.boxes.push(Process::start(settings));
    }

    /// Waits until every box knows the primary.
    pub async fn wait_for_primary(&self) {
        for process in &self.boxes {
            while !process.dump().await.contains("\"primary\":\"") {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Opens a session at a box, which must be ready.
    pub async fn client(&self, i: usize, database: &str, name: &'static str) -> Client {
        let front = self.boxes[i].settings.front;
        Client::connect(front, database, name)
            .await
            .expect("a ready box accepts callers")
    }

    /// Returns the handle of a member.
    pub fn member(&self, id: &str) -> &Handle {
        let member = self.members.iter().find(|(known, _, _)| known == id);
        &member.expect("a member").2
    }

    /// Checks that the answer to the caller's last statement is the one that the member sent.
    pub fn expect_answer_from(&self, member: &str, kind: Kind, client: &Client, answer: &Answer) {
        let sent = self.member(member).answers(&client.last_id());
        expect_that!(sent.len(), eq(1));
        for sent in sent {
            expect_that!(sent.kind, eq(kind));
            expect_that!(
                answer.digest.as_deref(),
                some(eq(sent.digest().unwrap_or_default()))
            );
            expect_that!(answer.rows, eq(&sent.rows));
        }
    }

    /// Crashes a member: its listener and connections end, and it replicates nothing.
    pub fn crash_member(&self, id: &str) {
        self.group.set_running(id, false);
        self.member(id).crash();
    }

    /// Puts the member's entry with the state `draining`.
    pub fn drain_member(&self, id: &str) {
        let i = self.members.iter().position(|(known, _, _)| known == id);
        let i = i.expect("a member");
        let address = self.members[i].1;
        self.store
            .put("servers", id, &member_entry(i, address, "draining"));
    }

    /// Repeats a write until a member acknowledges it. Returns the error codes of the failed
    /// attempts.
    pub async fn write_until_acknowledged(&self, client: &mut Client, text: &str) -> Vec<String> {
        let mut codes = Vec::new();
        loop {
            let answer = client.run(text).await.expect("the session stays open");
            match answer.error {
                None => return codes,
                Some(code) => codes.push(code),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns a member's row of the table `servers`.
pub fn member_entry(i: usize, address: SocketAddr, state: &str) -> Value {
    json!({
        "backend": GROUP, "address": address.to_string(), "zone": format!("zone-{i}"),
        "version": "v1", "capacity": 3, "state": state, "cold_remaining_ms": 0,
        "db_role": "replica", "sequence": 1,
    })
}
