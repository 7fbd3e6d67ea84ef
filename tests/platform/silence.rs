//! Open connections that go silent for good, without a reset, while new ones work.

use googletest::prelude::*;

use super::restarts::read_until;
use super::world::{OWN, STRICT, World};

#[gtest]
#[tokio::test]
async fn a_silent_connection_replaces_nobody_and_its_write_is_not_called_unrun() {
    let (world, proxies) = World::behind_proxies(3).await;
    let mut writer = world.client(0, STRICT, "w").await;
    let mut reader = world.client(0, OWN, "r").await;
    world
        .write_until_done(&mut writer, "WRITE farm first")
        .await;
    read_until(&mut reader, None).await;
    for proxy in &proxies {
        proxy.hush();
    }
    // Nobody can tell whether it ran; unless the silence was noticed before it was sent.
    let answer = writer.run("WRITE farm second").await.unwrap();
    let code = answer.error.as_deref();
    expect_that!(code, any![none(), some(eq("UNKNOWN"))]);
    read_until(&mut reader, None).await;
    world
        .write_until_done(&mut writer, "WRITE farm third")
        .await;
    let answer = read_until(&mut reader, None).await;
    expect_that!(answer.rows, not(is_empty()));
    expect_that!(world.store.orders(), is_empty());
}

#[gtest]
#[tokio::test]
async fn silence_after_silence_leaves_a_box_in_service() {
    let (world, proxies) = World::behind_proxies(3).await;
    let mut writer = world.client(1, STRICT, "w").await;
    for round in 0..3 {
        for proxy in &proxies {
            proxy.hush();
        }
        world
            .write_until_done(&mut writer, &format!("WRITE farm {round}"))
            .await;
        expect_that!(world.boxes[1].is_ready().await, eq(true));
    }
    expect_that!(world.store.orders(), is_empty());
}
