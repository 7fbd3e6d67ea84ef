//! Stand-in for the platform: a transactional table and a list of boxes that is read with a lag.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::middleware::{from_fn_with_state, map_response_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpListener;

use super::control::{apply_faults, faults_router};
use super::faults::Gate;
use super::platform_client::etag_of;
use crate::borders::roster::Listing;
use crate::borders::table::{Commit, Revision, Row, Scan, Verdict};

/// Settings of the stand-in platform.
#[derive(Clone, Debug)]
pub struct Settings {
    pub ip: IpAddr,
    pub port: u16,
    /// Delay before a change to the list of boxes is visible, in milliseconds.
    pub roster_lag_ms: u64,
}

/// Header of all answers with the number of times that the table was restored from an older copy.
pub const ERA_HEADER: &str = "table-era";

#[derive(Default)]
struct Table {
    era: u64,
    revision: Revision,
    rows: BTreeMap<Arc<str>, (Revision, Option<Value>)>,
    /// All commits, from which an older copy is rebuilt.
    commits: Vec<(Revision, Commit)>,
    /// Verdicts by nonce, for commits that are retried because their answer was lost.
    nonces: HashMap<String, Verdict>,
    reads: u64,
    writes: u64,
}

impl Table {
    fn commit(&mut self, commit: Commit) -> Verdict {
        self.writes += 1;
        if let Some(verdict) = self.nonces.get(&commit.nonce) {
            return verdict.clone();
        }
        for write in &commit.writes {
            let row = self.rows.get(&write.key);
            let found = row.map_or(Revision::NONE, |(revision, value)| match value {
                Some(_) => *revision,
                None => Revision::NONE,
            });
            if write.expect.is_some_and(|expect| expect != found) {
                let key = write.key.clone();
                return Verdict::Conflict { key, found };
            }
        }
        self.revision = self.revision.next();
        let verdict = Verdict::Done(self.revision);
        self.apply(&commit, self.revision);
        self.commits.push((self.revision, commit));
        verdict
    }

    fn apply(&mut self, commit: &Commit, revision: Revision) {
        for write in &commit.writes {
            let row = (revision, write.value.clone());
            self.rows.insert(write.key.clone(), row);
        }
        // Conflicts aren't stored, as a commit that was refused may be retried with the same nonce.
        self.nonces
            .insert(commit.nonce.clone(), Verdict::Done(revision));
    }

    /// Restores the copy that was made at a revision.
    fn restore(&mut self, revision: Revision) {
        self.era += 1;
        self.revision = revision;
        self.rows.clear();
        self.nonces.clear();
        let mut commits = std::mem::take(&mut self.commits);
        commits.retain(|(at, _)| *at <= revision);
        for (at, commit) in &commits {
            self.apply(commit, *at);
        }
        self.commits = commits;
    }

    fn scan(&mut self, since: Revision) -> Scan {
        self.reads += 1;
        let newer_rows = self.rows.iter().filter(|(_, row)| row.0 > since);
        let row = |(key, row): (&Arc<str>, &(Revision, Option<Value>))| Row {
            key: key.clone(),
            revision: row.0,
            value: row.1.clone(),
        };
        let mut rows: Vec<Row> = newer_rows.map(row).collect();
        rows.sort_by_key(|row| row.revision);
        Scan {
            head: self.revision,
            rows,
            ..Scan::default()
        }
    }
}

#[derive(Default)]
struct BoxList {
    /// Each version of the list with the time of its change; none for the initial version, which
    /// is visible at once.
    versions: Vec<(Option<Instant>, Vec<Listing>)>,
}

/// State of the stand-in platform.
#[derive(Clone)]
pub struct Platform {
    table: Arc<Mutex<Table>>,
    box_list: Arc<Mutex<BoxList>>,
    lag: Duration,
    pub gate: Gate,
}

impl Platform {
    pub fn new(ip: IpAddr, roster_lag_ms: u64) -> Self {
        Self {
            table: Arc::default(),
            box_list: Arc::default(),
            lag: Duration::from_millis(roster_lag_ms),
            gate: Gate::new(ip),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no panic under the lock")
    }

    fn box_list(&self) -> MutexGuard<'_, BoxList> {
        self.box_list.lock().expect("no panic under the lock")
    }

    /// Sets the list of boxes, which is visible to readers after the lag.
    pub fn set_boxes(&self, boxes: Vec<Listing>) {
        let mut box_list = self.box_list();
        let at = (!box_list.versions.is_empty()).then(Instant::now);
        box_list.versions.push((at, boxes));
    }

    fn boxes(&self) -> Vec<Listing> {
        let box_list = self.box_list();
        let is_visible = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= self.lag);
        let visible = box_list
            .versions
            .iter()
            .rev()
            .find(|(at, _)| is_visible(at));
        visible.map(|(_, boxes)| boxes.clone()).unwrap_or_default()
    }
}

/// Serves the platform until the listener fails.
pub async fn serve(platform: Platform, listener: TcpListener) -> std::io::Result<()> {
    let gate = platform.gate.clone();
    let gated = Router::new()
        .route("/head", get(head))
        .route("/scan", get(scan))
        .route("/commit", post(commit))
        .route("/boxes", get(boxes))
        .layer(map_response_with_state(platform.clone(), add_era_header))
        .layer(from_fn_with_state(gate.clone(), apply_faults));
    let ungated = Router::new()
        .route("/boxes", post(set_boxes))
        .route("/restore", post(restore))
        .route("/counts", get(counts));
    let router = gated.merge(ungated).with_state(platform);
    let router = router.merge(faults_router(gate));
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    axum::serve(listener, service).await
}

async fn add_era_header(State(platform): State<Platform>, mut response: Response) -> Response {
    let era = platform.table().era;
    response.headers_mut().insert(ERA_HEADER, era.into());
    response
}

/// Restores the copy of the table that was made at a revision.
async fn restore(State(platform): State<Platform>, Json(revision): Json<Revision>) {
    platform.table().restore(revision);
}

#[derive(Deserialize)]
struct Since {
    since: Revision,
}

async fn head(State(platform): State<Platform>) -> Json<Revision> {
    let mut table = platform.table();
    table.reads += 1;
    Json(table.revision)
}

async fn scan(State(platform): State<Platform>, Query(query): Query<Since>) -> Json<Scan> {
    Json(platform.table().scan(query.since))
}

async fn commit(State(platform): State<Platform>, Json(commit): Json<Commit>) -> Json<Verdict> {
    Json(platform.table().commit(commit))
}

async fn boxes(State(platform): State<Platform>, headers: HeaderMap) -> Response {
    platform.table().reads += 1;
    let body = serde_json::to_vec(&platform.boxes()).expect("a list is plain data");
    let known = headers.get(header::IF_NONE_MATCH);
    if known.is_some_and(|tag| tag.as_bytes() == etag_of(&body).as_bytes()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    body.into_response()
}

async fn set_boxes(State(platform): State<Platform>, Json(boxes): Json<Vec<Listing>>) {
    platform.set_boxes(boxes);
}

/// Returns the numbers of reads and writes served.
async fn counts(State(platform): State<Platform>) -> Json<(u64, u64)> {
    let table = platform.table();
    Json((table.reads, table.writes))
}
