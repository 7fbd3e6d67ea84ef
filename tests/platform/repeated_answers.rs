//! Members that answer twice, the second time late: no caller gets an answer that isn't its own, no
//! write runs twice or is called not run although it is kept, and boxes go on serving.

use std::time::Duration;

use googletest::prelude::*;

use super::client::{Answer, Client, NO_EFFECT_CODES};
use super::replies::{Duplication, Hold, Kind, Sent, Timing};
use super::world::{BOUNDED, STRICT, World};

/// Times between a duplicate and the answer that it precedes: in one read of the box, or after the
/// box has read the duplicate alone.
const GAPS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(20)];
/// Deadline for a statement that meets a duplicate.
const MEETING_DEADLINE: Duration = Duration::from_secs(5);
/// Pause after which a statement needs the status of members again.
const STATUS_PAUSE: Duration = Duration::from_millis(450);
/// Time for which members repeat a share of their answers.
const SHARE_TIME: Duration = Duration::from_millis(800);
/// Deadline for the replacement of a primary.
const REPLACEMENT_DEADLINE: Duration = Duration::from_secs(11);
/// Names of the sessions during the fault and after it, for each gap. Ids begin with them.
const DURING: [&str; 2] = ["a", "b"];
const READERS: [&str; 2] = ["reader-a", "reader-b"];
const LATER: [&str; 2] = ["later-a", "later-b"];
/// Statements after the fault that must succeed.
const LATER_STATEMENTS: usize = 10;

/// Refusals that are sent twice.
const REFUSALS: usize = 10;

/// Returns a fault that sends the next answer of a kind again, right before the answer to a later
/// statement.
fn held(kind: Kind, before: &[Kind], gap: Duration) -> Duplication {
    let hold = Hold {
        before: before.to_vec(),
        skip: 0,
        gap,
    };
    Duplication::new(&[kind], Timing::Held(hold)).times(1)
}

/// Returns whether a connection got an answer of one of these kinds after a duplicate.
fn was_met(sent: &[Sent], kinds: &[Kind]) -> bool {
    let Some(first) = sent.iter().position(|answer| answer.duplicate) else {
        return false;
    };
    let connection = sent[first].connection;
    let mut later = sent[first..].iter();
    later.any(|answer| {
        answer.connection == connection && !answer.duplicate && kinds.contains(&answer.kind)
    })
}

/// Returns how many entries of the primary's log a statement wrote.
fn entries(world: &World, id: &str) -> usize {
    let log = world.group.log(&world.group.primary());
    log.iter().filter(|entry| entry.id == id).count()
}

/// Checks that an answer is the member's own to the statement, or tells truly what became of it.
/// `writes` are the ids of the writes that the statement commits.
fn expect_truthful(world: &World, id: &str, writes: &[String], answer: &Answer) {
    for write in writes {
        expect_that!(entries(world, write), le(1), "{write} ran more than once");
    }
    let Some(code) = answer.error.as_deref() else {
        let sent = world.members.iter().flat_map(|(_, _, m)| m.answers(id));
        let own = sent.filter(|sent| sent.digest() == answer.digest.as_deref());
        let own: Vec<Vec<String>> = own.map(|sent| sent.rows).collect();
        expect_that!(own, contains(eq(&answer.rows)), "{id} got {answer:?}");
        for write in writes {
            expect_that!(entries(world, write), eq(1), "{write} got {answer:?}");
        }
        return;
    };
    if NO_EFFECT_CODES.contains(&code) {
        for write in writes {
            expect_that!(entries(world, write), eq(0), "{write} got {answer:?}");
        }
    } else {
        expect_that!(code, eq("UNKNOWN"), "{id} got {answer:?}");
    }
}

/// Runs a single statement and checks its answer.
async fn run_single(world: &World, client: &mut Client, text: &str) -> Answer {
    let answer = client.run(text).await.expect("the session stays open");
    let id = client.last_id();
    let is_write = text.starts_with("WRITE") || text.starts_with("EXECUTE w");
    let writes = if is_write { vec![id.clone()] } else { vec![] };
    expect_truthful(world, &id, &writes, &answer);
    answer
}

