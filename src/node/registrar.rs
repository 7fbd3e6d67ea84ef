//! Registers starting boxes on the list of boxes, on the side of the box that registers others.
//!
//! When a whole system starts, all boxes register at the same time, and none knows any other but the
//! seeds in its settings. They join through a seed, which writes many boxes in one transaction and
//! tells each the readers of its failure domain. Otherwise each box would write its own row, which
//! the table takes one after the other, and read the list to find its readers.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::context::Context;
use crate::borders::roster::Listing;
use crate::decisions::readers::choose_readers_by_domain;

/// Time for which boxes are collected after the first one. Longer than the boxes of a system take to
/// start one after the other, so that all of them are told the same readers.
const WINDOW: Duration = Duration::from_millis(600);
/// Maximum number of boxes that are registered by one transaction.
const MAX_BATCH: usize = 100;

/// The answer to a box that joins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Whether the box was added to the list.
    pub registered: bool,
    /// Readers of the box's failure domain; empty if each of its boxes polls for itself.
    pub readers: Vec<Listing>,
}

/// A box that joins, with the channel for the answer.
#[derive(Debug)]
pub struct Join {
    pub listing: Listing,
    pub reply: oneshot::Sender<Welcome>,
}

pub type Sender = mpsc::UnboundedSender<Join>;

/// Registers the boxes that join through this one.
pub async fn run(context: Rc<Context>, mut inbox: mpsc::UnboundedReceiver<Join>) {
    let mut joined: BTreeMap<Arc<str>, Listing> = BTreeMap::new();
    while let Some(first) = inbox.recv().await {
        let joins = collect(first, &mut inbox).await;
        let listings = joins.iter().map(|join| join.listing.clone());
        joined.extend(listings.map(|listing| (listing.name.clone(), listing)));
        let readers = choose_readers_by_domain(&known_boxes(&context, &joined));
        let mut joins = joins.into_iter().peekable();
        while joins.peek().is_some() {
            let batch: Vec<Join> = joins.by_ref().take(MAX_BATCH).collect();
            register(&context, batch, &readers).await;
        }
        if !context.boxes.borrow().is_empty() {
            // From now on the list contains them.
            joined.clear();
        }
    }
}

/// Collects the boxes that join within the window.
async fn collect(first: Join, inbox: &mut mpsc::UnboundedReceiver<Join>) -> Vec<Join> {
    let mut joins = vec![first];
    let end = Instant::now() + WINDOW;
    while let Ok(Some(join)) = tokio::time::timeout_at(end, inbox.recv()).await {
        joins.push(join);
    }
    joins
}

/// Returns the listed boxes and those that joined.
fn known_boxes(context: &Context, joined: &BTreeMap<Arc<str>, Listing>) -> Vec<Listing> {
    let listed = context.boxes.borrow().clone();
    let listed = listed.iter().map(|listing| (listing.name.clone(), listing));
    let joined = joined.iter();
    let joined = joined.map(|(name, listing)| (name.clone(), listing));
    let known: BTreeMap<Arc<str>, &Listing> = listed.chain(joined).collect();
    known.into_values().cloned().collect()
}

/// Registers boxes in one transaction, and answers them.
async fn register(context: &Context, batch: Vec<Join>, readers: &HashMap<Arc<str>, Vec<Listing>>) {
    let listings: Vec<Listing> = batch.iter().map(|join| join.listing.clone()).collect();
    let registered = context.roster.register(&listings).await.is_ok();
    for join in batch {
        let domain = &join.listing.domain;
        let welcome = Welcome {
            registered,
            readers: readers.get(domain).cloned().unwrap_or_default(),
        };
        let _ = join.reply.send(welcome);
    }
}
