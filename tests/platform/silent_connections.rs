//! Open connections that go silent for good, without a reset, while new connections work.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::http::{self, Client};
use larkfall::node::peers;
use larkfall::node::updates::ScanRequest;
use larkfall::platform::table;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use super::boxes::{Process, Settings};
use super::proxy::Proxy;
use super::restarts::read_until_outcome;
use super::store::Fault;
use super::world::{OWN_WRITES, STRICT, World};

/// The shortest deadline that users set for a box with working connections to learn of a change.
const CONTACT_DEADLINE: Duration = Duration::from_secs(4);
/// Requests to the silent peer after which the test fails.
const MAX_REQUESTS: usize = 20;
/// Time for which a request must stay open to count as waiting; much shorter than a box's timeout
/// for a peer's answer.
const OPEN_CHECK: Duration = Duration::from_millis(100);

#[gtest]
#[tokio::test]
async fn a_silent_connection_causes_no_replacement_and_its_write_is_not_reported_as_not_run() {
    let (world, proxies) = World::behind_proxies(3, false).await;
    let mut writer = world.client(0, STRICT, "w").await;
    let mut reader = world.client(0, OWN_WRITES, "r").await;
    world
        .write_until_acknowledged(&mut writer, "WRITE farm first")
        .await;
    read_until_outcome(&mut reader, None).await;
    for proxy in &proxies {
        proxy.silence_open_connections();
    }
    // The box can't tell whether a write ran that it sent on a silent connection. The write
    // succeeds if the box noticed the silence before sending it.
    let answer = writer.run("WRITE farm second").await.unwrap();
    let code = answer.error.as_deref();
    expect_that!(code, any![none(), some(eq("UNKNOWN"))]);
    read_until_outcome(&mut reader, None).await;
    world
        .write_until_acknowledged(&mut writer, "WRITE farm third")
        .await;
    let answer = read_until_outcome(&mut reader, None).await;
    expect_that!(answer.rows, not(is_empty()));
    expect_that!(world.store.orders(), is_empty());
}

#[gtest]
#[tokio::test]
async fn repeated_silence_leaves_a_box_in_service() {
    let (world, proxies) = World::behind_proxies(3, false).await;
    let mut writer = world.client(1, STRICT, "w").await;
    for round in 0..3 {
        for proxy in &proxies {
            proxy.silence_open_connections();
        }
        world
            .write_until_acknowledged(&mut writer, &format!("WRITE farm {round}"))
            .await;
        expect_that!(world.boxes[1].is_ready().await, eq(true));
    }
    expect_that!(world.store.orders(), is_empty());
}

/// Guards against a change that takes effect too late after silence, because the timeout of the
/// silent wait, the delay of the retry and the timeout of the new connection add up.
#[gtest]
fn a_wait_on_a_silent_connection_times_out_and_is_retried_in_time() {
    let latest = http::DEAD_CONNECTION_TIMEOUT + table::FIRST_RETRY_DELAY + http::CONNECT_TIMEOUT;
    expect_that!(latest, le(CONTACT_DEADLINE));
}

/// Guards against a change that waits for the end of a poll whose answer was lost: the connection
/// stays open, so no keepalive fails.
#[gtest]
#[tokio::test]
async fn a_poll_that_is_never_answered_is_repeated_in_time() {
    let mut world = World::without_boxes().await;
    let proxy = Proxy::start(world.store_address).await;
    world.add_box_with_store(0, proxy.address);
    world.boxes[0].wait_ready().await;
    proxy.silence_open_connections();
    let added = world.add_database();
    let served = world.boxes[0].wait_until_served(&added);
    let in_time = tokio::time::timeout(CONTACT_DEADLINE, served).await;
    expect_that!(in_time, ok(anything()));
}

/// Guards against a box that answers no other peer while it waits for a silent one.
#[gtest]
#[tokio::test]
async fn a_box_that_waits_for_a_silent_peer_answers_others_meanwhile() {
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let world = World::without_boxes().await;
    world.store.set_fault(Fault::Busy);
    let mut settings = Settings::new("box-0", "zone-0", world.store_address);
    settings.seeds = vec![peer.local_addr().expect("bound")];
    let control = settings.control;
    let _box = Process::start(settings);
    let client = Client::new([127, 0, 0, 1].into());
    let request = rmp_serde::to_vec(&ScanRequest {
        since: 0.into(),
        digest: 1,
    });
    let request = request.expect("plain data");
    for _ in 0..MAX_REQUESTS {
        let (mut peer_stream, _) = peer.accept().await.expect("a request");
        let address = control.to_string();
        let answer = client.post(&address, peers::SCAN, request.clone(), CONTACT_DEADLINE);
        expect_that!(answer.await.is_ok(), eq(true));
        if is_open_for(&mut peer_stream, OPEN_CHECK).await {
            return;
        }
    }
    panic!("the box answered only while it waited for no peer");
}

/// Whether the other end keeps the stream open for this time.
async fn is_open_for(stream: &mut TcpStream, time: Duration) -> bool {
    let closed = async {
        let mut bytes = [0; 1_024];
        while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
    };
    tokio::time::timeout(time, closed).await.is_err()
}