/// Runs a transaction with a write and a read, and checks its answers.
async fn run_transaction(world: &World, client: &mut Client, value: &str) -> Answer {
    client.run("BEGIN").await.expect("the session stays open");
    let mut writes = Vec::new();
    for text in [format!("WRITE farm {value}"), "READ farm".to_owned()] {
        let answer = client.run(&text).await.expect("the session stays open");
        let id = client.last_id();
        expect_truthful(world, &id, &[], &answer);
        if text.starts_with("WRITE") {
            writes.push(id);
        }
        if answer.state == "E" {
            client
                .run("ROLLBACK")
                .await
                .expect("the session stays open");
            for write in &writes {
                expect_that!(entries(world, write), eq(0), "{write} was rolled back");
            }
            return answer;
        }
    }
    let answer = client.run("COMMIT").await.expect("the session stays open");
    expect_truthful(world, &client.last_id(), &writes, &answer);
    expect_that!(answer.state, eq("I"));
    answer
}

/// Checks that a box serves at once after the fault.
async fn expect_recovered(world: &World, name: &'static str) {
    for (_, _, member) in &world.members {
        member.duplicate_answers(None);
        member.refuse.lock().expect("no panic").clear();
    }
    let mut client = world.client(0, STRICT, name).await;
    let mut codes = Vec::new();
    let serve = async {
        let mut served = 0;
        while served < LATER_STATEMENTS {
            let text = ["WRITE farm later", "READ farm"][served % 2];
            match run_single(world, &mut client, text).await.error {
                None => served += 1,
                Some(code) => codes.push(code),
            }
        }
    };
    let served = tokio::time::timeout(MEETING_DEADLINE, serve).await;
    expect_that!(served, ok(anything()));
    // A duplicate that was sent late may still meet one statement.
    expect_that!(codes.len(), le(2), "{codes:?}");
}

/// What a caller runs until it meets a duplicate.
#[derive(Clone, Copy)]
enum Work {
    /// Single statements, in turn.
    Singles(&'static [&'static str]),
    Transactions,
    /// Transactions that are rolled back.
    RolledBack,
}

async fn run_work(world: &World, client: &mut Client, work: Work) {
    match work {
        Work::Singles(texts) => {
            for text in texts {
                run_single(world, client, text).await;
            }
        }
        Work::Transactions => {
            run_transaction(world, client, "kept").await;
        }
        Work::RolledBack => {
            for text in ["BEGIN", "WRITE farm lost"] {
                client.run(text).await.expect("the session stays open");
            }
            let write = client.last_id();
            client
                .run("ROLLBACK")
                .await
                .expect("the session stays open");
            expect_that!(entries(world, &write), eq(0));
            run_single(world, client, "WRITE farm kept").await;
        }
    }
}

/// Sends an answer of the kind again before the answer to a later statement of the kinds `before`,
/// while a caller works, and checks the caller's answers then and afterwards.
async fn expect_no_mixed_answer(kind: Kind, before: &[Kind], setup: &[&str], work: Work) {
    expect_no_mixed_answer_after(0, kind, before, setup, work).await;
}

/// Like [`expect_no_mixed_answer`], with other such statements before the later one.
async fn expect_no_mixed_answer_after(
    skip: usize,
    kind: Kind,
    before: &[Kind],
    setup: &[&str],
    work: Work,
) {
    let world = World::start(1).await;
    let primary = world.member("i-0");
    for (i, gap) in GAPS.into_iter().enumerate() {
        primary.forget_records();
        let mut client = world.client(0, STRICT, DURING[i]).await;
        let met = async {
            for round in 0.. {
                // Connections may be closed with their duplicates, so that more are needed.
                let hold = Hold {
                    before: before.to_vec(),
                    skip,
                    gap,
                };
                let fault = Duplication::new(&[kind], Timing::Held(hold)).times(1);
                primary.duplicate_answers(Some(fault));
                for text in setup {
                    // Another value or shape has to be set up anew.
                    let answer = client.run(&format!("{text}{round}")).await;
                    answer.expect("the session stays open");
                }
                run_work(&world, &mut client, work).await;
                if was_met(&primary.sent(), before) {
                    break;
                }
            }
        };
        let met = tokio::time::timeout(MEETING_DEADLINE, met).await;
        expect_that!(met, ok(anything()), "no statement met a duplicate");
        // The statements after it may get the answers of those before them.
        for _ in 0..2 {
            run_work(&world, &mut client, work).await;
        }
        expect_recovered(&world, LATER[i]).await;
    }
}

