//! `larkfall apply`, `get`, `watch`, `delete` and `dump`: the operator's client of the API.

use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, anyhow};
use hyper::Method;
use serde_json::{Value, json};

use super::check::load_entries;
use super::{Exit, print_findings};
use crate::declarations::check;
use crate::http::{Call, Client, HttpError};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a change to reach all boxes.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The API of a box, called with an operator's token.
pub struct Remote {
    client: Client,
    address: String,
    token: String,
}

impl Remote {
    pub fn new(address: Option<String>, token: Option<String>) -> anyhow::Result<Self> {
        let variable = |name: &str| std::env::var(name).ok();
        let address = address.or_else(|| variable("LARKFALL_API"));
        let address = address.context("--api or LARKFALL_API must name a box's API, IP:port")?;
        let token = token.or_else(|| variable("LARKFALL_TOKEN"));
        Ok(Self {
            client: Client::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
            address,
            token: token.unwrap_or_default(),
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: Option<&Value>,
    ) -> Result<Value, HttpError> {
        let mut headers = vec![("content-type", "application/json".to_owned())];
        headers.extend(version.map(|version| ("if-match", version.to_string())));
        let call = Call {
            method,
            bearer: Some(&self.token),
            headers,
            body: body.map_or(Vec::new(), |body| body.to_string().into_bytes()),
            ..Call::get(&self.address, path, CALL_TIMEOUT)
        };
        let bytes = self.client.call(call).await?;
        serde_json::from_slice(&bytes).map_err(|error| HttpError::Failed(error.to_string()))
    }
}

/// Prints the answer, or the error that the API returned.
fn print_answer(answer: Result<Value, HttpError>) -> anyhow::Result<Exit> {
    match answer {
        Ok(value) => {
            println!("{value:#}");
            Ok(Exit::Done)
        }
        Err(HttpError::Status { code, body }) => {
            eprintln!("{code}: {body}");
            let bad = matches!(code, 400 | 422);
            Ok(if bad { Exit::BadInput } else { Exit::Failed })
        }
        Err(error) => Err(anyhow!(error)),
    }
}

pub async fn apply(
    remote: &Remote,
    path: &Path,
    dry_run: bool,
    wait: bool,
) -> anyhow::Result<Exit> {
    let (entries, mut findings) = load_entries(&[path.to_owned()])?;
    let specs = match check::all(&entries) {
        Ok(specs) => specs,
        Err(invalid) => {
            findings.extend(invalid);
            Default::default()
        }
    };
    if !findings.is_empty() {
        print_findings(&findings);
        return Ok(Exit::BadInput);
    }
    let resource = |spec: &crate::declarations::resource::Spec| json!({ "kind": spec.key().kind.name(), "spec": spec });
    let resources: Vec<Value> = specs.values().map(resource).collect();
    let body = json!({ "dry_run": dry_run, "resources": resources });
    let answer = remote
        .call(Method::POST, "/v1/resources", None, Some(&body))
        .await;
    let Ok(applied) = &answer else {
        return print_answer(answer);
    };
    for step in applied["plan"].as_array().into_iter().flatten() {
        let action = step["action"].as_str().unwrap_or_default();
        println!("{action:8}{}", step["key"].as_str().unwrap_or_default());
        if action == "replace" {
            print_difference(&step["before"], &step["after"]);
        }
    }
    println!("revision {}", applied["revision"]);
    if wait && !dry_run {
        wait_in_force(remote, applied["revision"].as_u64().unwrap_or_default()).await?;
    }
    Ok(Exit::Done)
}

fn print_difference(before: &Value, after: &Value) {
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return;
    };
    for (name, value) in after {
        if before.get(name) != Some(value) {
            let old = before.get(name).unwrap_or(&Value::Null);
            println!("        {name}: {old} -> {value}");
        }
    }
}

/// Waits until the revision is in force on every box that the platform lists.
async fn wait_in_force(remote: &Remote, revision: u64) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + APPLY_TIMEOUT;
    loop {
        let behind = boxes_behind(remote, revision).await?;
        if behind.is_empty() {
            println!("in force everywhere");
            return Ok(());
        }
        if tokio::time::Instant::now() > end {
            return Err(anyhow!("not in force on {}", behind.join(", ")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the names of the boxes that have not applied the revision yet.
async fn boxes_behind(remote: &Remote, revision: u64) -> anyhow::Result<Vec<String>> {
    let dump = remote.call(Method::GET, "/dump", None, None).await?;
    let mut behind = Vec::new();
    for listing in dump["boxes"].as_array().into_iter().flatten() {
        let address = listing["address"].as_str().unwrap_or_default();
        let body = remote.client.get(address, "/dump", CALL_TIMEOUT).await;
        let state: Option<Value> = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
        let found = state.and_then(|state| state["revision"].as_u64());
        if found.is_none_or(|found| found < revision) {
            behind.push(listing["name"].as_str().unwrap_or_default().to_owned());
        }
    }
    if dump["revision"].as_u64().unwrap_or_default() < revision {
        behind.push(dump["box"].as_str().unwrap_or_default().to_owned());
    }
    Ok(behind)
}

pub async fn get(remote: &Remote, key: &str) -> anyhow::Result<Exit> {
    let path = match key.contains('/') {
        true => format!("/v1/resources/{key}"),
        false => format!("/v1/resources?kind={key}"),
    };
    print_answer(remote.call(Method::GET, &path, None, None).await)
}

pub async fn delete(remote: &Remote, key: &str, version: Option<u64>) -> anyhow::Result<Exit> {
    let path = format!("/v1/resources/{key}");
    print_answer(remote.call(Method::DELETE, &path, version, None).await)
}

pub async fn watch(remote: &Remote, since: u64, rounds: Option<u64>) -> anyhow::Result<Exit> {
    let mut since = since;
    let mut round = 0;
    while rounds.is_none_or(|max| round < max) {
        let path = format!("/v1/watch?since={since}");
        let changes = match remote.call(Method::GET, &path, None, None).await {
            Ok(changes) => changes,
            failed => return print_answer(failed),
        };
        for change in changes["changes"].as_array().into_iter().flatten() {
            println!("{change}");
        }
        since = changes["revision"].as_u64().unwrap_or(since);
        round += 1;
    }
    Ok(Exit::Done)
}

pub async fn dump(remote: &Remote) -> anyhow::Result<Exit> {
    print_answer(remote.call(Method::GET, "/dump", None, None).await)
}
