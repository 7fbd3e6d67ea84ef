//! The resource API: operators declare, look and watch.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{Api, Shared, Work};
use crate::borders::table::{Commit, RESOURCE_PREFIX, Revision, TableError, Verdict, Write};
use crate::declarations::check;
use crate::declarations::entry::Entry;
use crate::declarations::finding::Finding;
use crate::declarations::resource::{Key, Kind, Spec};
use crate::declarations::snapshot::{Snapshot, Stored, group_id};
use crate::node::configuration;
use crate::node::updates::ScanRequest;
use crate::secret;

/// Time that an accepted change gets to come into force on the box that took it.
const OWN_WAIT: Duration = Duration::from_secs(2);
const WATCH_HOLD: Duration = Duration::from_secs(20);

/// An error of the resource API.
#[derive(Debug, Serialize)]
pub(super) struct Problem {
    error: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<Revision>,
    #[serde(skip_serializing_if = "Option::is_none")]
    found: Option<Revision>,
}

pub(super) type Refused = (StatusCode, Json<Problem>);

fn problem(status: StatusCode, error: impl Into<String>) -> Refused {
    let problem = Problem {
        error: error.into(),
        findings: Vec::new(),
        expected: None,
        found: None,
    };
    (status, Json(problem))
}

fn findings(findings: Vec<Finding>) -> Refused {
    let (status, Json(problem)) = problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid resource");
    (
        status,
        Json(Problem {
            findings,
            ..problem
        }),
    )
}

fn race(key: &Key, expected: Revision, found: Revision) -> Refused {
    let error = format!("{key} has version {found}, not {expected}: somebody else changed it");
    let (status, Json(problem)) = problem(StatusCode::CONFLICT, error);
    let (expected, found) = (Some(expected), Some(found));
    let problem = Problem {
        expected,
        found,
        ..problem
    };
    (status, Json(problem))
}

/// Who calls, by the bearer token.
#[derive(Clone, Debug)]
enum Caller {
    /// May declare partners, and nothing else.
    Admin,
    /// Operator of one partner.
    Operator(Arc<str>),
}

impl Caller {
    /// Whether a resource is the caller's to see and change.
    fn may(&self, key: &Key) -> bool {
        match self {
            Caller::Admin => key.kind == Kind::Partner,
            Caller::Operator(partner) => key.partner == *partner,
        }
    }

    fn check(&self, key: &Key) -> Result<(), Refused> {
        if self.may(key) {
            return Ok(());
        }
        let error = format!("{key} is not this token's to see or change");
        Err(problem(StatusCode::FORBIDDEN, error))
    }

    /// A partner's weight is against the others': its own operator can't raise it.
    fn check_change(&self, key: &Key) -> Result<(), Refused> {
        let own_partner = matches!(self, Caller::Operator(_)) && key.kind == Kind::Partner;
        if !own_partner {
            return self.check(key);
        }
        let error = format!("{key} is changed with the administrator's token only");
        Err(problem(StatusCode::FORBIDDEN, error))
    }
}

fn caller(api: &Api, headers: &HeaderMap) -> Result<Caller, Refused> {
    let bearer = headers.get(header::AUTHORIZATION);
    let text = bearer
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let token = text.strip_prefix("Bearer ").unwrap_or_default();
    let snapshot = api.snapshot.borrow().clone();
    // Every hash is compared, so that the time tells nothing.
    let mut found = None;
    for partner in snapshot.partners.values() {
        if secret::fits(token, &partner.operator) {
            found = Some(Caller::Operator(partner.name.clone()));
        }
    }
    if let Some(hash) = &api.admin_hash
        && secret::fits(token, hash)
    {
        found = Some(Caller::Admin);
    }
    found.ok_or_else(|| problem(StatusCode::UNAUTHORIZED, "nobody has this token"))
}

#[derive(Serialize)]
struct Shown<'a> {
    key: String,
    version: Revision,
    spec: &'a Spec,
}

fn shown<'a>(key: &Key, stored: &'a Stored) -> Shown<'a> {
    Shown {
        key: key.to_string(),
        version: stored.revision,
        spec: &stored.spec,
    }
}

#[derive(Deserialize)]
pub(super) struct Filter {
    kind: Option<String>,
}

pub(super) async fn list(
    State(api): Shared,
    headers: HeaderMap,
    Query(filter): Query<Filter>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let snapshot = api.snapshot.borrow().clone();
    let wanted = |key: &Key| {
        let kind = filter
            .kind
            .as_deref()
            .is_none_or(|kind| kind == key.kind.name());
        caller.may(key) && kind
    };
    let found = snapshot.resources.iter().filter(|(key, _)| wanted(key));
    let resources: Vec<Shown> = found.map(|(key, stored)| shown(key, stored)).collect();
    Ok(Json(
        json!({ "revision": snapshot.revision, "resources": resources }),
    ))
}

