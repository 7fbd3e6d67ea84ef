//! Control of a member: status, fence, promote, follow. Commands share the pooled connections
//! of statements, since a member accepts only a few connections. Promotions are ordered
//! through the platform's cloud API.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde_json::json;

use super::protocol::parse_position;
use super::upstream::INTERNAL_ID;
use crate::borders::member::{Fence, Member, MemberError, Members, Order, Role, Status, Stream};
use crate::borders::upstream::{ConnectError, Rejection, Task, UpstreamError, Verdict};
use crate::decisions::position::Position;
use crate::declarations::resource::{Address, Member as Declared};
use crate::http::{Call, HttpError, exclusive};
use crate::node::pool::Pool;

/// Timeout of a command, which may wait behind a full queue of statements at the member: 24 before
/// 3 slots.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a promotion order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between status polls of a member that is being promoted.
const PROMOTION_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Status polls after which a promotion counts as timed out.
const MAX_PROMOTION_POLLS: u32 = 50;

/// Creates the control handles of members.
pub struct Controls {
    pub pool: Rc<Pool>,
    /// Local address of connections to the API.
    pub from: IpAddr,
    /// `IP:port` of the API that takes promotion orders.
    pub cloud_api: Arc<str>,
}

impl Members for Controls {
    fn member(&self, declared: &Declared) -> Rc<dyn Member> {
        Rc::new(Control {
            pool: self.pool.clone(),
            from: self.from,
            cloud_api: self.cloud_api.clone(),
            member: declared.clone(),
        })
    }
}

struct Control {
    pool: Rc<Pool>,
    from: IpAddr,
    cloud_api: Arc<str>,
    member: Declared,
}

impl Control {
    async fn run_command(&self, text: &str) -> Result<Status, MemberError> {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.send_command(text)).await;
        answered.map_err(|_| MemberError::TimedOut)?
    }

    async fn send_command(&self, text: &str) -> Result<Status, MemberError> {
        let mut connection = self
            .pool
            .acquire_any(&self.member)
            .await
            .map_err(connect_error)?;
        let payload = Bytes::from(format!("{INTERNAL_ID} {text}"));
        let task = Task {
            payload: &payload,
            setup: None,
            floor: None,
        };
        let answer = connection.run(&task).await.map_err(upstream_error)?;
        let lines = String::from_utf8_lossy(&answer.messages).into_owned();
        let applied = connection.position();
        self.pool.release(connection);
        match answer.verdict {
            Verdict::Done => parse_status(&lines, applied),
            Verdict::Rejection(Rejection::Busy) => Err(MemberError::Busy),
            _ => Err(MemberError::InvalidAnswer(lines)),
        }
    }

    /// Sends an order to promote this member.
    async fn order_promotion(
        &self,
        connection: exclusive::Connection,
        order: &Order,
    ) -> Result<(), MemberError> {
        let body = json!({ "backend": self.member.group, "id": self.member.name });
        let call = Call {
            headers: vec![
                ("content-type", "application/json".to_owned()),
                ("x-duty-holder", order.holder.to_string()),
                ("x-fencing-token", order.generation.to_string()),
            ],
            ..Call::post(
                &self.cloud_api,
                "/promote",
                body.to_string().into_bytes(),
                ORDER_TIMEOUT,
            )
        };
        match connection.call(call).await {
            Ok(_) => Ok(()),
            Err(HttpError::Unsent(why)) => Err(MemberError::Unsent(why)),
            // Only a refusal is final.
            Err(HttpError::Status {
                code: 400..500,
                body,
            }) => Err(MemberError::InvalidAnswer(body)),
            Err(error) => Err(MemberError::Unresolved(error.to_string())),
        }
    }
}

fn connect_error(error: ConnectError) -> MemberError {
    match error {
        ConnectError::Lost(_) => MemberError::Broken,
        ConnectError::Full(_) => MemberError::Busy,
        ConnectError::TimedOut => MemberError::TimedOut,
        ConnectError::WrongMember(why) => MemberError::InvalidAnswer(why),
    }
}

fn upstream_error(error: UpstreamError) -> MemberError {
    match error {
        UpstreamError::Lost(_) => MemberError::Broken,
        UpstreamError::TimedOut => MemberError::TimedOut,
        UpstreamError::InvalidAnswer(why) => MemberError::InvalidAnswer(why),
    }
}