const READS: Work = Work::Singles(&["READ farm", "READ other"]);
const WRITES: Work = Work::Singles(&["WRITE farm 1", "WRITE farm 2"]);
const BOTH: Work = Work::Singles(&["WRITE farm 1", "READ farm"]);

#[gtest]
#[tokio::test]
async fn a_repeated_read_is_not_the_next_reads_answer() {
    expect_no_mixed_answer(Kind::Read, &[Kind::Read], &[], READS).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_read_is_not_the_next_writes_answer() {
    expect_no_mixed_answer(Kind::Read, &[Kind::Write], &[], BOTH).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_write_is_not_the_next_writes_answer() {
    expect_no_mixed_answer(Kind::Write, &[Kind::Write], &[], WRITES).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_write_is_not_the_answer_to_the_commit_of_its_transaction() {
    expect_no_mixed_answer(Kind::Write, &[Kind::Commit], &[], Work::Transactions).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_write_is_not_the_answer_to_a_read_in_its_transaction() {
    expect_no_mixed_answer(Kind::Write, &[Kind::Read], &[], Work::Transactions).await;
}

#[gtest]
#[tokio::test]
async fn an_answer_repeated_some_statements_later_is_not_taken_for_another() {
    for (kind, work) in [(Kind::Read, READS), (Kind::Write, WRITES)] {
        expect_no_mixed_answer_after(3, kind, &[kind], &[], work).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_repeated_commit_is_not_the_next_commits_answer() {
    expect_no_mixed_answer(Kind::Commit, &[Kind::Commit], &[], Work::Transactions).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_commit_is_not_the_answer_to_the_next_transactions_begin() {
    expect_no_mixed_answer(Kind::Commit, &[Kind::Begin], &[], Work::Transactions).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_begin_is_not_the_answer_to_its_first_statement() {
    expect_no_mixed_answer(Kind::Begin, &[Kind::Write], &[], Work::Transactions).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_rollback_is_not_the_next_writes_answer() {
    expect_no_mixed_answer(Kind::Rollback, &[Kind::Write], &[], Work::RolledBack).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_set_is_not_the_next_statements_answer() {
    let setup = ["SET lang es"];
    expect_no_mixed_answer(Kind::Set, &[Kind::Read, Kind::Write], &setup, BOTH).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_prepare_is_not_its_executes_answer() {
    let setup = ["PREPARE w WRITE q"];
    let work = Work::Singles(&["EXECUTE w farm 1"]);
    expect_no_mixed_answer(Kind::Prepare, &[Kind::Write], &setup, work).await;
}

/// A RESET precedes the statement of a session without the values of the session before it.
#[gtest]
#[tokio::test]
async fn a_repeated_reset_is_not_the_next_statements_answer() {
    let world = World::start(1).await;
    let primary = world.member("i-0");
    let mut values = world.client(0, STRICT, "values").await;
    let mut plain = world.client(0, STRICT, "plain").await;
    let set = values.run("SET lang es").await;
    expect_that!(set.map(|set| set.error), ok(none()));
    for (i, gap) in GAPS.into_iter().enumerate() {
        primary.forget_records();
        let met = async {
            while !was_met(&primary.sent(), &[Kind::Read]) {
                primary.duplicate_answers(Some(held(Kind::Reset, &[Kind::Read], gap)));
                for (client, shown) in [(&mut values, "lang=es"), (&mut plain, "")] {
                    let read = run_single(&world, client, "READ farm").await;
                    for row in read.rows {
                        expect_that!(row, ends_with(&*format!("[{shown}]")));
                    }
                }
            }
        };
        let met = tokio::time::timeout(MEETING_DEADLINE, met).await;
        expect_that!(met, ok(anything()), "no statement met a duplicate");
        expect_recovered(&world, LATER[i]).await;
    }
}

/// Whether a connection was used again after an answer that refused a statement.
fn was_used_after_refusal(sent: &[Sent]) -> bool {
    sent.iter().enumerate().any(|(i, refusal)| {
        let mut later = sent[i + 1..].iter();
        refusal.kind == Kind::Error
            && later.any(|next| next.connection == refusal.connection && !next.duplicate)
    })
}

/// Runs writes that are refused with a code that is sent again, in turn with others. Nothing tells the
/// second refusal from another one, so that its connection must serve no other statement.
async fn expect_refusal_believed_once(code: &'static str) {
    let world = World::start(1).await;
    let primary = world.member("i-0");
    let delayed = || Timing::Delayed(Duration::ZERO..GAPS[1]);
    for (i, gap) in GAPS.into_iter().enumerate() {
        primary.forget_records();
        let mut client = world.client(0, STRICT, DURING[i]).await;
        for round in 0..REFUSALS {
            let duplication = match round % 2 {
                0 => held(Kind::Error, &[], gap),
                _ => Duplication::new(&[Kind::Error], delayed()).times(1),
            };
            primary.duplicate_answers(Some(duplication));
            *primary.refuse.lock().expect("no panic") = vec![code];
            run_single(&world, &mut client, "WRITE farm 1").await;
            run_single(&world, &mut client, "WRITE farm 2").await;
        }
        let sent = primary.sent();
        let refusals = sent.iter().filter(|answer| answer.kind == Kind::Error);
        expect_that!(refusals.count(), ge(REFUSALS));
        expect_that!(was_used_after_refusal(&sent), eq(false));
        expect_recovered(&world, LATER[i]).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_repeated_retry_does_not_make_a_later_write_run_twice_or_count_as_not_run() {
    expect_refusal_believed_once("RETRY").await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_readonly_does_not_make_a_later_write_run_twice_or_count_as_not_run() {
    expect_refusal_believed_once("READONLY").await;
}

/// Transactions pin their connections, so that each further one opens a connection.
#[gtest]
#[tokio::test]
async fn a_repeated_ready_is_not_part_of_the_first_answer_on_a_connection() {
    for gap in GAPS {
        let world = World::start(1).await;
        let primary = world.member("i-0");
        let met = [Kind::Begin, Kind::Write];
        primary.duplicate_answers(Some(held(Kind::Connect, &met, gap).times(4)));
        let mut pinned = Vec::new();
        for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
            let mut client = world.client(0, STRICT, name).await;
            client.run("BEGIN").await.expect("the session stays open");
            let answer = client.run("WRITE farm lost").await;
            let answer = answer.expect("the session stays open");
            expect_truthful(&world, &client.last_id(), &[], &answer);
            pinned.push(client);
        }
        let until_met = async {
            while !was_met(&primary.sent(), &met) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let met = tokio::time::timeout(MEETING_DEADLINE, until_met).await;
        expect_that!(met, ok(anything()), "no statement met a duplicate");
        for mut client in pinned {
            let write = client.last_id();
            client
                .run("ROLLBACK")
                .await
                .expect("the session stays open");
            expect_that!(entries(&world, &write), eq(0));
        }
        expect_recovered(&world, LATER[0]).await;
    }
}

/// Repeats some answers of all members, each before the next answer of a kind, while a caller reads
/// and writes with pauses, in which boxes ask for the status. The group must stay as it is.
async fn expect_primary_kept(kind: Kind, before: &[Kind]) {
    let world = World::start(1).await;
    let duplicates = || {
        let sent = world.members.iter().flat_map(|(_, _, m)| m.sent());
        sent.filter(|answer| answer.duplicate).count()
    };
    for (i, gap) in GAPS.into_iter().enumerate() {
        for (_, _, member) in &world.members {
            member.duplicate_answers(Some(held(kind, before, gap).times(2)));
        }
        let earlier = duplicates();
        let mut client = world.client(0, STRICT, DURING[i]).await;
        let mut reader = world.client(0, BOUNDED, READERS[i]).await;
        let work = async {
            while duplicates() < earlier + 2 {
                for text in ["WRITE farm 1", "READ farm", "WRITE farm 2"] {
                    run_single(&world, &mut client, text).await;
                    run_work(&world, &mut reader, READS).await;
                    tokio::time::sleep(STATUS_PAUSE).await;
                }
            }
        };
        let met = tokio::time::timeout(MEETING_DEADLINE, work).await;
        expect_that!(met, ok(anything()), "too few duplicates");
        for _ in 0..3 {
            run_work(&world, &mut client, BOTH).await;
        }
        expect_recovered(&world, LATER[i]).await;
    }
    expect_that!(world.store.orders().len(), eq(0));
    expect_that!(world.group.primary(), eq("i-0"));
    expect_that!(world.group.fenced(), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_repeated_status_is_not_believed_and_not_the_next_statements_answer() {
    expect_primary_kept(Kind::Control, &[]).await;
}

#[gtest]
#[tokio::test]
async fn a_repeated_read_is_not_taken_for_a_status() {
    expect_primary_kept(Kind::Read, &[Kind::Control]).await;
}

#[gtest]
#[tokio::test]
async fn a_primary_is_replaced_and_no_write_lost_while_its_successors_repeat_status_and_pause() {
    let world = World::start(2).await;
    for (seed, (_, _, member)) in world.members.iter().enumerate() {
        let all = held(Kind::Control, &[], Duration::ZERO).times(usize::MAX);
        member.duplicate_answers(Some(all.share(0.3, seed as u64)));
    }
    world.crash_member("i-0");
    let mut clients = Vec::new();
    for (i, name) in DURING.into_iter().enumerate() {
        clients.push(world.client(i, STRICT, name).await);
    }
    let mut acknowledged = Vec::new();
    let work = async {
        while acknowledged.len() < LATER_STATEMENTS {
            for client in &mut clients {
                let answer = run_single(&world, client, "WRITE farm 1").await;
                if answer.error.is_none() {
                    acknowledged.push(client.last_id());
                }
            }
        }
    };
    let replaced = tokio::time::timeout(REPLACEMENT_DEADLINE, work).await;
    expect_that!(replaced, ok(anything()));
    expect_recovered(&world, LATER[0]).await;
    expect_that!(world.group.primary(), not(eq("i-0")));
    for id in acknowledged {
        expect_that!(entries(&world, &id), eq(1), "{id} is lost");
    }
}

#[gtest]
#[tokio::test]
async fn answers_that_are_repeated_at_random_moments_mix_with_no_others() {
    let world = World::start(2).await;
    for (seed, (_, _, member)) in world.members.iter().enumerate() {
        let delays = Timing::Delayed(Duration::ZERO..Duration::from_millis(40));
        let all = Duplication::new(&[], delays).share(0.2, seed as u64);
        member.duplicate_answers(Some(all));
    }
    let mut singles = world.client(0, STRICT, "singles").await;
    let mut transactions = world.client(0, STRICT, "transactions").await;
    let mut other = world.client(1, STRICT, "other").await;
    let mut reader = world.client(1, BOUNDED, "reader").await;
    singles.run("SET lang es").await.unwrap();
    other.run("PREPARE w WRITE q").await.unwrap();
    let work = async {
        loop {
            futures::join!(
                run_work(&world, &mut singles, BOTH),
                run_work(&world, &mut transactions, Work::Transactions),
                run_work(&world, &mut other, Work::Singles(&["EXECUTE w farm 1"])),
                run_work(&world, &mut reader, READS),
            );
        }
    };
    let _ended = tokio::time::timeout(SHARE_TIME, work).await;
    let sent = world.members.iter().flat_map(|(_, _, m)| m.sent());
    expect_that!(sent.filter(|answer| answer.duplicate).count(), gt(0));
    expect_recovered(&world, LATER[0]).await;
}
