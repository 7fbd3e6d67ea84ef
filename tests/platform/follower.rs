//! A follower whose reader answers, but doesn't pass on all rows.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use googletest::prelude::*;
use larkfall::borders::table::Scan;
use larkfall::node::peers::FOLLOW;
use larkfall::node::updates::{Cursor, FollowAnswer, FollowRequest};
use serde_json::json;
use tokio::net::TcpListener;

use super::world::World;

/// Time within which users require a change to be in force.
const APPLY_DEADLINE: Duration = Duration::from_secs(5);
/// Time after which the reader answers without changes.
const ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Boxes of the failure domain, enough for it to have readers.
const BOXES: usize = 6;

/// How the reader answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Has the follower's rows, but no answer of the table.
    CutOff,
    /// Has the follower's rows.
    Agrees,
    /// Has other rows, which it doesn't pass on.
    Differs,
    /// Fails.
    Fails,
}

/// A request that the reader has met.
#[derive(Clone, Copy)]
struct Asked {
    behaviour: Behaviour,
    cursor: Option<Cursor>,
}

/// A reader that answers without rows.
#[derive(Clone)]
struct Reader {
    behaviour: Arc<Mutex<Behaviour>>,
    /// The last request.
    asked: Arc<Mutex<Option<Asked>>>,
}

impl Reader {
    /// Starts a reader and returns its address.
    async fn start(behaviour: Behaviour) -> (Self, SocketAddr) {
        let reader = Self {
            behaviour: Arc::new(Mutex::new(behaviour)),
            asked: Arc::default(),
        };
        let router = Router::new()
            .route(FOLLOW, post(answer))
            .with_state(reader.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(async move { axum::serve(listener, router).await });
        (reader, address)
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic under the lock") = behaviour;
    }

    /// Waits until the last request has met this behaviour, and returns its cursor.
    async fn last_cursor(&self, behaviour: Behaviour) -> Option<Cursor> {
        loop {
            let asked = *self.asked.lock().expect("no panic under the lock");
            match asked {
                Some(asked) if asked.behaviour == behaviour => return asked.cursor,
                _ => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }
}

async fn answer(
    State(reader): State<Reader>,
    body: Bytes,
) -> std::result::Result<Vec<u8>, StatusCode> {
    let request: FollowRequest = rmp_serde::from_slice(&body).expect("a request");
    tokio::time::sleep(ANSWER_DELAY).await;
    let behaviour = *reader.behaviour.lock().expect("no panic under the lock");
    *reader.asked.lock().expect("no panic under the lock") = Some(Asked {
        behaviour,
        cursor: request.cursor,
    });
    let digest = match behaviour {
        Behaviour::Differs => !request.digest,
        _ => request.digest,
    };
    let answer = FollowAnswer {
        cursor: Cursor { epoch: 1, taken: 1 },
        scan: Scan::default(),
        digest,
        boxes: None,
        boxes_revision: 0.into(),
        heard_ms: (behaviour != Behaviour::CutOff).then_some(0),
    };
    match behaviour {
        Behaviour::Fails => Err(StatusCode::SERVICE_UNAVAILABLE),
        _ => Ok(rmp_serde::to_vec(&answer).expect("plain data")),
    }
}

/// Starts a box that follows this reader.
async fn start_follower(reader: SocketAddr) -> World {
    let mut world = World::without_boxes().await;
    for i in 1..BOXES {
        let listing = json!({
            "name": format!("box-{i}"), "address": reader.to_string(), "domain": "zone-0",
            "leaving": false, "link_mbps": 1_000,
        });
        world
            .store
            .put("larkfall", &format!("box/box-{i}"), &listing);
    }
    world.add_box_in_zone(0, "zone-0", world.store_address);
    world
}

#[gtest]
#[tokio::test]
async fn a_reader_with_other_rows_does_not_keep_a_follower_from_the_store() {
    let (reader, address) = Reader::start(Behaviour::CutOff).await;
    let mut world = start_follower(address).await;
    world.boxes[0].wait_ready().await;
    reader.set_behaviour(Behaviour::Differs);
    reader.last_cursor(Behaviour::Differs).await;
    // A poll that is already under way reports the first change.
    for _ in 0..2 {
        let added = world.add_database();
        let served = world.boxes[0].wait_until_served(&added);
        let in_time = tokio::time::timeout(APPLY_DEADLINE, served).await;
        expect_that!(in_time, ok(anything()));
    }
}

#[gtest]
#[tokio::test]
async fn all_rows_are_requested_again_after_their_transfer_failed() {
    let (reader, address) = Reader::start(Behaviour::Agrees).await;
    let _world = start_follower(address).await;
    while reader.last_cursor(Behaviour::Agrees).await.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    reader.set_behaviour(Behaviour::Differs);
    reader.last_cursor(Behaviour::Differs).await;
    reader.set_behaviour(Behaviour::Fails);
    expect_that!(reader.last_cursor(Behaviour::Fails).await, none());
    reader.set_behaviour(Behaviour::Agrees);
    expect_that!(reader.last_cursor(Behaviour::Agrees).await, none());
}
