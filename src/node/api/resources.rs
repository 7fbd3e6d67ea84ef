//! The resource API, by which operators declare, list and watch resources.

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

/// Time to wait until an accepted change is in force on this box.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for changes before a watch request is answered without any.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The body of an error response.
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

pub(super) type ErrorResponse = (StatusCode, Json<Problem>);

fn error_response(status: StatusCode, error: impl Into<String>) -> ErrorResponse {
    let problem = Problem {
        error: error.into(),
        findings: Vec::new(),
        expected: None,
        found: None,
    };
    (status, Json(problem))
}

fn invalid_resource(findings: Vec<Finding>) -> ErrorResponse {
    let (status, Json(problem)) =
        error_response(StatusCode::UNPROCESSABLE_ENTITY, "invalid resource");
    (
        status,
        Json(Problem {
            findings,
            ..problem
        }),
    )
}

fn version_conflict(key: &Key, expected: Revision, found: Revision) -> ErrorResponse {
    let error = format!("{key} has version {found}, not {expected}: somebody else changed it");
    let (status, Json(problem)) = error_response(StatusCode::CONFLICT, error);
    let (expected, found) = (Some(expected), Some(found));
    let problem = Problem {
        expected,
        found,
        ..problem
    };
    (status, Json(problem))
}

/// The owner of a request's bearer token.
#[derive(Clone, Debug)]
enum Principal {
    /// The administrator, who may only declare partners.
    Admin,
    /// The operator of a partner.
    Operator(Arc<str>),
}

impl Principal {
    /// Whether the principal may read and change a resource.
    fn has_access(&self, key: &Key) -> bool {
        match self {
            Principal::Admin => key.kind == Kind::Partner,
            Principal::Operator(partner) => key.partner == *partner,
        }
    }

    fn check_access(&self, key: &Key) -> Result<(), ErrorResponse> {
        if self.has_access(key) {
            return Ok(());
        }
        let error = format!("{key} is not this token's to see or change");
        Err(error_response(StatusCode::FORBIDDEN, error))
    }

    /// Checks that the principal may change a resource. A partner's own operator can't change the
    /// partner, as its weight is relative to the other partners.
    fn check_change(&self, key: &Key) -> Result<(), ErrorResponse> {
        let own_partner = matches!(self, Principal::Operator(_)) && key.kind == Kind::Partner;
        if !own_partner {
            return self.check_access(key);
        }
        let error = format!("{key} is changed with the administrator's token only");
        Err(error_response(StatusCode::FORBIDDEN, error))
    }
}

fn authenticate(api: &Api, headers: &HeaderMap) -> Result<Principal, ErrorResponse> {
    let bearer = headers.get(header::AUTHORIZATION);
    let text = bearer
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let token = text.strip_prefix("Bearer ").unwrap_or_default();
    let snapshot = api.snapshot.borrow().clone();
    // Compares the token with every hash, so that the response time reveals nothing.
    let mut found = None;
    for partner in snapshot.partners.values() {
        if secret::matches_hash(token, &partner.operator) {
            found = Some(Principal::Operator(partner.name.clone()));
        }
    }
    if let Some(hash) = &api.admin_hash
        && secret::matches_hash(token, hash)
    {
        found = Some(Principal::Admin);
    }
    found.ok_or_else(|| error_response(StatusCode::UNAUTHORIZED, "nobody has this token"))
}

#[derive(Serialize)]
struct ShownResource<'a> {
    key: String,
    version: Revision,
    spec: &'a Spec,
}

fn show_resource<'a>(key: &Key, stored: &'a Stored) -> ShownResource<'a> {
    ShownResource {
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
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let snapshot = api.snapshot.borrow().clone();
    let is_listed = |key: &Key| {
        let kind_matches = filter
            .kind
            .as_deref()
            .is_none_or(|kind| kind == key.kind.name());
        principal.has_access(key) && kind_matches
    };
    let found = snapshot.resources.iter().filter(|(key, _)| is_listed(key));
    let resources: Vec<ShownResource> = found
        .map(|(key, stored)| show_resource(key, stored))
        .collect();
    Ok(Json(
        json!({ "revision": snapshot.revision, "resources": resources }),
    ))
}

fn parse_key(text: &str) -> Result<Key, ErrorResponse> {
    let message = "a key is KIND/PARTNER or KIND/PARTNER/NAME";
    Key::parse(text).ok_or_else(|| error_response(StatusCode::NOT_FOUND, message))
}

pub(super) async fn show(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let key = parse_key(&key)?;
    principal.check_access(&key)?;
    let snapshot = api.snapshot.borrow().clone();
    let stored = snapshot.resources.get(&key);
    let stored = stored
        .ok_or_else(|| error_response(StatusCode::NOT_FOUND, format!("{key} is not declared")))?;
    let mut value = json!(show_resource(&key, stored));
    if key.kind == Kind::Group {
        let id = group_id(&key.partner, &key.name);
        value["status"] = json!(snapshot.primaries.get(&id));
    }
    value["revision"] = json!(snapshot.revision);
    Ok(Json(value))
}

/// Returns the version that the If-Match header requires, if any.
fn required_version(headers: &HeaderMap) -> Result<Option<Revision>, ErrorResponse> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let message = "If-Match must be a version number";
    let number: u64 = text
        .parse()
        .map_err(|_| error_response(StatusCode::BAD_REQUEST, message))?;
    Ok(Some(number.into()))
}

