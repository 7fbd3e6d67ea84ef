//! The state of a group, for operators.

use serde::Serialize;

use super::*;

/// A member in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    pub name: Arc<str>,
    pub role: Option<Role>,
    pub promised: Option<u64>,
    pub log: Option<Position>,
    pub applied: Position,
    pub age_ms: Option<u64>,
    pub suspected: bool,
    pub running: usize,
    /// Idle transactions.
    pub resting: usize,
    pub waiting: usize,
    /// Waiting requests that can't meet their latency target any more.
    pub late: usize,
    /// Number of connections that the member accepts from this box.
    pub room: usize,
}

/// A group in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    pub id: Arc<str>,
    pub term: u64,
    pub primary: Option<Arc<str>>,
    pub phase: &'static str,
    pub waiting_for_primary: usize,
    pub waiting_for_confirmation: usize,
    pub members: Vec<MemberDump>,
}

impl Group {
    /// Returns the state for operators.
    pub fn dump(&self, now: Duration) -> GroupDump {
        let ages: BTreeMap<usize, Option<Duration>> = self
            .candidates(now)
            .into_iter()
            .map(|candidate| (candidate.member, candidate.age))
            .collect();
        let member = |(i, member): (usize, &Member)| MemberDump {
            name: member.spec.name.clone(),
            role: member.status().map(|status| status.role),
            promised: member.status().map(|status| status.promised),
            log: member.status().map(|status| status.log),
            applied: member.applied,
            age_ms: ages
                .get(&i)
                .copied()
                .flatten()
                .map(|age| age.as_millis() as u64),
            suspected: member.suspected,
            running: member.queue.running(),
            resting: member.queue.idle_transactions(),
            waiting: member.queue.waiting(),
            late: member.queue.waiting() - member.queue.waiting_on_time(),
            room: member.connection_limit,
        };
        let members = self.members.iter().enumerate();
        let members = members.filter(|(_, member)| !member.superseded);
        GroupDump {
            id: self.plan.id.clone(),
            term: self.failover.term,
            primary: self
                .failover
                .primary
                .map(|primary| self.members[primary].spec.name.clone()),
            phase: self.failover.phase(),
            waiting_for_primary: self.waiting.for_primary.len(),
            waiting_for_confirmation: self.unconfirmed.len(),
            members: members.map(member).collect(),
        }
    }
}
