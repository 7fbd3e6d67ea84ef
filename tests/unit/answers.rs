//! Answers that a member repeats must not be taken for those of later statements.
//!
//! `ANSWER_SEEDS=1-20000 cargo test --release --test unit answers::by_hand -- --ignored
//! --nocapture` plays a range of seeds.

mod member;
mod scripted;
mod world;

use googletest::prelude::*;
use larkfall::borders::upstream::Status;
use larkfall::decisions::answers::{Expected, Form, History, MAX_ANSWERS, Match, Received};

use member::Repetitions;
use world::{Outcome, play};

const SEEDS: u64 = 150;
/// Violations that are printed of a run.
const SHOWN_VIOLATIONS: usize = 2;

const BEGIN: Expected = expected(Form::Completion, Status::Transaction);
const SET: Expected = expected(Form::Completion, Status::Idle);
const READ: Expected = expected(Form::Digest, Status::Idle);
const COMMAND: Expected = expected(Form::Rows, Status::Idle);

const COMPLETION: Received<'static> = answer(Form::Completion, Status::Idle, "COMPLETE -");
const BEGUN: Received<'static> = answer(Form::Completion, Status::Transaction, "COMPLETE -");
const ROW: Received<'static> = answer(Form::Rows, Status::Idle, "DATA replica 3");
const ERROR: Received<'static> = answer(Form::Error, Status::Idle, "ERROR RETRY");

const fn expected(form: Form, status: Status) -> Expected {
    Expected { form, status }
}

const fn answer(form: Form, status: Status, text: &str) -> Received<'_> {
    Received { form, text, status }
}

fn digest(text: &str) -> Received<'_> {
    answer(Form::Digest, Status::Idle, text)
}

/// Returns a history that contains the answers.
fn history(answers: &[Received<'_>]) -> History {
    let mut history = History::default();
    for answer in answers {
        history.record(answer);
    }
    history
}

#[gtest]
fn a_repeated_digest_is_not_the_next_statements() {
    let history = history(&[digest("7.1")]);
    expect_that!(
        history.match_answer(READ, &digest("7.1")),
        not(eq(Match::Own))
    );
    expect_that!(history.match_answer(READ, &digest("7.2")), eq(Match::Own));
}

#[gtest]
fn a_digest_from_long_ago_is_still_recognised() {
    let mut history = History::default();
    for number in 0..MAX_ANSWERS {
        expect_that!(history.is_reliable(), eq(true));
        history.record(&digest(&format!("7.{number}")));
    }
    expect_that!(history.is_reliable(), eq(false));
    expect_that!(
        history.match_answer(READ, &digest("7.0")),
        not(eq(Match::Own))
    );
}

#[gtest]
fn a_second_error_on_a_connection_is_not_matched() {
    let history = history(&[ERROR]);
    let other = answer(Form::Error, Status::Idle, "ERROR LAGGING");
    for expected in [READ, COMMAND, SET, BEGIN] {
        expect_that!(history.match_answer(expected, &ERROR), eq(Match::Unknown));
        expect_that!(history.match_answer(expected, &other), eq(Match::Unknown));
    }
}

#[gtest]
fn an_error_behind_a_barrier_may_be_that_of_the_barrier() {
    let mut history = history(&[COMPLETION, COMPLETION]);
    expect_that!(history.match_answer(READ, &ERROR), eq(Match::Own));
    history.record_barrier();
    expect_that!(history.match_answer(READ, &ERROR), eq(Match::Ambiguous));
    expect_that!(history.match_answer(BEGIN, &ERROR), eq(Match::Own));
    history.record(&digest("7.1"));
    expect_that!(history.match_answer(READ, &ERROR), eq(Match::Own));
}

#[gtest]
fn a_connection_with_an_error_serves_no_further_session() {
    let history = history(&[ERROR]);
    expect_that!(history.is_reliable(), eq(false));
}

#[gtest]
fn steps_whose_completions_may_be_repeated_need_a_barrier() {
    let fresh = History::default();
    expect_that!(fresh.barriers_behind(0), eq(0));
    expect_that!(fresh.barriers_behind(1), eq(0));
    expect_that!(fresh.barriers_behind(2), eq(1));
    let used = history(&[COMPLETION]);
    expect_that!(used.barriers_behind(0), eq(0));
    expect_that!(used.barriers_behind(1), eq(1));
}

#[gtest]
fn a_late_answer_to_a_barrier_does_not_hide_a_refused_step() {
    let mut history = history(&[COMPLETION]);
    history.record_barrier();
    expect_that!(history.barriers_behind(1), eq(2));
    history.record_barrier();
    expect_that!(history.barriers_behind(1), eq(3));
    history.record(&digest("7.1"));
    expect_that!(history.barriers_behind(1), eq(1));
    history.record_barrier();
    history.record(&digest("7.1"));
    expect_that!(history.barriers_behind(1), eq(2));
}

#[gtest]
fn a_completion_outside_a_transaction_does_not_start_one() {
    let history = history(&[COMPLETION]);
    expect_that!(
        history.match_answer(BEGIN, &COMPLETION),
        eq(Match::Repeated)
    );
    expect_that!(
        history.match_answer(BEGIN, &BEGUN),
        not(eq(Match::Repeated))
    );
}

#[gtest]
fn a_completion_is_not_the_answer_to_a_read() {
    let history = history(&[COMPLETION]);
    expect_that!(history.match_answer(READ, &COMPLETION), eq(Match::Repeated));
    let empty = History::default();
    expect_that!(empty.match_answer(READ, &COMPLETION), eq(Match::Unknown));
}

#[gtest]
fn a_repeated_row_answers_neither_a_read_nor_the_next_command() {
    let history = history(&[ROW]);
    expect_that!(history.match_answer(BEGIN, &ROW), eq(Match::Repeated));
    expect_that!(history.match_answer(READ, &ROW), eq(Match::Repeated));
    expect_that!(history.match_answer(COMMAND, &ROW), eq(Match::Ambiguous));
}

#[gtest]
fn a_digest_does_not_complete_a_step() {
    for expected in [SET, BEGIN, COMMAND] {
        let history = history(&[digest("7.1")]);
        expect_that!(
            history.match_answer(expected, &digest("7.1")),
            eq(Match::Repeated)
        );
        expect_that!(
            history.match_answer(expected, &digest("7.2")),
            eq(Match::Unknown)
        );
    }
}

#[gtest]
fn a_repeated_greeting_answers_nothing() {
    let greeting = answer(Form::Greeting, Status::Idle, "");
    for expected in [SET, BEGIN, COMMAND, READ] {
        let history = History::default();
        expect_that!(
            history.match_answer(expected, &greeting),
            eq(Match::Repeated)
        );
    }
}

#[gtest]
fn a_connection_with_a_repetition_serves_no_further_session() {
    let mut history = history(&[digest("7.1")]);
    expect_that!(history.is_reliable(), eq(true));
    history.record_repetition();
    expect_that!(history.is_reliable(), eq(false));
}

/// Sums of several runs.
#[derive(Debug, Default)]
struct Totals {
    faulty: Vec<u64>,
    violations: usize,
    repeated: u64,
    succeeded: u64,
    failed: u64,
    unknown: u64,
    stalled: u64,
    connections: u64,
    needless: u64,
    unexpected_inputs: u64,
}

impl Totals {
    fn add(&mut self, seed: u64, outcome: &Outcome) {
        if !outcome.violations.is_empty() {
            self.faulty.push(seed);
        }
        self.violations += outcome.violations.len();
        self.repeated += outcome.repeated;
        self.succeeded += outcome.succeeded;
        self.failed += outcome.failed;
        self.unknown += outcome.unknown;
        self.stalled += outcome.stalled;
        self.connections += outcome.connections;
        self.needless += outcome.needless;
        self.unexpected_inputs += outcome.unexpected_inputs;
    }
}

async fn play_all(
    seeds: impl Iterator<Item = u64>,
    repetitions: Repetitions,
    shown: usize,
) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let outcome = play(seed, repetitions).await;
        if totals.violations < shown {
            for violation in outcome.violations.iter().take(SHOWN_VIOLATIONS) {
                println!("seed {seed}: {violation}");
            }
        }
        totals.add(seed, &outcome);
    }
    println!("{repetitions:?}: {totals:?}");
    totals
}

