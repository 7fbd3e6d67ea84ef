//! Takes the duty of promoting before a promotion is ordered.

use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::borders::table::{Commit, Verdict, Write};
use crate::decisions::duty::{Ballot, Claim, Duty, next_duty};
use crate::events;

/// Rows of duties, by group.
pub const DUTY_PREFIX: &str = "duty/";
/// Time for the table's answer: it takes 20 ms on a calm day. Longer, and the box
/// goes on without it, since members are fenced and callers wait.
const TABLE_WAIT: Duration = Duration::from_millis(400);

/// Takes the duty for `group` before `ballot`. None when another box has just taken
/// it, or when the table gives no answer and the other boxes may not know of this one
/// (`listed`): they would not ask it before they promote.
pub async fn claim(
    context: &Context,
    group: &Arc<str>,
    ballot: &Ballot,
    listed: bool,
) -> Option<Claim> {
    let known = context.snapshot.borrow().duties.get(group).cloned();
    let mut duty = next_duty(known.as_ref(), &context.settings.name, ballot);
    // Also who holds the duty writes it again, so that of two only one goes on.
    let change = commit(group, &duty);
    let committed = tokio::time::timeout(TABLE_WAIT, context.table.commit(&change)).await;
    let alone = match committed {
        Ok(Ok(Verdict::Done(revision))) => {
            duty.revision = revision;
            false
        }
        Ok(Ok(Verdict::Conflict { .. })) => return None,
        Ok(Err(error)) => note(context, group, &duty, &error),
        Err(late) => note(context, group, &duty, &late),
    };
    if alone && !listed {
        return None;
    }
    let fields: [(_, &dyn std::fmt::Display); 2] =
        [("group", group), ("generation", &duty.generation)];
    events::emit(&context.log, &events::DUTY_TAKEN, &fields);
    Some(Claim {
        duty,
        unconfirmed: alone,
    })
}

/// Whether an order under `claim` may still go out, as far as the table is known.
pub fn stands(context: &Context, group: &Arc<str>, claim: &Claim) -> bool {
    let snapshot = context.snapshot.borrow();
    claim.is_current(snapshot.duties.get(group))
}

fn commit(group: &Arc<str>, duty: &Duty) -> Commit {
    let expected = duty.revision;
    Commit {
        // The table answers a repeated commit from memory, so each claim has its own.
        nonce: format!("{DUTY_PREFIX}{group}/{}/{expected}", duty.generation),
        writes: vec![Write {
            key: format!("{DUTY_PREFIX}{group}").into(),
            expect: Some(expected),
            value: serde_json::to_value(duty).ok(),
        }],
    }
}

/// Notes that the box goes on without the table.
fn note(context: &Context, group: &Arc<str>, duty: &Duty, error: &dyn std::fmt::Display) -> bool {
    let fields: [(_, &dyn std::fmt::Display); 3] = [
        ("group", group),
        ("generation", &duty.generation),
        ("error", error),
    ];
    events::emit(&context.log, &events::DUTY_ALONE, &fields);
    true
}
