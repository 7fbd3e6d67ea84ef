//! A small deployment: the store, the API, one service of three members, and the boxes.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::api::Api;
use crate::boxes::{Machine, Site};
use crate::http;
use crate::member::{Group, Sheet};
use crate::net::{Links, ip};
use crate::store::Store;

pub const SERVICE: &str = "huerto-db";
/// The databases, by the type of their route.
pub const STRICT: &str = "ventas";
pub const OWN_WRITES: &str = "parcelas";
pub const BOUNDED: &str = "aula";
const ZONES: [&str; 3] = ["santiago-a", "santiago-b", "santiago-c"];
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct World {
    pub store: Store,
    pub api: Api,
    pub api_links: Links,
    pub group: Group,
    pub machines: Vec<Machine>,
    pub folder: PathBuf,
}

/// The operator's manifest, with the time-outs and targets of the site file.
fn manifest(sheet: Sheet) -> String {
    let (connections, sync) = (sheet.connections, sheet.sync_replicas);
    let route = |host: &str, kind: &str, timeout: u32, aim: u32, priority: u32, stale: &str| {
        format!(
            "{{\"name\":\"r-{host}\",\"hostname\":\"{host}\",\"path_prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":{priority},\"backend\":\"{SERVICE}\",\"max_attempts\":2{stale}}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":{connections},\"sync_replicas\":{sync}}}],\"limits\":{{\"tx_idle_ms\":3000,\"idle_timeout_ms\":60000}}}}",
        route(STRICT, "primary", 800, 150, 1, ""),
        route(
            OWN_WRITES,
            "own_writes",
            800,
            250,
            2,
            ",\"max_staleness_ms\":2500"
        ),
        route(
            BOUNDED,
            "bounded",
            2000,
            500,
            2,
            ",\"max_staleness_ms\":1500"
        ),
    )
}

impl World {
    /// Starts the stand-ins and `boxes` boxes, and waits until all are ready.
    pub fn start(case: &str, boxes: usize, sheet: Sheet) -> Result<Self, String> {
        let say = |error: std::io::Error| error.to_string();
        let record = std::env::var("RECORD").map_err(|_| "RECORD names no file")?;
        let record = File::create(record).map_err(say)?;
        let name = format!("larkfall-review-2-{case}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(say)?;
        let store = Store::default();
        let group = Group::new(SERVICE, record, sheet);
        let api = Api::new(group.clone());
        let api_links = Links::default();
        let serves = store.clone();
        let handler = Arc::new(move |request| serves.handle(request));
        let any = |last: u8| SocketAddr::from((ip(last), 0));
        let store_at = http::serve(any(250), Links::default(), handler).map_err(say)?;
        let orders = api.clone();
        let handler = Arc::new(move |request| orders.handle(request));
        let api_at = http::serve(any(251), api_links.clone(), handler).map_err(say)?;
        store.put("op", "config", Some(&manifest(sheet)));
        let mut world = Self {
            store,
            api,
            api_links,
            group,
            machines: Vec::new(),
            folder,
        };
        for (i, zone) in ZONES.iter().enumerate() {
            world.start_member(&format!("i-{i}"), zone, ip(200 + i as u8))?;
        }
        world.keep_members();
        let seeds: Vec<Ipv4Addr> = (0..boxes.min(3)).map(|i| ip(1 + i as u8)).collect();
        let site = Site {
            store: store_at,
            api: api_at,
            seeds,
            folder: world.folder.clone(),
            files: sheet.files,
        };
        for i in 0..boxes {
            let zone = ZONES[i % ZONES.len()];
            let name = format!("edge-{zone}-{}", i / ZONES.len() + 1);
            let mut machine = Machine::new(&site, &name, zone, ip(1 + i as u8)).map_err(say)?;
            machine.start().map_err(say)?;
            world.machines.push(machine);
        }
        for machine in &world.machines {
            machine.wait_ready(Duration::from_secs(30))?;
            world
                .group
                .note(format!("{} at {} is ready", machine.name, machine.ip));
        }
        Ok(world)
    }

    /// Starts a member and writes its entry.
    pub fn start_member(&self, id: &str, zone: &str, ip: Ipv4Addr) -> Result<(), String> {
        self.group
            .start(id, zone, ip)
            .map_err(|error| error.to_string())?;
        self.group.note(format!("{id} starts in {zone}"));
        self.write_entry(id);
        Ok(())
    }

    pub fn write_entry(&self, id: &str) {
        self.store
            .put("servers", id, self.group.entry(id).as_deref());
    }

    /// Replicates, and lets the members write their entries.
    fn keep_members(&self) {
        let group = self.group.clone();
        std::thread::spawn(move || {
            loop {
                group.replicate();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let (group, store) = (self.group.clone(), self.store.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                let ids: Vec<String> = group.members().keys().cloned().collect();
                for id in ids {
                    if let Some(entry) = group.entry(&id) {
                        store.put("servers", &id, Some(&entry));
                    }
                }
            }
        });
    }

    /// Replaces a member as planned: a new one starts, the old one says `draining`, serves on for
    /// `drain_ms` and a little longer, and ends. Returns the time at which it ends.
    pub fn release(
        &self,
        id: &str,
        new: &str,
        zone: &str,
        address: Ipv4Addr,
    ) -> Result<(), String> {
        self.start_member(new, zone, address)?;
        std::thread::sleep(Duration::from_millis(500));
        self.group.set_draining(id);
        self.write_entry(id);
        let (group, store, id) = (self.group.clone(), self.store.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(7_500));
            group.end(&id);
            store.put("servers", &id, None);
        });
        Ok(())
    }

    /// Waits until the condition holds.
    pub fn wait(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + limit;
        while !holds(self) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
