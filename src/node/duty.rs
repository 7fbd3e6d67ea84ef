//! Takes the duty of promoting before a promotion is ordered.

use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::borders::member::Order;
use crate::borders::table::{Commit, Verdict, Write};
use crate::decisions::duty::{self, Duty, taken};
use crate::events;

/// Rows of duties, by group.
pub const DUTY: &str = "duty/";
/// Time for the table's answer: it takes 20 ms on a calm day. Longer, and the box
/// goes on without it, since members are fenced and callers wait.
const TABLE_WAIT: Duration = Duration::from_millis(400);

/// The order under which this box promotes a member of `group`. None when another
/// box has just taken the duty.
pub async fn order(context: &Context, group: &Arc<str>) -> Option<Order> {
    let known = context.snapshot.borrow().duties.get(group).cloned();
    let duty = taken(known.as_ref(), &context.settings.name);
    // Also who holds the duty writes it again, so that of two only one goes on.
    let change = commit(group, &duty, known.map_or(0, |known| known.revision));
    let committed = tokio::time::timeout(TABLE_WAIT, context.table.commit(&change)).await;
    match committed {
        Ok(Ok(Verdict::Done(_))) => {}
        Ok(Ok(Verdict::Conflict { .. })) => return None,
        Ok(Err(error)) => note(context, group, &duty, &error),
        Err(late) => note(context, group, &duty, &late),
    }
    let fields: [(_, &dyn std::fmt::Display); 2] =
        [("group", group), ("generation", &duty.generation)];
    events::emit(&context.log, &events::DUTY_TAKEN, &fields);
    Some(Order {
        holder: duty.holder,
        generation: duty.generation,
    })
}

/// Whether an order under `generation`, as taken, may still go out, as far as the
/// table is known.
pub fn stands(context: &Context, group: &Arc<str>, generation: u64) -> bool {
    let snapshot = context.snapshot.borrow();
    duty::stands(generation, snapshot.duties.get(group))
}

fn commit(group: &Arc<str>, duty: &Duty, expected: u64) -> Commit {
    Commit {
        nonce: format!("{DUTY}{group}/{}", duty.generation),
        writes: vec![Write {
            key: format!("{DUTY}{group}").into(),
            expect: Some(expected),
            value: serde_json::to_value(duty).ok(),
        }],
    }
}

fn note(context: &Context, group: &Arc<str>, duty: &Duty, error: &dyn std::fmt::Display) {
    let fields: [(_, &dyn std::fmt::Display); 3] = [
        ("group", group),
        ("generation", &duty.generation),
        ("error", error),
    ];
    events::emit(&context.log, &events::DUTY_ALONE, &fields);
}
