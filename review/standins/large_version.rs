//! CONFIG: the manifest's versions are as large as Unix milliseconds. A route that a newer manifest
//! drops stays in force.

use std::time::Duration;

use crate::boxes::{Client, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, STRICT, keep_entries};

const SERVICE: &str = "huvo11a";
const KEPT: &str = "fiti832ti23";
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
/// A version before and after which a change is made.
const SMALL: u64 = 7;
const LARGE: u64 = 1_764_816_000_000;
const STEP: u64 = 500;
/// config_apply_ms, and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);

/// Returns a manifest of this version with these databases.
fn manifest(version: u64, databases: &[&str]) -> String {
    let route = |name: &&str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{name}\",\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":1,\"backend\":\"{SERVICE}\",\"max_attempts\":2}}"
        )
    };
    let routes: Vec<String> = databases.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":{CONNECTIONS},\"sync_replicas\":0}}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        routes.join(",")
    )
}

pub fn play(run: Run) -> Result<Vec<String>, NotRun> {
    let record = run.record.clone();
    let ids = ["i-a", "i-b", "i-c"];
    let group = Group::new(SERVICE, &ids, false, record.clone());
    run.store.add_group(&group);
    let members: Vec<Member> = ids
        .iter()
        .zip(ZONES)
        .map(|(id, zone)| Member::start(&group, id, zone, CONNECTIONS, WORK))
        .collect();
    let first = if run.trouble { LARGE } else { SMALL };
    run.store
        .put("op", "config", &manifest(first, &[STRICT, KEPT]));
    keep_entries(&run.store, &members);
    let mut entry = run.site.new_box(1, ZONES[0], true);
    entry.start();
    if !wait_until(Duration::from_secs(10), || entry.serves(SERVICE)) {
        return Err("the box doesn't serve".to_owned());
    }
    let mut client = Client::connect(entry.front(), STRICT, "c")?;
    let before = client.run("READ thing")?;
    record.tell(&format!("version {first}: {}", before.summary()));
    let next = first + STEP;
    run.store.put("op", "config", &manifest(next, &[KEPT]));
    std::thread::sleep(APPLIED);
    let after = client.run("READ thing")?;
    record.tell(&format!(
        "version {next}, without the route: {}",
        after.summary()
    ));
    Ok(match after.succeeded() {
        true => vec![format!(
            "CONFIG: {} ran with a dropped route",
            client.last_id()
        )],
        false => Vec::new(),
    })
}
