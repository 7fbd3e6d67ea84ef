//! Members that start again under their name.
//!
//! Such a member may have kept its log or lost all; it has forgotten every fence, and what
//! it showed before says nothing of what it does now. So it gets a new place, at which
//! nothing is known of it: no report, grant, evidence, latency or time to leave. What is
//! late for the old place is dropped there.
//!
//! A primary keeps the lead only once it shows that it still has it: it reports so, in the
//! same term, with all that it was seen to hold. Otherwise it is replaced.

use std::time::Duration;

use super::*;

impl Group {
    /// Gives a member that started again a new place. Returns it.
    pub(super) fn succeed(&mut self, place: usize, spec: &MemberSpec, now: Duration) -> usize {
        let earlier = &mut self.members[place];
        let shown = earlier.status().map_or(Position::ZERO, |status| status.log);
        let before = earlier.earlier.map_or(Position::ZERO, |before| before.log);
        let log = shown.max(earlier.applied).max(before);
        earlier.gone = true;
        earlier.succeeded = true;
        earlier.view = None;
        earlier.suspected = true;
        earlier.broken = Some(now);
        let mut member = Member::new(spec.clone(), 1, &self.settings, now);
        member.earlier = Some(Earlier { log, heard: now });
        member.wanted = true;
        if self.replace.primary == Some(place) {
            // Until it shows that it still leads.
            member.broken = Some(now);
            member.suspected = true;
        }
        self.members.push(member);
        let new = self.members.len() - 1;
        self.replace.rename(place, new);
        self.restarted.push((place, new));
        new
    }

    /// Drops what rests on the earlier start of members.
    pub(super) fn note_restarted(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.restarted.is_empty() {
            return;
        }
        for (earlier, member) in std::mem::take(&mut self.restarted) {
            out.push(Action::Log(Note::Restarted { member }));
            self.confirm.forget(earlier);
            // What a majority was seen to hold may be held by fewer now.
            self.held = Position::ZERO;
            let steps = self.replace.restarted(earlier, member, now);
            self.take_steps(steps, now, out);
        }
        self.requeue(now, out);
    }

    /// Whether a primary that started again has lost what it held: it must not lead on.
    pub(super) fn has_lost_log(&self, member: usize, status: &Status) -> bool {
        let earlier = self.members[member].earlier;
        earlier.is_some_and(|earlier| !status.log.covers(earlier.log))
    }

    /// Whether what a member shows counts for the lease. One that started again may have
    /// forgotten the fence on which another box's promotion rests: it counts once that
    /// promotion would show, or every other member was seen since neither to lead a later
    /// term nor to be fenced for one. Without the first, a group whose third member stayed
    /// away was served nothing meanwhile: worth 0.29 instead of 0.48 and 0.37 instead of
    /// 0.51 on two drawn days on which half of all members start again.
    pub(super) fn vouches(&self, place: usize, now: Duration) -> bool {
        let Some(earlier) = self.members[place].earlier else {
            return true;
        };
        if now >= earlier.heard + self.settings.replace.settled {
            return true;
        }
        let seen = |other: usize| {
            let other = &self.members[other];
            other.kept.max(other.clear) >= Some(earlier.heard)
        };
        self.present().filter(|other| *other != place).all(seen)
    }
}
