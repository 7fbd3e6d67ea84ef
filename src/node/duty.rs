//! Takes the duty of promoting before a promotion is ordered.

use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::borders::member::Order;
use crate::borders::table::{Commit, Verdict, Write};
use crate::decisions::duty::{Duty, taken};
use crate::events;

/// Rows of duties, by group.
pub const DUTY: &str = "duty/";
/// Time for the table's answer: it takes 20 ms on a calm day. Longer, and the box
/// goes on without it, since members are fenced and callers wait.
const TABLE_WAIT: Duration = Duration::from_millis(400);
/// Tries against other boxes' changes.
const TRIES: u32 = 3;
/// Time for another box's change to become known here.
const NEWS_WAIT: Duration = Duration::from_millis(60);

/// The order under which this box promotes a member of `group`.
pub async fn order(context: &Context, group: &Arc<str>) -> Order {
    let holder = &context.settings.name;
    if !context.settings.duty {
        return Order::default();
    }
    let end = context.now() + TABLE_WAIT;
    let mut duty = next(context, group);
    for _ in 0..TRIES {
        duty = next(context, group);
        if duty.revision > 0 {
            break;
        }
        let left = end.saturating_sub(context.now());
        let change = commit(group, &duty, context);
        let committed = tokio::time::timeout(left, context.table.commit(&change));
        match committed.await {
            Ok(Ok(Verdict::Done(_))) => break,
            Ok(Ok(Verdict::Conflict { .. })) => tokio::time::sleep(NEWS_WAIT).await,
            Ok(Err(error)) => {
                note(context, group, &duty, &error);
                break;
            }
            Err(late) => {
                note(context, group, &duty, &late);
                break;
            }
        }
    }
    let fields: [(_, &dyn std::fmt::Display); 2] =
        [("group", group), ("generation", &duty.generation)];
    events::emit(&context.log, &events::DUTY_TAKEN, &fields);
    Order {
        holder: holder.clone(),
        generation: duty.generation,
    }
}

fn next(context: &Context, group: &Arc<str>) -> Duty {
    let snapshot = context.snapshot.borrow();
    taken(snapshot.duties.get(group), &context.settings.name)
}

fn commit(group: &Arc<str>, duty: &Duty, context: &Context) -> Commit {
    let known = context.snapshot.borrow().duties.get(group).cloned();
    Commit {
        nonce: format!("{DUTY}{group}/{}", duty.generation),
        writes: vec![Write {
            key: format!("{DUTY}{group}").into(),
            expect: Some(known.map_or(0, |known| known.revision)),
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
