//! Runs one scenario of the review: `standins SCENARIO`. `forgotten-term`, `address-reuse` and
//! `returned-primary` belong to the cases 1 to 3; the others show further faults that the report
//! lists.
//!
//! Reads `PROGRAM` (the box's program), `RECORD` (the record's path) and `TROUBLE` (0 leaves out
//! the disturbance) from the environment. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the scenario couldn't run.

mod address_reuse;
mod bare_lf;
mod blank_replica;
mod boxes;
mod cut_at_stop;
mod endless_values;
mod forgotten_term;
mod json;
mod large_version;
mod lease_ids;
mod lost_listing;
mod lower_number;
mod member;
mod record;
mod returned_primary;
mod shape_collision;
mod store;
mod sync_commit;

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use boxes::Site;
use member::Member;
use record::Record;
use store::Store;

/// Time after which a run counts as one that couldn't run.
const TIME_LIMIT: Duration = Duration::from_secs(110);
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;
/// Breaks that are printed; the record holds all.
const SHOWN_BREAKS: usize = 6;

/// What all scenarios share.
pub struct Run {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub site: Site,
    pub trouble: bool,
}

/// Why a scenario couldn't run.
pub type NotRun = String;

fn main() {
    let scenario = std::env::args().nth(1).unwrap_or_default();
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let record = Record::create(&variable("RECORD")).expect("the record can be written");
    let record = Arc::new(record);
    let folder = boxes::temporary_folder(&scenario);
    let store = Store::new(record.clone());
    let site = Site {
        network: boxes::free_network(),
        folder: folder.clone(),
        program: variable("PROGRAM").into(),
        store: store.start(),
        seeds: Vec::new(),
    };
    let trouble = variable("TROUBLE") != "0";
    let run = Run {
        record: record.clone(),
        store,
        site,
        trouble,
    };
    let limited = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        limited.tell("not run: the time limit is reached");
        boxes::end_all();
        exit(NOT_RUN);
    });
    record.tell(&format!(
        "scenario {scenario}, disturbance {}",
        if trouble { "on" } else { "off" }
    ));
    let played =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match scenario.as_str() {
            "forgotten-term" => forgotten_term::play(run),
            "lease-ids" => lease_ids::play(run),
            "lost-listing" => lost_listing::play(run),
            "sync-commit" => sync_commit::play(run),
            "address-reuse" => address_reuse::play(run),
            "returned-primary" => returned_primary::play(run),
            "lower-number" => lower_number::play(run),
            "cut-at-stop" => cut_at_stop::play(run),
            "large-version" => large_version::play(run),
            "bare-lf" => bare_lf::play(run),
            "endless-values" => endless_values::play(run),
            "shape-collision" => shape_collision::play(run),
            "blank-replica" => blank_replica::play(run),
            _ => Err("no such scenario".to_owned()),
        }));
    boxes::end_all();
    boxes::remove_folder(&folder);
    let code = match played {
        Ok(Ok(breaks)) if breaks.is_empty() => {
            record.tell("the rule held");
            HELD
        }
        Ok(Ok(breaks)) => {
            for (i, text) in breaks.iter().enumerate() {
                match i < SHOWN_BREAKS {
                    true => record.tell(text),
                    false => record.line(text),
                }
            }
            record.tell(&format!("the rule was broken {} times", breaks.len()));
            BROKEN
        }
        Ok(Err(why)) => {
            record.tell(&format!("not run: {why}"));
            NOT_RUN
        }
        Err(_) => {
            record.tell("not run: the test failed");
            NOT_RUN
        }
    };
    exit(code);
}

/// Databases of the service: one for each type of route.
pub const STRICT: &str = "lepu270";
pub const OWN_WRITES: &str = "fiti832ti23";
pub const BOUNDED: &str = "xapu221ny95";
/// Age bound of the bounded route.
pub const MAX_STALENESS: Duration = Duration::from_millis(1_500);

/// A service of the manifest, with the databases of its routes.
pub struct Service<'a> {
    pub name: &'a str,
    pub strict: &'a str,
    pub own_writes: &'a str,
    pub bounded: &'a str,
}

/// Puts the operator's manifest for a service, with the routes of the site.
pub fn put_manifest(store: &Store, service: &str, connections: usize, sync_replicas: u32) {
    let service = Service {
        name: service,
        strict: STRICT,
        own_writes: OWN_WRITES,
        bounded: BOUNDED,
    };
    put_services(store, &[service], connections, sync_replicas);
}

/// Puts the operator's manifest for several services.
pub fn put_services(store: &Store, services: &[Service], connections: usize, sync_replicas: u32) {
    let route = |service: &Service, name: &str, kind: &str, timeout: u32, aim: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{name}\",\"path_prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":2,\"backend\":\"{}\",\"max_attempts\":2{more}}}",
            service.name
        )
    };
    let routes = services.iter().flat_map(|service| {
        let own_writes = ",\"max_staleness_ms\":2500";
        let bounded = ",\"max_staleness_ms\":1500";
        [
            route(service, service.strict, "primary", 800, 150, ""),
            route(
                service,
                service.own_writes,
                "own_writes",
                800,
                250,
                own_writes,
            ),
            route(service, service.bounded, "bounded", 2_000, 500, bounded),
        ]
    });
    let listed = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{}\",\"health_check_path\":\"/healthz\",\"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":{sync_replicas}}}",
            service.name
        )
    });
    let manifest = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}",
        routes.collect::<Vec<_>>().join(","),
        listed.collect::<Vec<_>>().join(",")
    );
    store.put("op", "config", &manifest);
}

/// Writes the members' entries, now and about every heartbeat.
pub fn keep_entries(store: &Arc<Store>, members: &[Member]) {
    const HEARTBEAT: Duration = Duration::from_millis(1_200);
    let (store, members) = (store.clone(), members.to_vec());
    let put = move |sequence: u64| {
        for member in members.iter().filter(|member| member.keeps_entry()) {
            store.put("servers", &member.id, &member.entry(sequence, None));
        }
    };
    put(1);
    std::thread::spawn(move || {
        for sequence in 2.. {
            std::thread::sleep(HEARTBEAT);
            put(sequence);
        }
    });
}
