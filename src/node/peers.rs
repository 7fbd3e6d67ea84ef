//! Calls between boxes: HTTP requests with MessagePack bodies. Structs are encoded by position,
//! so the order of their fields is part of the protocol.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::Instant;

use super::configuration::PRIMARY_PREFIX;
use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply};
use super::limits;
use super::registrar::Welcome;
use super::updates::{FollowAnswer, FollowRequest, ScanRequest, Update};
use crate::borders::roster::Listing;
use crate::borders::table::{Commit, Revision, Scan, Verdict, Write};
use crate::decisions::limit::Loan;
use crate::declarations::snapshot::Primary;
use crate::http::{Call, HttpError};

pub const EXCHANGE: &str = "/peer/exchange";
pub const ABANDON: &str = "/peer/abandon";
pub const OPINION: &str = "/peer/opinion";
pub const REACH: &str = "/peer/reach";
pub const LIVE_MEMBERS: &str = "/peer/members";
pub const REVOKE: &str = "/peer/revoke";
pub const UPDATE: &str = "/peer/news";
pub const SCAN: &str = "/peer/scan";
pub const BOXES: &str = "/peer/boxes";
pub const FOLLOW: &str = "/peer/follow";
pub const BORROW: &str = "/peer/borrow";
pub const ALERT: &str = "/peer/warn";
pub const JOIN: &str = "/peer/join";
pub const READERS: &str = "/peer/readers";

/// Timeout of calls that don't wait for a member.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without data after which the transfer of a large answer is given up. The time of the whole
/// transfer depends on the number of declarations, and is not limited.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for joining through another box, which collects boxes before it writes them to the table.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for asking an owner which members it reaches. Short, as only answers from the same
/// failure domain matter, and others don't arrive during a partition.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);
/// Attempts that share the time of a forwarded read, so that another owner can be asked.
const READ_ATTEMPTS: u32 = 2;
/// Timeout of exchanges without a deadline.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(600);
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const MAX_RECORD_ATTEMPTS: u32 = 120;

/// Why a forwarded exchange has no reply.
#[derive(Debug)]
pub enum ForwardError {
    /// The owner answered with a failure.
    Failure(Failure),
    /// The owner couldn't be reached, so nothing was sent.
    Unsent,
    /// The connection was lost or timed out after the exchange was sent.
    Lost,
}

async fn call<Q: Serialize, A: DeserializeOwned>(
    context: &Context,
    address: &str,
    path: &str,
    request: &Q,
    timeout: Duration,
) -> Result<A, HttpError> {
    let call = Call::post(address, path, encode(request), timeout);
    let received = send(context, call).await?;
    Ok(received.answer)
}

/// A decoded answer.
#[derive(Debug)]
pub struct Received<A> {
    pub answer: A,
    /// When it began to arrive.
    pub arrived: Instant,
}

/// Makes a call whose answer may be large: `timeout` is that of the first part of the answer, and
/// the transfer of the rest only has to go on.
async fn transfer<Q: Serialize, A: DeserializeOwned>(
    context: &Context,
    address: &str,
    path: &str,
    request: &Q,
    timeout: Duration,
    progress: Option<&watch::Sender<usize>>,
) -> Result<Received<A>, HttpError> {
    let call = Call {
        stall_timeout: Some(STALL_TIMEOUT),
        progress,
        ..Call::post(address, path, encode(request), timeout)
    };
    send(context, call).await
}

async fn send<A: DeserializeOwned>(
    context: &Context,
    call: Call<'_>,
) -> Result<Received<A>, HttpError> {
    let response = context.client.send(call).await?.check_status()?;
    let answer = rmp_serde::from_slice(&response.body);
    Ok(Received {
        answer: answer.map_err(|error| HttpError::Failed(error.to_string()))?,
        arrived: response.arrived,
    })
}

fn encode<Q: Serialize>(request: &Q) -> Vec<u8> {
    rmp_serde::to_vec(request).expect("messages can be serialized")
}

/// Forwards an exchange to an owner.
pub async fn forward(
    context: &Context,
    owner: &str,
    exchange: &Exchange,
) -> Result<Reply, ForwardError> {
    context.metrics.forwarded.add(1, &[]);
    let timeout = exchange.limit.unwrap_or(EXCHANGE_TIMEOUT);
    let timeout = match exchange.effect {
        // Leaves time to retry the read at another owner.
        Effect::Reads if exchange.lease.is_none() => timeout / READ_ATTEMPTS,
        _ => timeout,
    };
    let answer: Result<Result<Reply, Failure>, HttpError> =
        call(context, owner, EXCHANGE, exchange, timeout).await;
    match answer {
        Ok(result) => result.map_err(ForwardError::Failure),
        Err(HttpError::Unsent(_)) => Err(ForwardError::Unsent),
        Err(_) => Err(ForwardError::Lost),
    }
}

