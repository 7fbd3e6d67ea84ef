//! Detection of network partitions from a box's own groups and from the replies of owners.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::decisions::partition::{Counts, Monitor, alert_targets};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fake::ms;

fn counts(groups: usize, owned: usize, without_majority: usize) -> Counts {
    Counts {
        groups,
        owned,
        list_settled: true,
        with_majority: owned - without_majority,
        without_majority,
    }
}

#[gtest]
fn a_box_that_owns_every_group_ignores_other_owners() {
    let mut monitor = Monitor::default();
    monitor.update_counts(counts(3, 3, 2), ms(0));
    expect_that!(monitor.is_partitioned(), eq(false));
    monitor.update_counts(counts(3, 3, 3), ms(0));
    expect_that!(monitor.is_partitioned(), eq(true));
    expect_that!(monitor.query_due(ms(10)), none());
    monitor.record_replies(&[Some(false), Some(true)]);
    expect_that!(monitor.is_partitioned(), eq(true));
}

/// Guards against boxes that own no group staying ready in a partitioned failure domain.
#[gtest]
fn a_box_without_groups_queries_owners_after_a_refusal_and_adopts_their_replies() {
    let mut monitor = Monitor::default();
    expect_that!(monitor.query_due(ms(5)), none());
    let unlisted = Counts {
        list_settled: false,
        ..counts(8, 0, 0)
    };
    monitor.update_counts(unlisted, ms(8));
    expect_that!(monitor.query_due(ms(8)), none());
    // Queries once after its start, as it may have started during a partition.
    monitor.update_counts(counts(8, 0, 0), ms(0));
    expect_that!(monitor.query_due(ms(10)), some(anything()));
    monitor.record_query(ms(10));
    monitor.record_replies(&[Some(false), Some(true)]);
    expect_that!(monitor.query_due(ms(900)), none());
    monitor.record_refusal(ms(1_000));
    expect_that!(monitor.query_due(ms(1_000)), some(le(ms(1_000))));
    monitor.record_query(ms(1_000));
    monitor.record_replies(&[Some(false), None, Some(false)]);
    expect_that!(monitor.is_partitioned(), eq(true));
    // Queries until the partition ends, as it no longer gets callers that would notice.
    expect_that!(monitor.query_due(ms(9_000)), some(eq(ms(1_500))));
    monitor.record_query(ms(9_000));
    monitor.record_replies(&[Some(false), Some(true)]);
    expect_that!(monitor.is_partitioned(), eq(false));
    expect_that!(monitor.query_due(ms(9_000)), none());
}

#[gtest]
fn a_box_with_one_group_without_a_majority_stays_in_service() {
    let mut monitor = Monitor::default();
    monitor.update_counts(counts(8, 1, 1), ms(0));
    expect_that!(monitor.is_partitioned(), eq(false));
    expect_that!(monitor.query_due(ms(10)), some(anything()));
    monitor.record_query(ms(10));
    monitor.record_replies(&[Some(false), Some(true)]);
    expect_that!(monitor.is_partitioned(), eq(false));
    monitor.update_counts(counts(8, 1, 0), ms(0));
    expect_that!(monitor.query_due(ms(20)), none());
}

/// Guards against a box that restarts during a partition ending it for its whole failure domain.
#[gtest]
fn undetermined_replies_of_owners_are_ignored() {
    let mut monitor = Monitor::default();
    monitor.update_counts(counts(8, 0, 0), ms(0));
    monitor.record_query(ms(10));
    monitor.record_replies(&[None, None]);
    expect_that!(monitor.is_partitioned(), eq(false));
    monitor.record_replies(&[Some(false), None]);
    expect_that!(monitor.is_partitioned(), eq(true));
    monitor.record_replies(&[None, None]);
    expect_that!(monitor.is_partitioned(), eq(true));
    // Nor does an undetermined group of its own change the verdict.
    let unknown = Counts {
        groups: 8,
        owned: 1,
        ..Counts::default()
    };
    monitor.update_counts(unknown, ms(20));
    expect_that!(monitor.is_partitioned(), eq(true));
}

fn boxes(count: usize) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        name: format!("box-{i}").into(),
        address: format!("10.0.0.{i}:1").into(),
        domain: "a".into(),
        leaving: false,
        link_mbps: 0,
    };
    (0..count).map(listing).collect()
}

