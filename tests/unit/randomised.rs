//! Long randomised runs of the decisions, whose histories are checked for violations.

use googletest::prelude::*;
use larkfall::decisions::group::Target;

use super::fake::{Counts, Disabled, MEMBERS, OWNERS, Violations, World, ms};

const RUNS: u64 = 40;
const STEPS: u64 = 2_000;

/// Runs statements without pause, with occasional faults and repairs.
fn run(seed: u64, disabled: Disabled) -> (Violations, Counts) {
    let mut world = World::new(seed, disabled);
    world.run_until(ms(50));
    for step in 0..STEPS {
        submit_statement(&mut world);
        if world.random(0..100) < 2 {
            inject_fault(&mut world);
        }
        if step % 400 == 399 {
            world.heal();
        }
        let pause = ms(world.random(1..10));
        world.run_until(world.now + pause);
    }
    world.heal();
    world.run_until(world.now + ms(15_000));
    world.check();
    (world.violations.clone(), world.counts.clone())
}

fn submit_statement(world: &mut World) {
    let session = world.random(0..world.sessions.len() as u64) as usize;
    let owner = world.random(0..OWNERS as u64) as usize;
    match world.random(0..10) {
        0..4 => world.write(session, owner),
        4..6 => world.read(session, owner, Target::Strict),
        _ => world.read(session, owner, Target::Replica { max_age: ms(500) }),
    }
}

fn inject_fault(world: &mut World) {
    let member = world.random(0..MEMBERS as u64) as usize;
    let other = (member + 1) % MEMBERS;
    match world.random(0..10) {
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
            let length = ms(world.random(10..2_500));
            world.pause(member, length);
        }
        8 => {
            let lag = ms(world.random(0..800));
            world.set_lag(member, lag);
        }
        _ => world.loss = world.random(0..10) as f64 / 100.0,
    }
}

fn totals(disabled: Disabled) -> (Violations, Counts) {
    let mut violations = Violations::default();
    let mut counts = Counts::default();
    for seed in 0..RUNS {
        let (found, did) = run(seed, disabled);
        if found != Violations::default() {
            println!("seed {seed}: {found:?}");
        }
        violations.lost_writes += found.lost_writes;
        violations.stale_own_reads += found.stale_own_reads;
        violations.stale_strict_reads += found.stale_strict_reads;
        violations.too_old_reads += found.too_old_reads;
        violations.backward_reads += found.backward_reads;
        violations.duplicate_writes += found.duplicate_writes;
        violations.missing_primary += found.missing_primary;
        counts.acknowledged += did.acknowledged;
        counts.unknown += did.unknown;
        counts.refused += did.refused;
        counts.replica_reads += did.replica_reads;
        counts.primary_reads += did.primary_reads;
        counts.failovers += did.failovers;
    }
    counts.ack_times.clear();
    println!("{counts:?}");
    (violations, counts)
}

#[gtest]
fn failures_violate_no_guarantee() {
    let (violations, counts) = totals(Disabled::default());
    expect_that!(violations, eq(&Violations::default()));
    // The runs prove nothing unless enough happened.
    expect_that!(counts.acknowledged, gt(1_000));
    expect_that!(counts.replica_reads, gt(1_000));
    expect_that!(counts.failovers, gt(20));
}

#[gtest]
fn message_loss_and_jitter_cause_no_failover() {
    for seed in 0..4 {
        let mut world = World::new(seed, Disabled::default());
        world.loss = 0.03;
        for _ in 0..8_000 {
            submit_statement(&mut world);
            let pause = ms(world.random(1..6));
            world.run_until(world.now + pause);
        }
        world.heal();
        world.run_until(world.now + ms(5_000));
        world.check();
        expect_that!(world.counts.failovers, eq(0), "seed {seed}");
        expect_that!(world.violations, eq(&Violations::default()), "seed {seed}");
    }
}

#[gtest]
fn without_confirmation_acknowledged_writes_are_lost() {
    let disabled = Disabled {
        confirmation: true,
        ..Disabled::default()
    };
    expect_that!(totals(disabled).0.lost_writes, gt(0));
}

/// Freezes the primary until members are fenced, while other owners keep writing to it.
/// Returns the number of lost writes.
fn frozen_until_fenced(seed: u64, disabled: Disabled) -> usize {
    let mut world = World::new(seed, disabled);
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
    world.violations.lost_writes
}

#[gtest]
fn a_primary_that_returns_during_failover_acknowledges_no_lost_write() {
    let lost: usize = (0..20)
        .map(|seed| frozen_until_fenced(seed, Disabled::default()))
        .sum();
    expect_that!(lost, eq(0));
}

#[gtest]
fn without_fences_acknowledged_writes_are_lost() {
    let disabled = Disabled {
        fences: true,
        ..Disabled::default()
    };
    let lost: usize = (0..20)
        .map(|seed| frozen_until_fenced(seed, disabled))
        .sum();
    expect_that!(lost, gt(0));
}

#[gtest]
fn without_floors_sessions_miss_their_own_writes() {
    let disabled = Disabled {
        floors: true,
        ..Disabled::default()
    };
    expect_that!(totals(disabled).0.stale_own_reads, gt(0));
}

#[gtest]
fn without_verification_strict_reads_come_from_replaced_primaries() {
    let disabled = Disabled {
        verification: true,
        ..Disabled::default()
    };
    expect_that!(totals(disabled).0.stale_strict_reads, gt(0));
}