/// Asks an owner to roll back a session's transaction and release its pinned connection.
pub async fn abandon_transaction(context: Rc<Context>, owner: Arc<str>, lease: u64) {
    let _: Result<(), _> = call(&context, &owner, ABANDON, &lease, CALL_TIMEOUT).await;
}

/// Asks another owner whether it suspects the primary of a group; none if it can't tell.
pub async fn fetch_opinion(
    context: Rc<Context>,
    owner: Listing,
    group: Arc<str>,
    term: u64,
) -> Option<bool> {
    let request = (group, term);
    let answer: Result<Option<bool>, _> =
        call(&context, &owner.address, OPINION, &request, CALL_TIMEOUT).await;
    answer.ok().flatten()
}

/// Asks an owner whether it reaches a majority of a group's members; none if it can't tell.
pub async fn fetch_reach(context: &Context, owner: &str, group: &Arc<str>) -> Option<bool> {
    let answer: Result<Option<bool>, _> = call(context, owner, REACH, group, REACH_TIMEOUT).await;
    answer.ok().flatten()
}

/// Asks an owner which members of a group it doesn't take for lost; none if it can't tell.
pub async fn fetch_live_members(
    context: &Context,
    owner: &str,
    group: &Arc<str>,
) -> Option<BTreeSet<Arc<str>>> {
    let answer: Result<Option<BTreeSet<Arc<str>>>, _> =
        call(context, owner, LIVE_MEMBERS, group, CALL_TIMEOUT).await;
    answer.ok().flatten()
}

/// Alerts a box of the same failure domain that the other failure domains may be unreachable.
pub async fn send_partition_alert(context: Rc<Context>, peer: Arc<str>) {
    let from = &context.settings.name;
    let _: Result<(), _> = call(&context, &peer, ALERT, from, CALL_TIMEOUT).await;
}

/// Asks a box to lend operations from its part of a workspace's limit; none if it can't.
pub async fn borrow(
    context: &Context,
    lender: &str,
    request: &limits::LoanRequest,
    timeout: Duration,
) -> Option<Loan> {
    let answer: Result<Option<Loan>, _> = call(context, lender, BORROW, request, timeout).await;
    answer.ok().flatten()
}

/// Asks a box to give up its lease on a group. Returns whether it did, and isn't replacing the
/// primary itself.
pub async fn revoke(context: Rc<Context>, peer: Arc<str>, group: Arc<str>) -> bool {
    let revoked = call(&context, &peer, REVOKE, &group, CALL_TIMEOUT).await;
    revoked.unwrap_or(false)
}

/// Asks a box to add this one to the list of boxes; none if it can't.
pub async fn join(context: &Context, peer: &str, listing: &Listing) -> Option<Welcome> {
    let welcome: Result<Welcome, _> = call(context, peer, JOIN, listing, JOIN_TIMEOUT).await;
    welcome.ok()
}

/// Asks a box for the readers of this box's failure domain. The error tells whether the box was
/// reached.
pub async fn fetch_readers(context: &Context, peer: &str) -> Result<Vec<Listing>, HttpError> {
    let domain = &context.settings.domain;
    call(context, peer, READERS, domain, CALL_TIMEOUT).await
}

pub async fn push_update(context: Rc<Context>, peer: Arc<str>, update: Update) {
    let _: Result<(), _> = call(&context, &peer, UPDATE, &update, CALL_TIMEOUT).await;
}

pub async fn fetch_rows(context: &Context, peer: &str, request: &ScanRequest) -> Option<Scan> {
    let scan = transfer(context, peer, SCAN, request, CALL_TIMEOUT, None).await;
    scan.ok().map(|received| received.answer)
}

/// Asks a reader of the table for changes, and waits until there are some. `progress` receives the
/// number of bytes that have arrived.
pub async fn follow(
    context: &Context,
    reader: &str,
    request: &FollowRequest,
    timeout: Duration,
    progress: &watch::Sender<usize>,
) -> Option<Received<FollowAnswer>> {
    let answer = transfer(context, reader, FOLLOW, request, timeout, Some(progress)).await;
    answer.ok()
}

pub async fn fetch_boxes(context: &Context, peer: &str) -> Option<Vec<Listing>> {
    let boxes = transfer(context, peer, BOXES, &(), CALL_TIMEOUT, None).await;
    boxes.ok().map(|received| received.answer)
}

/// Records a group's new primary in the table. Retries until that is done, or the table names a
/// primary of this term or a later one.
pub async fn record_primary(context: Rc<Context>, group: Arc<str>, term: u64, member: Arc<str>) {
    let key: Arc<str> = format!("{PRIMARY_PREFIX}{group}").into();
    for _ in 0..MAX_RECORD_ATTEMPTS {
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
        tokio::time::sleep(RECORD_RETRY_INTERVAL).await;
    }
}
