//! Joins a starting box to the others through the seeds in its settings: it is added to the list of
//! boxes, and learns the readers of its failure domain, without reading the list itself.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::sync::oneshot;

use super::context::Context;
use super::peers;
use super::registrar::{self, Join, Welcome};
use crate::borders::roster::{Listing, Source};
use crate::http::HttpError;

/// Time that the seeds get to tell a box that starts the readers of its failure domain.
pub const SEED_WAIT: Duration = Duration::from_millis(300);
/// Delay before seeds that were not reached are asked again.
const SEED_RETRY_DELAY: Duration = Duration::from_millis(30);
/// HTTP status of a box that does not know the list of boxes yet.
const STARTING: u16 = 503;

/// Joins the list of boxes through the first seed that answers. All boxes prefer the same one, which
/// can then tell all of them the same readers. Returns whether this box was added to the list.
pub async fn join(context: &Context, listing: &Listing, joins: &registrar::Sender) -> bool {
    let mut seeds = context.live.borrow().peers.clone();
    seeds.sort();
    for seed in seeds {
        let welcome = match seed == listing.address {
            true => {
                let (reply, welcome) = oneshot::channel();
                let listing = listing.clone();
                let _ = joins.send(Join { listing, reply });
                welcome.await.ok()
            }
            false => peers::join(context, &seed, listing).await,
        };
        if let Some(Welcome {
            registered,
            readers,
        }) = welcome
        {
            follow_readers(context, readers);
            return registered;
        }
    }
    false
}

/// Asks the seeds for the readers of this box's failure domain, which pass on the list of boxes. Reads
/// the list itself if this box is a seed, or none answers.
pub async fn find_readers(context: &Context) {
    let seeds = context.live.borrow().peers.clone();
    let own_address = context.own_api_address();
    let is_seed = seeds.iter().any(|seed| **seed == *own_address);
    let found = ask_for_readers(context, &seeds);
    let found = match is_seed {
        true => None,
        false => tokio::time::timeout(SEED_WAIT, found).await.ok().flatten(),
    };
    follow_readers(context, found.unwrap_or_default());
    if context.first_readers.borrow().is_empty() {
        context.roster.set_source(Source::Platform);
    }
}

/// Returns the answer of the first seed that gives one; none if no seed may still do so.
async fn ask_for_readers(context: &Context, seeds: &[Arc<str>]) -> Option<Vec<Listing>> {
    let mut seeds: Vec<&Arc<str>> = seeds.iter().collect();
    seeds.shuffle(&mut rand::rng());
    while !seeds.is_empty() {
        for seed in seeds.clone() {
            match peers::fetch_readers(context, seed).await {
                Ok(readers) => return Some(readers),
                // The seed may be starting too.
                Err(HttpError::Unsent(_) | HttpError::Status { code: STARTING, .. }) => {}
                Err(_) => seeds.retain(|left| *left != seed),
            }
        }
        tokio::time::sleep(SEED_RETRY_DELAY).await;
    }
    None
}

/// Follows readers that another box has chosen; none if each box of the failure domain polls for
/// itself.
fn follow_readers(context: &Context, readers: Vec<Listing>) {
    if readers.is_empty() {
        return;
    }
    context.roster.set_source(Source::Peers);
    context.first_readers.send_replace(readers);
}