pub(super) async fn put(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
    Json(body): Json<Value>,
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let key = parse_key(&key)?;
    principal.check_change(&key)?;
    let entry = Entry::from_json(key.kind.name(), &key.to_string(), &body);
    let entry = entry.map_err(|finding| invalid_resource(vec![finding]))?;
    let spec = check::one(&entry).map_err(invalid_resource)?;
    if spec.key() != key {
        let error = format!("the body describes {}, the path names {key}", spec.key());
        return Err(error_response(StatusCode::UNPROCESSABLE_ENTITY, error));
    }
    let version = required_version(&headers)?;
    let change = Change {
        key,
        version,
        spec: Some(spec),
    };
    check_and_commit(&api, vec![change]).await
}

pub(super) async fn delete(
    State(api): Shared,
    headers: HeaderMap,
    Path(key): Path<String>,
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let key = parse_key(&key)?;
    principal.check_change(&key)?;
    let version = required_version(&headers)?;
    let change = Change {
        key,
        version,
        spec: None,
    };
    check_and_commit(&api, vec![change]).await
}

/// A change of a resource.
struct Change {
    key: Key,
    /// Version that the resource must have; none for the version that this box knows.
    version: Option<Revision>,
    /// None deletes the resource.
    spec: Option<Spec>,
}

/// A request to declare several resources in one commit.
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
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let mut found = Vec::new();
    let mut specs = Vec::new();
    for declared in &apply.resources {
        let entry = Entry::from_json(&declared.kind, "request", &declared.spec);
        match entry
            .map_err(|f| vec![f])
            .and_then(|entry| check::one(&entry))
        {
            Ok(spec) => specs.push(spec),
            Err(invalid) => found.extend(invalid),
        }
    }
    if !found.is_empty() {
        return Err(invalid_resource(found));
    }
    for spec in &specs {
        principal.check_change(&spec.key())?;
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
    let Json(mut done) = check_and_commit(&api, changes).await?;
    done["plan"] = json!(plan);
    Ok(Json(done))
}

/// Checks the versions and references of the changes, and commits them together.
async fn check_and_commit(api: &Api, changes: Vec<Change>) -> Result<Json<Value>, ErrorResponse> {
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
            return Err(version_conflict(&change.key, expected, found));
        }
        match &change.spec {
            Some(spec) => after.insert(change.key.clone(), spec.clone()),
            None if found == Revision::NONE => {
                let error = format!("{} is not declared", change.key);
                return Err(error_response(StatusCode::NOT_FOUND, error));
            }
            None => after.remove(&change.key),
        };
    }
    let partners: HashSet<&Arc<str>> = changes.iter().map(|change| &change.key.partner).collect();
    let touched = after
        .iter()
        .filter(|(key, _)| partners.contains(&key.partner));
    let dangling = touched.filter_map(|(key, spec)| {
        let (field, missing) = check::missing_reference(spec, &after)?;
        Some(Finding {
            file: key.to_string().into(),
            line: None,
            field: field.to_owned(),
            message: format!("{missing} is not declared"),
        })
    });
    let dangling: Vec<Finding> = dangling.collect();
    if !dangling.is_empty() {
        return Err(invalid_resource(dangling));
    }
    send_commit(api, &changes, &snapshot).await
}

async fn send_commit(
    api: &Api,
    changes: &[Change],
    snapshot: &Snapshot,
) -> Result<Json<Value>, ErrorResponse> {
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
            // Lets the operator's next request see this change.
            let mut newest = api.snapshot.clone();
            let applied = newest.wait_for(|snapshot| snapshot.revision >= revision);
            let _ = tokio::time::timeout(APPLY_TIMEOUT, applied).await;
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
            Err(version_conflict(
                &change.key,
                change.version.unwrap_or(known),
                found,
            ))
        }
        Err(error) => {
            let message = format!("{error}; whether the change took effect is unknown: get it");
            Err(error_response(StatusCode::SERVICE_UNAVAILABLE, message))
        }
    }
}

#[derive(Deserialize)]
pub(super) struct Since {
    since: Revision,
}

/// Returns the changes after a revision. Waits for one if there is none yet.
pub(super) async fn watch_changes(
    State(api): Shared,
    headers: HeaderMap,
    Query(query): Query<Since>,
) -> Result<Json<Value>, ErrorResponse> {
    let principal = authenticate(&api, &headers)?;
    let mut snapshot = api.snapshot.clone();
    let newer = snapshot.wait_for(|snapshot| snapshot.revision > query.since);
    let _ = tokio::time::timeout(WATCH_TIMEOUT, newer).await;
    let (reply, answer) = oneshot::channel();
    let request = ScanRequest {
        since: query.since,
        digest: 0,
    };
    let _ = api
        .configuration
        .send(configuration::Request::Scan { request, reply });
    let scan = answer
        .await
        .map_err(|_| error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"))?;
    let changes: Vec<Value> = scan
        .rows
        .iter()
        .filter_map(|row| {
            let key = row.key.strip_prefix(RESOURCE_PREFIX).and_then(Key::parse)?;
            principal.has_access(&key).then(|| {
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