/// A balancer leaves a partitioned failure domain only once all of its boxes report that they
/// aren't ready, so an alert must spread to all of them within a few hops.
#[gtest]
fn an_alert_reaches_every_box_of_a_domain_in_a_few_hops() {
    let mut rng = SmallRng::seed_from_u64(3);
    for count in [2, 5, 43, 100] {
        let boxes = boxes(count);
        let mut monitors = vec![Monitor::default(); count];
        let mut alerts = VecDeque::from([(0, 0)]);
        let mut hops_by_box = BTreeMap::new();
        let mut messages = 0;
        while let Some((i, hops)) = alerts.pop_front() {
            let spreads = monitors[i].record_alert(ms(10));
            if !spreads {
                continue;
            }
            hops_by_box.insert(i, hops);
            for target in alert_targets(&boxes, &boxes[i].name, "a", &mut rng) {
                messages += 1;
                let index = boxes.iter().position(|b| b.name == target.name);
                alerts.push_back((index.expect("listed"), hops + 1));
            }
        }
        expect_that!(hops_by_box.len(), eq(count), "{count} boxes");
        expect_that!(hops_by_box.values().max(), some(le(&8)), "{count} boxes");
        expect_that!(messages, le(4 * count), "{count} boxes");
    }
}

#[gtest]
fn only_boxes_of_the_same_domain_are_alerted() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut boxes = boxes(6);
    for other in &mut boxes[3..] {
        other.domain = "b".into();
    }
    let targets = alert_targets(&boxes, "box-1", "a", &mut rng);
    let names: Vec<&str> = targets.iter().map(|listing| &*listing.name).collect();
    expect_that!(names, unordered_elements_are![eq(&"box-0"), eq(&"box-2")]);
    expect_that!(
        alert_targets(&boxes[..1], "box-0", "a", &mut rng),
        is_empty()
    );
}

/// Guards against alerts for a slow member whose domain still answers, and for the loss of only
/// one of two other domains.
#[gtest]
fn a_box_starts_alerts_once_all_other_domains_are_silent() {
    let (b, c): (Arc<str>, Arc<str>) = ("b".into(), "c".into());
    let mut monitor = Monitor::default();
    monitor.record_answer(&b, ms(10));
    monitor.record_answer(&c, ms(10));
    expect_that!(monitor.record_failure(&b, ms(20)), eq(false));
    monitor.record_answer(&b, ms(25));
    expect_that!(monitor.record_failure(&c, ms(30)), eq(false));
    expect_that!(monitor.record_failure(&b, ms(40)), eq(true));
    // Further failures within the suspicion period start no more alerts.
    expect_that!(monitor.record_failure(&b, ms(50)), eq(false));
    expect_that!(monitor.record_alert(ms(60)), eq(false));
    expect_that!(monitor.record_failure(&b, ms(2_100)), eq(true));
}

#[gtest]
fn an_alerted_box_queries_at_once_and_at_short_intervals_until_owners_know() {
    let mut monitor = Monitor::default();
    monitor.update_counts(counts(8, 0, 0), ms(0));
    monitor.record_query(ms(10));
    monitor.record_replies(&[Some(true)]);
    expect_that!(monitor.query_due(ms(1_000)), none());
    monitor.record_alert(ms(1_000));
    expect_that!(monitor.query_due(ms(1_000)), some(le(ms(1_000))));
    monitor.record_query(ms(1_000));
    monitor.record_replies(&[Some(true), Some(false)]);
    expect_that!(monitor.is_partitioned(), eq(false));
    monitor.record_alert(ms(1_010));
    expect_that!(monitor.query_due(ms(1_010)), some(le(ms(1_100))));
    monitor.record_query(ms(1_100));
    monitor.record_replies(&[Some(false), Some(false)]);
    expect_that!(monitor.is_partitioned(), eq(true));
}

/// Guards against a box that starts during a partition reporting ready as the only one of its
/// failure domain, and getting all of the domain's callers.
#[gtest]
fn a_starting_box_queries_until_an_owner_gives_a_definite_reply() {
    let mut monitor = Monitor::default();
    monitor.update_counts(counts(8, 0, 0), ms(0));
    monitor.record_query(ms(10));
    monitor.record_replies(&[None, None]);
    expect_that!(monitor.query_due(ms(20)), some(eq(ms(510))));
    monitor.record_query(ms(510));
    monitor.record_replies(&[Some(true), None]);
    expect_that!(monitor.query_due(ms(600)), none());
}