#[gtest]
#[tokio::test]
async fn without_repetitions_no_connection_is_given_up() {
    let totals = play_all(1..=SEEDS, Repetitions::Never, SHOWN_VIOLATIONS).await;
    expect_that!(totals.violations, eq(0));
    expect_that!(totals.needless, eq(0));
    expect_that!(totals.stalled, eq(0));
    expect_that!(totals.unexpected_inputs, eq(0));
    expect_that!(totals.succeeded, gt(SEEDS * 10));
}

#[gtest]
#[tokio::test]
async fn a_repeated_answer_is_never_taken_for_another_statements() {
    let totals = play_all(1..=SEEDS, Repetitions::Single, SHOWN_VIOLATIONS).await;
    expect_that!(totals.violations, eq(0));
    expect_that!(totals.repeated, gt(SEEDS));
    expect_that!(totals.succeeded, gt(SEEDS * 10));
}

#[gtest]
#[ignore = "plays many seeds by hand"]
#[tokio::test]
async fn by_hand() {
    let seeds = std::env::var("ANSWER_SEEDS").unwrap_or_else(|_| "1-1000".to_owned());
    let (first, last) = seeds.split_once('-').expect("first-last");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let seeds = number(first)..=number(last);
    for repetitions in [Repetitions::Never, Repetitions::Single] {
        let totals = play_all(seeds.clone(), repetitions, SHOWN_VIOLATIONS).await;
        expect_that!(totals.violations, eq(0));
    }
}

/// Several repetitions in one exchange may imitate an answer and that of the barrier behind it. The runs are counted here and not judged.
#[gtest]
#[ignore = "plays many seeds by hand"]
#[tokio::test]
async fn several_repetitions_by_hand() {
    let seeds = std::env::var("ANSWER_SEEDS").unwrap_or_else(|_| "1-1000".to_owned());
    let (first, last) = seeds.split_once('-').expect("first-last");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let seeds = number(first)..=number(last);
    let totals = play_all(seeds, Repetitions::Several, 20).await;
    expect_that!(totals.repeated, gt(0));
}
