//! Whether a box is cut off, from its own groups and from owners of others.

use googletest::prelude::*;
use larkfall::decisions::reach::{Reach, View};

use super::fake::ms;

fn view(groups: usize, owned: usize, cut_off: usize) -> View {
    View {
        groups,
        owned,
        listed: true,
        reached: owned - cut_off,
        cut_off,
    }
}

#[gtest]
fn a_box_that_owns_every_group_needs_nobody_elses_word() {
    let mut reach = Reach::default();
    reach.see(view(3, 3, 2), ms(0));
    expect_that!(reach.is_cut_off(), eq(false));
    reach.see(view(3, 3, 3), ms(0));
    expect_that!(reach.is_cut_off(), eq(true));
    expect_that!(reach.due(ms(10)), none());
    reach.answer(&[Some(false), Some(true)]);
    expect_that!(reach.is_cut_off(), eq(true));
}

/// In a cut failure domain of 27 boxes those that owned nothing stayed ready, and
/// kept their callers.
#[gtest]
fn a_box_that_owns_nothing_asks_only_after_a_refusal_and_goes_by_the_owners_word() {
    let mut reach = Reach::default();
    expect_that!(reach.due(ms(5)), none());
    let unlisted = View {
        listed: false,
        ..view(8, 0, 0)
    };
    reach.see(unlisted, ms(8));
    expect_that!(reach.due(ms(8)), none());
    // It asks once at its start: it may have started in a cut.
    reach.see(view(8, 0, 0), ms(0));
    expect_that!(reach.due(ms(10)), some(anything()));
    reach.ask(ms(10));
    reach.answer(&[Some(false), Some(true)]);
    expect_that!(reach.due(ms(900)), none());
    reach.refuse(ms(1_000));
    expect_that!(reach.due(ms(1_000)), some(le(ms(1_000))));
    reach.ask(ms(1_000));
    reach.answer(&[Some(false), None, Some(false)]);
    expect_that!(reach.is_cut_off(), eq(true));
    // No caller comes any more, so it asks until it hears better.
    expect_that!(reach.due(ms(9_000)), some(eq(ms(1_500))));
    reach.ask(ms(9_000));
    reach.answer(&[Some(false), Some(true)]);
    expect_that!(reach.is_cut_off(), eq(false));
    expect_that!(reach.due(ms(9_000)), none());
}

#[gtest]
fn one_owned_group_without_a_majority_takes_no_box_out_of_service() {
    let mut reach = Reach::default();
    reach.see(view(8, 1, 1), ms(0));
    expect_that!(reach.is_cut_off(), eq(false));
    expect_that!(reach.due(ms(10)), some(anything()));
    reach.ask(ms(10));
    reach.answer(&[Some(false), Some(true)]);
    expect_that!(reach.is_cut_off(), eq(false));
    reach.see(view(8, 1, 0), ms(0));
    expect_that!(reach.due(ms(20)), none());
}

/// A box that came back in the middle of a cut had not looked yet, said that it was
/// fine, and brought all its neighbours back.
#[gtest]
fn owners_that_cannot_tell_yet_change_nothing() {
    let mut reach = Reach::default();
    reach.see(view(8, 0, 0), ms(0));
    reach.ask(ms(10));
    reach.answer(&[None, None]);
    expect_that!(reach.is_cut_off(), eq(false));
    reach.answer(&[Some(false), None]);
    expect_that!(reach.is_cut_off(), eq(true));
    reach.answer(&[None, None]);
    expect_that!(reach.is_cut_off(), eq(true));
    // What it has not found out itself is no word either.
    let unknown = View {
        groups: 8,
        owned: 1,
        ..View::default()
    };
    reach.see(unknown, ms(20));
    expect_that!(reach.is_cut_off(), eq(true));
}
