//! Manifests whose transfer takes longer than the timeout of a call.

use std::time::Duration;

use googletest::prelude::*;

use super::proxy::{Impairment, Proxy};
use super::store::Fault;
use super::world::World;

/// Time within which users require a change to be in force.
const APPLY_DEADLINE: Duration = Duration::from_secs(5);
/// Bandwidth of a slow link in bytes per second.
const SLOW_LINK: u64 = 1_250_000;
/// Databases of a manifest that takes about two seconds over a slow link.
const DATABASES: usize = 7_500;

/// Starts a box that reaches the store over a slow link. Dropping the returned proxy cuts the link.
async fn start_box_on_slow_link(world: &mut World) -> Proxy {
    let proxy = Proxy::start(world.store_address).await;
    proxy.set_impairment(Impairment::Bandwidth(SLOW_LINK));
    world.add_box_with_store(0, proxy.address);
    proxy
}

#[gtest]
#[tokio::test]
async fn a_large_change_is_in_force_in_time_on_a_box_with_a_slow_link() {
    let mut world = World::without_boxes().await;
    let _link = start_box_on_slow_link(&mut world).await;
    world.boxes[0].wait_ready().await;
    world.store.set_fault(Fault::Busy);
    let added = world.add_databases(DATABASES);
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.store.set_fault(Fault::None);
    let served = world.boxes[0].wait_until_served(&added);
    let in_time = tokio::time::timeout(APPLY_DEADLINE, served).await;
    expect_that!(in_time, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn a_box_with_a_slow_link_starts_with_a_large_manifest() {
    let mut world = World::without_boxes().await;
    let added = world.add_databases(DATABASES);
    let _link = start_box_on_slow_link(&mut world).await;
    let served = world.boxes[0].wait_until_served(&added);
    let in_time = tokio::time::timeout(APPLY_DEADLINE, served).await;
    expect_that!(in_time, ok(anything()));
}