fn parsed_key(text: &str) -> Result<Key, Refused> {
    let message = "a key is KIND/PARTNER or KIND/PARTNER/NAME";
    Key::parse(text).ok_or_else(|| problem(StatusCode::NOT_FOUND, message))
}

pub(super) async fn show(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let key = parsed_key(&key)?;
    caller.check(&key)?;
    let snapshot = api.snapshot.borrow().clone();
    let stored = snapshot.resources.get(&key);
    let stored =
        stored.ok_or_else(|| problem(StatusCode::NOT_FOUND, format!("{key} is not declared")))?;
    let mut value = json!(shown(&key, stored));
    if key.kind == Kind::Group {
        let id = group_id(&key.partner, &key.name);
        value["status"] = json!(snapshot.primaries.get(&id));
    }
    value["revision"] = json!(snapshot.revision);
    Ok(Json(value))
}

/// The version that a change names, if it does.
fn if_match(headers: &HeaderMap) -> Result<Option<Revision>, Refused> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let message = "If-Match must be a version number";
    let number: u64 = text
        .parse()
        .map_err(|_| problem(StatusCode::BAD_REQUEST, message))?;
    Ok(Some(number.into()))
}

pub(super) async fn put(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
    Json(body): Json<Value>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let key = parsed_key(&key)?;
    caller.check_change(&key)?;
    let entry = Entry::from_json(key.kind.name(), &key.to_string(), &body);
    let entry = entry.map_err(|finding| findings(vec![finding]))?;
    let spec = check::one(&entry).map_err(findings)?;
    if spec.key() != key {
        let error = format!("the body describes {}, the path names {key}", spec.key());
        return Err(problem(StatusCode::UNPROCESSABLE_ENTITY, error));
    }
    let version = if_match(&headers)?;
    let change = Change {
        key,
        version,
        spec: Some(spec),
    };
    commit(&api, vec![change]).await
}

pub(super) async fn delete(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let key = parsed_key(&key)?;
    caller.check_change(&key)?;
    let version = if_match(&headers)?;
    let change = Change {
        key,
        version,
        spec: None,
    };
    commit(&api, vec![change]).await
}

/// A resource to be written, or deleted where there is no spec.
struct Change {
    key: Key,
    version: Option<Revision>,
    spec: Option<Spec>,
}

/// Several resources in one commit.
#[derive(Deserialize)]
pub(super) struct Apply {
    #[serde(default)]
    dry_run: bool,
    resources: Vec<Declared>,
}

#[derive(Deserialize)]
pub(super) struct Declared {
    kind: String,
    spec: Value,
}

pub(super) async fn apply(
    State(api): Shared,
    headers: HeaderMap,
    Json(apply): Json<Apply>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let mut found = Vec::new();
    let mut specs = Vec::new();
    for declared in &apply.resources {
        let entry = Entry::from_json(&declared.kind, "request", &declared.spec);
        match entry
            .map_err(|f| vec![f])
            .and_then(|entry| check::one(&entry))
        {
            Ok(spec) => specs.push(spec),
            Err(more) => found.extend(more),
        }
    }
    if !found.is_empty() {
        return Err(findings(found));
    }
    for spec in &specs {
        caller.check_change(&spec.key())?;
    }
    let snapshot = api.snapshot.borrow().clone();
    let mut plan = Vec::new();
    let mut changes = Vec::new();
    for spec in specs {
        let key = spec.key();
        let before = snapshot.resources.get(&key);
        let action = match before {
            None => "create",
            Some(stored) if stored.spec == spec => "keep",
            Some(_) => "replace",
        };
        plan.push(json!({
            "key": key.to_string(),
            "action": action,
            "before": before.map(|stored| &stored.spec),
            "after": spec,
        }));
        if action != "keep" {
            changes.push(Change {
                version: Some(before.map_or(Revision::NONE, |stored| stored.revision)),
                key,
                spec: Some(spec),
            });
        }
    }
    if apply.dry_run || changes.is_empty() {
        return Ok(Json(json!({ "revision": snapshot.revision, "plan": plan })));
    }
    let Json(mut done) = commit(&api, changes).await?;
    done["plan"] = json!(plan);
    Ok(Json(done))
}

