//! The orders to a member: report, fence, promote. They go over the same pooled
//! connections as statements, since a member takes few; a promotion is ordered
//! from the platform.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use super::upstream::OWN;
use super::words::position;
use crate::borders::member::{Fence, Member, MemberError, Members, Order, Role, Status, Stream};
use crate::borders::upstream::{ConnectError, Rejection, Task, UpstreamError, Verdict};
use crate::decisions::position::Position;
use crate::declarations::resource::{Address, Member as Declared};
use crate::http::{Call, Client};
use crate::node::pool::Pool;

/// Time for a member's answer. A busy one takes its time: 24 statements may wait
/// before its 3 slots.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// Time for the answer to a promotion's order; whether it works shows at the member.
const ORDER_WAIT: Duration = Duration::from_millis(800);
/// Time between two looks at a member that is being promoted.
const PROMOTED_LOOK: Duration = Duration::from_millis(40);
/// Looks until a promotion counts as failed: it takes 300 to 600 ms.
const PROMOTED_LOOKS: u32 = 50;

/// Makes the control halves of members.
pub struct Controls {
    pub pool: Rc<Pool>,
    pub client: Client,
    /// `IP:port` at which the platform takes promotions.
    pub cloud: Arc<str>,
}

impl Members for Controls {
    fn member(&self, declared: &Declared) -> Rc<dyn Member> {
        Rc::new(Control {
            pool: self.pool.clone(),
            client: self.client.clone(),
            cloud: self.cloud.clone(),
            member: declared.clone(),
        })
    }
}

struct Control {
    pool: Rc<Pool>,
    client: Client,
    cloud: Arc<str>,
    member: Declared,
}

impl Control {
    async fn ask(&self, text: &str) -> Result<Status, MemberError> {
        let asked = tokio::time::timeout(ANSWER_WAIT, self.exchange(text)).await;
        asked.map_err(|_| MemberError::TimedOut)?
    }

    async fn exchange(&self, text: &str) -> Result<Status, MemberError> {
        let mut connection = self
            .pool
            .take_any(&self.member)
            .await
            .map_err(unreachable)?;
        let payload = Bytes::from(format!("{OWN} {text}"));
        let task = Task {
            payload: &payload,
            setup: None,
            floor: None,
        };
        let answer = connection.run(&task).await.map_err(lost)?;
        let lines = String::from_utf8_lossy(&answer.messages).into_owned();
        let applied = connection.position();
        self.pool.put(&self.member, connection);
        match answer.verdict {
            Verdict::Done => report(&lines, applied),
            Verdict::Rejection(Rejection::Busy) => Err(MemberError::Busy),
            _ => Err(MemberError::InvalidAnswer(lines)),
        }
    }

    async fn order(&self, order: &Order) -> Result<(), MemberError> {
        let body = json!({ "backend": self.member.group, "id": self.member.name });
        let call = Call {
            method: Method::POST,
            address: &self.cloud,
            path: "/promote",
            bearer: None,
            headers: vec![
                ("content-type", "application/json".to_owned()),
                ("x-duty-holder", order.holder.to_string()),
                ("x-fencing-token", order.generation.to_string()),
            ],
            body: body.to_string().into_bytes(),
            wait: ORDER_WAIT,
        };
        let answered = self.client.call(call).await;
        answered
            .map(|_| ())
            .map_err(|error| MemberError::InvalidAnswer(error.to_string()))
    }
}

fn unreachable(error: ConnectError) -> MemberError {
    match error {
        ConnectError::Lost(_) => MemberError::Broken,
        ConnectError::Full(_) => MemberError::Busy,
        ConnectError::TimedOut => MemberError::TimedOut,
        ConnectError::WrongMember(why) => MemberError::InvalidAnswer(why),
    }
}

fn lost(error: UpstreamError) -> MemberError {
    match error {
        UpstreamError::Lost(_) => MemberError::Broken,
        UpstreamError::TimedOut => MemberError::TimedOut,
        UpstreamError::InvalidAnswer(why) => MemberError::InvalidAnswer(why),
    }
}

/// Reads a status row: role, term, position received, term held, lag, busy, connections.
pub fn report(lines: &str, applied: Option<Position>) -> Result<Status, MemberError> {
    let nonsense = || MemberError::InvalidAnswer(lines.to_owned());
    let row = lines.strip_prefix("DATA ").ok_or_else(nonsense)?;
    let words: Vec<&str> = row.split_whitespace().collect();
    let [role, term, received, held, ..] = words[..] else {
        return Err(nonsense());
    };
    let role = match role {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return Err(nonsense()),
    };
    let term: u64 = term.parse().map_err(|_| nonsense())?;
    let held: u64 = held.parse().map_err(|_| nonsense())?;
    let received = position(received).unwrap_or_default();
    let applied = applied.unwrap_or_default().index.min(received.index);
    // A member that follows a term has taken over that term's history, also before the
    // first entry of it; one that receives a later term's entries before it says so is
    // none of the earlier term's.
    let follows = term.max(received.term);
    Ok(Status {
        promised: follows.max(held),
        role,
        log: Position::new(follows, received.index),
        applied: Position::new(follows, applied),
        stream: Stream::None,
    })
}

#[async_trait(?Send)]
impl Member for Control {
    async fn status(&self) -> Result<Status, MemberError> {
        self.ask("STATUS").await
    }

    async fn fence(&self, bid: &Fence) -> Result<Status, MemberError> {
        let term = bid.term;
        let known = self.status().await?;
        if known.log.term > bid.replaced || known.promised > bid.known_promise.max(bid.replaced) {
            let promised = known.promised;
            return Err(MemberError::Fenced { promised });
        }
        let text = match known.role {
            Role::Primary => format!("STEPDOWN {term}"),
            Role::Replica => format!("PAUSE {term}"),
        };
        match self.ask(&text).await {
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
        stands: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError> {
        let before = self.status().await?;
        // A restart forgets the fence, and another box's replaces it. Another box's
        // promotion leads to a term that may be the ballot's by chance.
        if before.promised != term || before.log.term >= term {
            return Err(MemberError::Fenced {
                promised: before.promised,
            });
        }
        if !stands() {
            return Err(MemberError::Superseded);
        }
        let ordered = self.order(order).await;
        for _ in 0..PROMOTED_LOOKS {
            tokio::time::sleep(PROMOTED_LOOK).await;
            if let Ok(status) = self.status().await
                && status.role == Role::Primary
            {
                return Ok(status);
            }
            // Without an answer the order may have been carried out.
            if let Err(MemberError::InvalidAnswer(why)) = &ordered
                && why.starts_with("status 4")
            {
                return Err(MemberError::InvalidAnswer(why.clone()));
            }
        }
        Err(MemberError::TimedOut)
    }

    async fn follow(&self, term: u64, _: &Address) -> Result<Status, MemberError> {
        let status = self.ask(&format!("STEPDOWN {term}")).await?;
        if status.promised > status.log.term {
            // A promotion ends the fence of the winner only.
            return self.ask("RESUME").await;
        }
        Ok(status)
    }

    async fn release_fence(&self) -> Result<(), MemberError> {
        self.ask("RESUME").await.map(|_| ())
    }

    async fn wait_until_gone(&self) {
        // Statements run on every member all the time and see it first.
        std::future::pending().await
    }
}
