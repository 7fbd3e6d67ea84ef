//! Claims the duty in the table before a promotion is ordered.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::borders::table::{Commit, Verdict, Write};
use crate::decisions::duty::{Ballot, Claim, Duty, next_duty};
use crate::events;

/// Key prefix of the duties' rows, followed by the group.
pub const DUTY_PREFIX: &str = "duty/";
/// Timeout of the commit, which normally takes 20 ms. The promotion then goes on without the
/// table, since members are fenced and callers wait.
const TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Claims the duty for `group` before `ballot`. Returns `None` if another box has just claimed
/// it. Without an answer of the table, the claim succeeds only if the other boxes know this box
/// (`listed`), as they would otherwise promote without asking it to give up its lease.
pub async fn claim(
    context: &Context,
    group: &Arc<str>,
    ballot: &Ballot,
    listed: bool,
) -> Option<Claim> {
    let known = context.snapshot.borrow().duties.get(group).cloned();
    let mut duty = next_duty(known.as_ref(), &context.settings.name, ballot);
    // The current holder also writes the duty, so that only one of two concurrent claims succeeds.
    let change = build_commit(group, &duty);
    let committed = tokio::time::timeout(TABLE_TIMEOUT, context.table.commit(&change)).await;
    let no_answer = match committed {
        Ok(Ok(Verdict::Done(revision))) => {
            duty.revision = revision;
            false
        }
        Ok(Ok(Verdict::Conflict { .. })) => return None,
        Ok(Err(error)) => log_unconfirmed(context, group, &duty, &error),
        Err(elapsed) => log_unconfirmed(context, group, &duty, &elapsed),
    };
    if no_answer && !listed {
        return None;
    }
    let fields: [(_, &dyn std::fmt::Display); 2] =
        [("group", group), ("generation", &duty.generation)];
    events::emit(&context.log, &events::DUTY_CLAIMED, &fields);
    Some(Claim {
        duty,
        unconfirmed: no_answer,
    })
}

/// Records in the table that this box leaves the duty of a claim to the other boxes. Without the
/// record, they act once the claim has lasted long enough.
pub async fn resign(
    context: Rc<Context>,
    group: Arc<str>,
    claim: Claim,
    ordered: Option<Arc<str>>,
) {
    let duty = Duty {
        resigned: true,
        ordered,
        ..claim.duty
    };
    let change = build_commit(&group, &duty);
    let committed = tokio::time::timeout(TABLE_TIMEOUT, context.table.commit(&change)).await;
    let outcome = match committed {
        Ok(Ok(Verdict::Done(_))) => "recorded".to_owned(),
        Ok(Ok(Verdict::Conflict { .. })) => "another box has claimed the duty".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    let fields: [(_, &dyn std::fmt::Display); 3] = [
        ("group", &group),
        ("generation", &duty.generation),
        ("outcome", &outcome),
    ];
    events::emit(&context.log, &events::DUTY_RESIGNED, &fields);
}

/// Whether an order under `claim` may still be sent, as far as this box knows the table.
pub fn is_current(context: &Context, group: &Arc<str>, claim: &Claim) -> bool {
    let snapshot = context.snapshot.borrow();
    claim.is_current(snapshot.duties.get(group))
}

fn build_commit(group: &Arc<str>, duty: &Duty) -> Commit {
    let expected = duty.revision;
    Commit {
        // The table answers a repeated nonce with the earlier outcome, so each claim has its own.
        nonce: format!("{DUTY_PREFIX}{group}/{}/{expected}", duty.generation),
        writes: vec![Write {
            key: format!("{DUTY_PREFIX}{group}").into(),
            expect: Some(expected),
            value: serde_json::to_value(duty).ok(),
        }],
    }
}

/// Logs that the claim is unconfirmed; always returns true.
fn log_unconfirmed(
    context: &Context,
    group: &Arc<str>,
    duty: &Duty,
    error: &dyn std::fmt::Display,
) -> bool {
    let fields: [(_, &dyn std::fmt::Display); 3] = [
        ("group", group),
        ("generation", &duty.generation),
        ("error", error),
    ];
    events::emit(&context.log, &events::DUTY_WITHOUT_TABLE, &fields);
    true
}