/// Checks the changes against everything declared and commits them together.
async fn commit(api: &Api, changes: Vec<Change>) -> Result<Json<Value>, Refused> {
    let snapshot = api.snapshot.borrow().clone();
    let mut after: BTreeMap<Key, Spec> = BTreeMap::new();
    for (key, stored) in &snapshot.resources {
        after.insert(key.clone(), stored.spec.clone());
    }
    for change in &changes {
        let found = snapshot
            .resources
            .get(&change.key)
            .map_or(Revision::NONE, |s| s.revision);
        if let Some(expected) = change.version
            && expected < found
        {
            return Err(race(&change.key, expected, found));
        }
        match &change.spec {
            Some(spec) => after.insert(change.key.clone(), spec.clone()),
            None if found == Revision::NONE => {
                let error = format!("{} is not declared", change.key);
                return Err(problem(StatusCode::NOT_FOUND, error));
            }
            None => after.remove(&change.key),
        };
    }
    let partners: HashSet<&Arc<str>> = changes.iter().map(|change| &change.key.partner).collect();
    let touched = after
        .iter()
        .filter(|(key, _)| partners.contains(&key.partner));
    let dangling = touched.filter_map(|(key, spec)| {
        let (field, missing) = check::dangling(spec, &after)?;
        Some(Finding {
            file: key.to_string().into(),
            line: None,
            field: field.to_owned(),
            message: format!("{missing} is not declared"),
        })
    });
    let dangling: Vec<Finding> = dangling.collect();
    if !dangling.is_empty() {
        return Err(findings(dangling));
    }
    send(api, &changes, &snapshot).await
}

async fn send(api: &Api, changes: &[Change], snapshot: &Snapshot) -> Result<Json<Value>, Refused> {
    let write = |change: &Change| {
        let known = snapshot
            .resources
            .get(&change.key)
            .map_or(Revision::NONE, |s| s.revision);
        Write {
            key: format!("{RESOURCE_PREFIX}{}", change.key).into(),
            expect: Some(change.version.unwrap_or(known)),
            value: change.spec.as_ref().map(|spec| json!(spec)),
        }
    };
    let number = api.next_nonce.fetch_add(1, Ordering::Relaxed);
    let commit = Commit {
        nonce: format!("{}/{number}", api.name),
        writes: changes.iter().map(write).collect(),
    };
    let (reply, answer) = oneshot::channel();
    let _ = api.work.send(Work::Commit(commit, reply));
    let verdict = answer
        .await
        .unwrap_or(Err(TableError::Unavailable("stopping".to_owned())));
    match verdict {
        Ok(Verdict::Done(revision)) => {
            let _ = api.configuration.send(configuration::Request::Poll);
            // So that the caller's next change is made against this one.
            let mut newest = api.snapshot.clone();
            let own = newest.wait_for(|snapshot| snapshot.revision >= revision);
            let _ = tokio::time::timeout(OWN_WAIT, own).await;
            Ok(Json(json!({ "revision": revision })))
        }
        Ok(Verdict::Conflict { key, found }) => {
            let key = key.strip_prefix(RESOURCE_PREFIX).and_then(Key::parse);
            let change = changes
                .iter()
                .find(|change| Some(&change.key) == key.as_ref());
            let change = change.unwrap_or(&changes[0]);
            let known = snapshot
                .resources
                .get(&change.key)
                .map_or(Revision::NONE, |s| s.revision);
            Err(race(&change.key, change.version.unwrap_or(known), found))
        }
        Err(error) => {
            let message = format!("{error}; whether the change took effect is unknown: get it");
            Err(problem(StatusCode::SERVICE_UNAVAILABLE, message))
        }
    }
}

#[derive(Deserialize)]
pub(super) struct Since {
    since: Revision,
}

/// Changes after a revision; waits for one if there is none yet.
pub(super) async fn watch_changes(
    State(api): Shared,
    headers: HeaderMap,
    Query(query): Query<Since>,
) -> Result<Json<Value>, Refused> {
    let caller = caller(&api, &headers)?;
    let mut snapshot = api.snapshot.clone();
    let newer = snapshot.wait_for(|snapshot| snapshot.revision > query.since);
    let _ = tokio::time::timeout(WATCH_HOLD, newer).await;
    let (reply, answer) = oneshot::channel();
    let question = ScanRequest {
        since: query.since,
        digest: 0,
    };
    let _ = api.configuration.send(configuration::Request::Scan {
        request: question,
        reply,
    });
    let scan = answer
        .await
        .map_err(|_| problem(StatusCode::SERVICE_UNAVAILABLE, "stopping"))?;
    let changes: Vec<Value> = scan
        .rows
        .iter()
        .filter_map(|row| {
            let key = row.key.strip_prefix(RESOURCE_PREFIX).and_then(Key::parse)?;
            caller.may(&key).then(|| {
                json!({
                    "key": key.to_string(),
                    "version": row.revision,
                    "spec": row.value,
                })
            })
        })
        .collect();
    Ok(Json(json!({ "revision": scan.head, "changes": changes })))
}