/// Parses a status row: role, term, received position, promised term, and fields that are not
/// used (lag, busy slots, connections).
pub fn parse_status(lines: &str, applied: Option<Position>) -> Result<Status, MemberError> {
    let invalid = || MemberError::InvalidAnswer(lines.to_owned());
    let row = lines.strip_prefix("DATA ").ok_or_else(invalid)?;
    let fields: Vec<&str> = row.split_whitespace().collect();
    let [role, term, received, promised, ..] = fields[..] else {
        return Err(invalid());
    };
    let role = match role {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return Err(invalid()),
    };
    let term: u64 = term.parse().map_err(|_| invalid())?;
    let promised: u64 = promised.parse().map_err(|_| invalid())?;
    let received = parse_position(received).unwrap_or_default();
    let applied = applied.unwrap_or_default().index.min(received.index);
    // A member that reports a term has that term's history even before its first entry. A
    // member that received entries of a later term has left the earlier term's history, even
    // if it doesn't report the later term yet.
    let log_term = term.max(received.term);
    Ok(Status {
        promised: log_term.max(promised),
        role,
        log: Position::new(log_term, received.index),
        applied: Position::new(log_term, applied),
        stream: Stream::None,
    })
}

#[async_trait(?Send)]
impl Member for Control {
    async fn status(&self) -> Result<Status, MemberError> {
        self.run_command("STATUS").await
    }

    async fn fence(&self, fence: &Fence) -> Result<Status, MemberError> {
        let term = fence.term;
        let known = self.status().await?;
        if known.log.term > fence.replaced
            || known.promised > fence.known_promise.max(fence.replaced)
        {
            let promised = known.promised;
            return Err(MemberError::Fenced { promised });
        }
        let text = match known.role {
            Role::Primary => format!("STEPDOWN {term}"),
            Role::Replica => format!("PAUSE {term}"),
        };
        match self.run_command(&text).await {
            Ok(status) => Ok(Status {
                promised: term,
                ..status
            }),
            Err(MemberError::InvalidAnswer(_)) => {
                let promised = self.status().await?.promised;
                Err(MemberError::Fenced { promised })
            }
            Err(error) => Err(error),
        }
    }

    async fn promote(
        &self,
        term: u64,
        order: &Order,
        holds_duty: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError> {
        // Opened before the last checks, which must be recent when the order is sent.
        let connection = exclusive::Connection::open(self.from, &self.cloud_api).await;
        let connection = connection.map_err(|error| MemberError::Unsent(error.to_string()))?;
        let before = self.status().await?;
        // The fence may have been lost in a restart or replaced by another box's fence, or another
        // box's promotion may have reached the same term.
        if before.promised != term || before.log.term >= term {
            return Err(MemberError::Fenced {
                promised: before.promised,
            });
        }
        if !holds_duty() {
            return Err(MemberError::Superseded);
        }
        self.order_promotion(connection, order).await?;
        for _ in 0..MAX_PROMOTION_POLLS {
            tokio::time::sleep(PROMOTION_POLL_INTERVAL).await;
            if let Ok(status) = self.status().await
                && status.role == Role::Primary
            {
                return Ok(status);
            }
        }
        let why = "accepted, but no primary appeared";
        Err(MemberError::Unresolved(why.to_owned()))
    }

    async fn follow(&self, term: u64, _: &Address) -> Result<Status, MemberError> {
        let status = self.run_command(&format!("STEPDOWN {term}")).await?;
        if status.promised > status.log.term {
            // The promotion of another member does not release this member's fence.
            return self.run_command("RESUME").await;
        }
        Ok(status)
    }

    async fn release_fence(&self, term: u64) -> Result<(), MemberError> {
        // The command names no term, and would end the fence of a later ballot.
        let promised = self.status().await?.promised;
        if promised != term {
            return Err(MemberError::Fenced { promised });
        }
        self.run_command("RESUME").await.map(|_| ())
    }

    async fn wait_until_gone(&self) {
        // Not observed here: the statements running on the member notice its loss first.
        std::future::pending().await
    }
}
