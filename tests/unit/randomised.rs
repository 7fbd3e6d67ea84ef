//! Long randomised runs of the decisions, invariants asserted inside, histories checked.

use googletest::prelude::*;
use larkfall::decisions::group::Target;

use super::fake::{Counts, Faults, MEMBERS, OWNERS, Without, World, ms};

const RUNS: u64 = 40;
const STEPS: u64 = 2_000;

/// One run: statements all the time, a fault or a repair now and then.
fn run(seed: u64, without: Without) -> (Faults, Counts) {
    let mut world = World::new(seed, without);
    world.run_until(ms(50));
    for step in 0..STEPS {
        statement(&mut world);
        if world.roll(0..100) < 2 {
            fault(&mut world);
        }
        if step % 400 == 399 {
            world.heal();
        }
        let pause = ms(world.roll(1..10));
        world.run_until(world.now + pause);
    }
    world.heal();
    world.run_until(world.now + ms(15_000));
    world.check();
    (world.faults.clone(), world.counts.clone())
}

fn statement(world: &mut World) {
    let session = world.roll(0..world.sessions.len() as u64) as usize;
    let owner = world.roll(0..OWNERS as u64) as usize;
    match world.roll(0..10) {
        0..4 => world.write(session, owner),
        4..6 => world.read(session, owner, Target::Strict),
        _ => world.read(session, owner, Target::Replica { max_age: ms(500) }),
    }
}

fn fault(world: &mut World) {
    let member = world.roll(0..MEMBERS as u64) as usize;
    let other = (member + 1) % MEMBERS;
    match world.roll(0..10) {
        0 => world.kill(member),
        1 => world.revive(member),
        2 => world.freeze(member, true),
        3 => world.freeze(member, false),
        4 => {
            world.cuts.insert((member.min(other), member.max(other)));
        }
        5 => world.cuts.clear(),
        6 => {
            let third = (member + 2) % MEMBERS;
            for far in [other, third] {
                world.cuts.insert((member.min(far), member.max(far)));
            }
        }
        7 => {
            let length = ms(world.roll(10..2_500));
            world.pause(member, length);
        }
        8 => {
            let lag = ms(world.roll(0..800));
            world.set_lag(member, lag);
        }
        _ => world.loss = world.roll(0..10) as f64 / 100.0,
    }
}

fn totals(without: Without) -> (Faults, Counts) {
    let mut faults = Faults::default();
    let mut counts = Counts::default();
    for seed in 0..RUNS {
        let (found, did) = run(seed, without);
        if found != Faults::default() {
            println!("seed {seed}: {found:?}");
        }
        faults.lost += found.lost;
        faults.stale_own += found.stale_own;
        faults.stale_strict += found.stale_strict;
        faults.too_old += found.too_old;
        faults.backward += found.backward;
        faults.twice += found.twice;
        faults.without_primary += found.without_primary;
        counts.acknowledged += did.acknowledged;
        counts.unknown += did.unknown;
        counts.refused += did.refused;
        counts.replica_reads += did.replica_reads;
        counts.primary_reads += did.primary_reads;
        counts.replacements += did.replacements;
    }
    counts.acks.clear();
    println!("{counts:?}");
    (faults, counts)
}

#[gtest]
fn nothing_promised_is_broken_under_failures() {
    let (faults, counts) = totals(Without::default());
    expect_that!(faults, eq(&Faults::default()));
    // The runs must not be idle ones.
    expect_that!(counts.acknowledged, gt(1_000));
    expect_that!(counts.replica_reads, gt(1_000));
    expect_that!(counts.replacements, gt(20));
}

#[gtest]
fn loss_and_jitter_replace_nobody() {
    for seed in 0..4 {
        let mut world = World::new(seed, Without::default());
        world.loss = 0.03;
        for _ in 0..8_000 {
            statement(&mut world);
            let pause = ms(world.roll(1..6));
            world.run_until(world.now + pause);
        }
        world.heal();
        world.run_until(world.now + ms(5_000));
        world.check();
        expect_that!(world.counts.replacements, eq(0), "seed {seed}");
        expect_that!(world.faults, eq(&Faults::default()), "seed {seed}");
    }
}

#[gtest]
fn without_confirmation_acknowledged_writes_are_lost() {
    let without = Without {
        confirmation: true,
        ..Without::default()
    };
    expect_that!(totals(without).0.lost, gt(0));
}

/// A primary that freezes and comes back just as it is being replaced, while
/// owners that have noticed nothing go on writing to it.
fn frozen_until_fenced(seed: u64, without: Without) -> usize {
    let mut world = World::new(seed, without);
    world.run_until(ms(50));
    for round in 0..6 {
        let Some(leader) = world.leader() else { break };
        world.freeze(leader, true);
        let end = world.now + ms(3_000);
        while !world.is_fencing() && world.now < end {
            world.run_until(world.now + ms(1));
        }
        world.freeze(leader, false);
        for step in 0..400 {
            world.write(step % 6, (step + round) % OWNERS);
            world.run_until(world.now + ms(1));
        }
        world.run_until(world.now + ms(3_000));
    }
    world.check();
    world.faults.lost
}

#[gtest]
fn a_primary_that_returns_while_it_is_replaced_acknowledges_nothing_that_is_lost() {
    let lost: usize = (0..20)
        .map(|seed| frozen_until_fenced(seed, Without::default()))
        .sum();
    expect_that!(lost, eq(0));
}

#[gtest]
fn without_fences_acknowledged_writes_are_lost() {
    let without = Without {
        fences: true,
        ..Without::default()
    };
    let lost: usize = (0..20).map(|seed| frozen_until_fenced(seed, without)).sum();
    expect_that!(lost, gt(0));
}

#[gtest]
fn without_floors_sessions_miss_their_own_writes() {
    let without = Without {
        floors: true,
        ..Without::default()
    };
    expect_that!(totals(without).0.stale_own, gt(0));
}

#[gtest]
fn without_verification_strict_reads_come_from_replaced_primaries() {
    let without = Without {
        verification: true,
        ..Without::default()
    };
    expect_that!(totals(without).0.stale_strict, gt(0));
}
