//! Records the members of a group in the table, where a box that starts, or that becomes an owner,
//! learns of members that aren't listed at that time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::borders::table::{Commit, Revision, Verdict, Write};
use crate::declarations::snapshot::Membership;
use crate::events;

/// Key prefix of the members' rows, followed by the group.
pub const MEMBERSHIP_PREFIX: &str = "membership/";
/// Timeout of the commit. The group asks for another one if the record still differs.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Replaces the record of a group's members, if no other box has done so.
pub async fn record(context: Rc<Context>, group: Arc<str>, members: BTreeMap<Arc<str>, Arc<str>>) {
    let known = context.snapshot.borrow().memberships.get(&group).cloned();
    let expected = known.map_or(Revision::NONE, |known| known.revision);
    let count = members.len();
    let change = build_commit(&group, members, expected);
    let committed = tokio::time::timeout(TABLE_TIMEOUT, context.table.commit(&change)).await;
    let error: &dyn std::fmt::Display = match &committed {
        Ok(Ok(Verdict::Done(_))) => {
            let fields: [(_, &dyn std::fmt::Display); 2] = [("group", &group), ("members", &count)];
            return events::emit(&context.log, &events::MEMBERS_RECORDED, &fields);
        }
        Ok(Ok(Verdict::Conflict { .. })) => &"the record has changed meanwhile",
        Ok(Err(error)) => error,
        Err(elapsed) => elapsed,
    };
    let fields = [
        ("group", &group as &dyn std::fmt::Display),
        ("error", error),
    ];
    events::emit(&context.log, &events::MEMBERS_NOT_RECORDED, &fields);
}

fn build_commit(group: &str, members: BTreeMap<Arc<str>, Arc<str>>, expected: Revision) -> Commit {
    let membership = Membership {
        members,
        revision: Revision::NONE,
    };
    Commit {
        // The table answers a repeated nonce with the earlier outcome.
        nonce: format!(
            "{MEMBERSHIP_PREFIX}{group}/{expected}/{}",
            rand::random::<u64>()
        ),
        writes: vec![Write {
            key: format!("{MEMBERSHIP_PREFIX}{group}").into(),
            expect: Some(expected),
            value: serde_json::to_value(&membership).ok(),
        }],
    }
}
