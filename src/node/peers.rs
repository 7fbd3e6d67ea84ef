//! What boxes say to each other: HTTP with `rmp-serde`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::configuration::PRIMARY_PREFIX;
use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply};
use super::limits;
use super::updates::{FollowAnswer, FollowRequest, ScanRequest, Update};
use crate::borders::roster::Listing;
use crate::borders::table::{Commit, Revision, Scan, Verdict, Write};
use crate::decisions::limit::Loan;
use crate::declarations::snapshot::Primary;
use crate::http::HttpError;

pub const EXCHANGE: &str = "/peer/exchange";
pub const ABANDON: &str = "/peer/abandon";
pub const OPINION: &str = "/peer/opinion";
pub const REACH: &str = "/peer/reach";
pub const REVOKE: &str = "/peer/revoke";
pub const NEWS: &str = "/peer/news";
pub const SCAN: &str = "/peer/scan";
pub const BOXES: &str = "/peer/boxes";
pub const FOLLOW: &str = "/peer/follow";
pub const BORROW: &str = "/peer/borrow";
pub const WARN: &str = "/peer/warn";

const SMALL_WAIT: Duration = Duration::from_millis(500);
/// Time for an owner's word on a cut: those that matter are in the same failure domain, and
/// the others are waited for in vain.
const REACH_WAIT: Duration = Duration::from_millis(150);
/// A forwarded read gets this part of its time before another owner is asked.
const READ_TRIES: u32 = 2;
const EXCHANGE_WAIT: Duration = Duration::from_secs(600);
const RECORD_PAUSE: Duration = Duration::from_millis(500);
const RECORD_TRIES: u32 = 120;

/// Why a forwarded exchange brought nothing back.
#[derive(Debug)]
pub enum ForwardError {
    /// The owner answered, and this is why there is no reply.
    Failure(Failure),
    /// The owner could not be reached: nothing was sent.
    Unsent,
    /// The owner was lost after the exchange was sent.
    Lost,
}

async fn call<Q: Serialize, A: DeserializeOwned>(
    context: &Context,
    address: &str,
    path: &str,
    request: &Q,
    wait: Duration,
) -> Result<A, HttpError> {
    let body = rmp_serde::to_vec(request).expect("messages are plain data");
    let bytes = context.client.post(address, path, body, wait).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| HttpError::Broken(error.to_string()))
}

/// Has an owner serve an exchange.
pub async fn forward(
    context: &Context,
    owner: &str,
    exchange: &Exchange,
) -> Result<Reply, ForwardError> {
    context.metrics.forwarded.add(1, &[]);
    let wait = exchange.limit.unwrap_or(EXCHANGE_WAIT);
    let wait = match exchange.effect {
        // A read may be asked for elsewhere.
        Effect::Reads if exchange.lease.is_none() => wait / READ_TRIES,
        _ => wait,
    };
    let answer: Result<Result<Reply, Failure>, HttpError> =
        call(context, owner, EXCHANGE, exchange, wait).await;
    match answer {
        Ok(served) => served.map_err(ForwardError::Failure),
        Err(HttpError::Unsent(_)) => Err(ForwardError::Unsent),
        Err(_) => Err(ForwardError::Lost),
    }
}

/// Tells an owner that a held connection is no longer wanted.
pub async fn abandon_lease(context: Rc<Context>, owner: Arc<str>, lease: u64) {
    let _: Result<(), _> = call(&context, &owner, ABANDON, &lease, SMALL_WAIT).await;
}

/// Whether another owner suspects the primary of a group, none if it can't tell.
pub async fn fetch_opinion(
    context: Rc<Context>,
    owner: Listing,
    group: Arc<str>,
    term: u64,
) -> Option<bool> {
    let question = (group, term);
    let answer: Result<Option<bool>, _> =
        call(&context, &owner.address, OPINION, &question, SMALL_WAIT).await;
    answer.ok().flatten()
}

/// Whether an owner reaches a majority of a group's members, none if it can't tell.
pub async fn fetch_reach(context: &Context, owner: &str, group: &Arc<str>) -> Option<bool> {
    let answer: Result<Option<bool>, _> = call(context, owner, REACH, group, REACH_WAIT).await;
    answer.ok().flatten()
}

/// Tells a box of the same failure domain that the others are silent.
pub async fn send_partition_alert(context: Rc<Context>, peer: Arc<str>) {
    let from = &context.settings.name;
    let _: Result<(), _> = call(&context, &peer, WARN, from, SMALL_WAIT).await;
}

/// Asks a box to lend operations out of a workspace's limit, none if it can't.
pub async fn borrow(
    context: &Context,
    lender: &str,
    question: &limits::Question,
    wait: Duration,
) -> Option<Loan> {
    let answer: Result<Option<Loan>, _> = call(context, lender, BORROW, question, wait).await;
    answer.ok().flatten()
}

/// Has a box give up its lease on a group. Whether it did, and promotes nobody.
pub async fn revoke(context: Rc<Context>, peer: Arc<str>, group: Arc<str>) -> bool {
    let done = call(&context, &peer, REVOKE, &group, SMALL_WAIT).await;
    done.unwrap_or(false)
}

pub async fn push_update(context: Rc<Context>, peer: Arc<str>, news: Update) {
    let _: Result<(), _> = call(&context, &peer, NEWS, &news, SMALL_WAIT).await;
}

pub async fn fetch_rows(context: &Context, peer: &str, question: &ScanRequest) -> Option<Scan> {
    call(context, peer, SCAN, question, SMALL_WAIT).await.ok()
}

/// Asks a reader of the table for what is new there, and waits for it.
pub async fn follow(
    context: &Context,
    reader: &str,
    state: &FollowRequest,
    wait: Duration,
) -> Option<FollowAnswer> {
    call(context, reader, FOLLOW, state, wait).await.ok()
}

pub async fn fetch_boxes(context: &Context, peer: &str) -> Option<Vec<Listing>> {
    call(context, peer, BOXES, &(), SMALL_WAIT).await.ok()
}

/// Records a group's new primary in the table, until the table answers.
pub async fn record_primary(context: Rc<Context>, group: Arc<str>, term: u64, member: Arc<str>) {
    let key: Arc<str> = format!("{PRIMARY_PREFIX}{group}").into();
    for _ in 0..RECORD_TRIES {
        let known = context.snapshot.borrow().primaries.get(&group).cloned();
        if known.as_ref().is_some_and(|primary| primary.term >= term) {
            return;
        }
        let expect = known.map_or(Revision::NONE, |primary| primary.revision);
        let primary = Primary {
            term,
            member: member.clone(),
            revision: Revision::NONE,
        };
        let write = Write {
            key: key.clone(),
            expect: Some(expect),
            value: serde_json::to_value(&primary).ok(),
        };
        let commit = Commit {
            nonce: format!("{group}/{term}/{expect}"),
            writes: vec![write],
        };
        if let Ok(Verdict::Done(_)) = context.table.commit(&commit).await {
            return;
        }
        tokio::time::sleep(RECORD_PAUSE).await;
    }
}
