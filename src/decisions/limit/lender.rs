//! What one box lends, by workspace.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Bucket, Limit, Loan, lenders};
use crate::borders::roster::Listing;

/// A box as a lender.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    buckets: HashMap<Arc<str>, Bucket>,
    /// Since when this box may have been a lender: its start, or the list's last change.
    since: Duration,
}

impl Lender {
    /// Takes a new list of boxes. For some workspaces `name` may only lend now, for others not
    /// any more: while another lends in its place its own bucket would fill up, and the limit be
    /// spent twice once it lends again.
    pub fn set_boxes(&mut self, name: &str, boxes: &[Listing], now: Duration) {
        self.since = now;
        let lends = |workspace: &str| {
            let lenders = lenders(workspace, boxes);
            lenders.iter().any(|lender| *lender.name == *name)
        };
        self.buckets.retain(|workspace, _| lends(workspace));
    }

    /// Lends out of a part of a workspace's limit.
    pub fn lend(&mut self, workspace: &Arc<str>, part: Limit, wanted: u32, now: Duration) -> Loan {
        let since = self.since;
        let bucket = self.buckets.entry(workspace.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(part, since, now));
        bucket.take(part, wanted, now)
    }
}
