//! Exchanges with a member that follows a script, in which answers are repeated or stay away. Each
//! test guards against one way to take a repetition for another statement's answer.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use larkfall::borders::upstream::{
    Answer, Begin, Dialer, Opening, Rejection, Setup, Task, Upstream, UpstreamError, Verdict,
};
use larkfall::decisions::position::Position;
use larkfall::declarations::resource::{Address, Member};
use larkfall::metrics::Metrics;
use larkfall::platform::upstream::LineDialer;
use slog::Logger;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Deadline for an exchange. The member answers at once.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time in which a line that was sent is received.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

const FLOOR: Option<Position> = Some(Position { term: 3, index: 5 });

const BARRIER: &str = "- PREPARE larkfall READ larkfall";
const BEGUN: &str = "COMPLETE -\r\nREADY T 3.1\r\n";
const COMPLETED: &str = "COMPLETE -\r\nREADY I 3.1\r\n";
const ROW: &str = "DATA replica 3 3.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 3.1\r\n";
const BUSY: &str = "ERROR RETRY busy\r\nREADY I 3.1\r\n";
const LAGGING: &str = "ERROR LAGGING 3.1\r\nREADY I 3.1\r\n";
const LOST_LEAD: &str = "ERROR ABORTED lead lost\r\nREADY I 3.1\r\n";
/// Answers to reads.
const READ_IN_TRANSACTION: &str = "DATA x\r\nCOMPLETE d1\r\nREADY T 3.1\r\n";
const OTHER_READ_IN_TRANSACTION: &str = "DATA y\r\nCOMPLETE d2\r\nREADY T 3.1\r\n";
/// Answer to a write or a commit.
const COMMITTED: &str = "COMPLETE d3\r\nREADY I 3.1\r\n";

/// Statements that the member expects, without the word in front, and what it sends for each.
type Script = &'static [(&'static str, &'static [&'static str])];

/// A connection to a member that follows a script.
struct Exchanges {
    connection: Box<dyn Upstream>,
    script: Script,
    /// Statements that the member received.
    received: Arc<Mutex<Vec<String>>>,
}

/// Serves a connection. A statement that isn't the script's next one gets no answer.
async fn follow(stream: TcpStream, script: Script, received: Arc<Mutex<Vec<String>>>) {
    let (input, mut output) = stream.into_split();
    let mut lines = BufReader::new(input).lines();
    let mut script = script.iter().peekable();
    while let Ok(Some(line)) = lines.next_line().await {
        let Some(statement) = line.strip_prefix("QUERY ") else {
            let _ = output.write_all(b"READY I 3.1\r\n").await;
            continue;
        };
        received.lock().expect("a lock").push(statement.to_owned());
        if let Some((_, answers)) = script.next_if(|(expected, _)| *expected == statement) {
            let answers = answers.concat();
            // A far end that closed reads no answer.
            let _ = output.write_all(answers.as_bytes()).await;
        }
    }
}

impl Exchanges {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = received.clone();
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            follow(stream, script, log).await;
        });
        let dialer = LineDialer {
            from: IpAddr::V4(Ipv4Addr::LOCALHOST),
            connect_timeout: DEADLINE,
            metrics: Rc::new(Metrics::default()),
            log: Logger::root(slog::Discard, slog::o!()),
        };
        let member = Member {
            partner: "".into(),
            group: "tenant".into(),
            name: "i-1".into(),
            address: Address {
                sql: address.as_str().into(),
                control: address.as_str().into(),
            },
            domain: "a".into(),
            leaving: false,
            born: None,
        };
        let connection = dialer.connect(&member, None).await.expect("a connection");
        Self {
            connection,
            script,
            received,
        }
    }

    /// Runs a statement. An exchange that hangs is one without a result.
    async fn run(
        &mut self,
        payload: &'static str,
        setup: Option<Setup>,
        floor: Option<Position>,
    ) -> std::result::Result<Answer, UpstreamError> {
        let payload = Bytes::from_static(payload.as_bytes());
        let task = Task {
            payload: &payload,
            setup: setup.as_ref(),
            floor,
        };
        let result = tokio::time::timeout(DEADLINE, self.connection.run(&task)).await;
        result.unwrap_or(Err(UpstreamError::TimedOut))
    }

    /// Runs a statement that must succeed with these lines.
    async fn expect_success(&mut self, payload: &'static str, setup: Option<Setup>, lines: &str) {
        let answer = self.run(payload, setup, None).await;
        expect_that!(verdict(&answer), ok(eq(&Verdict::Done)), "{payload}");
        expect_that!(text(&answer), eq(lines_of(lines)), "{payload}");
    }

    /// Runs a statement whose result can't be told.
    async fn expect_unknown(&mut self, payload: &'static str, setup: Option<Setup>) {
        let answer = self.run(payload, setup, None).await;
        let unknown = matches!(answer, Err(UpstreamError::InvalidAnswer(_)));
        expect_that!(unknown, eq(true), "{payload} got {answer:?}");
        expect_that!(self.connection.is_reusable(), eq(false), "{payload}");
    }

    /// Runs a statement in front of which a step is refused.
    async fn expect_not_sent(
        &mut self,
        payload: &'static str,
        setup: Setup,
        floor: Option<Position>,
        rejection: Rejection,
    ) {
        let answer = self.run(payload, Some(setup), floor).await;
        expect_that!(
            verdict(&answer),
            ok(eq(&Verdict::Rejection(rejection))),
            "{payload} got {answer:?}"
        );
        expect_that!(self.connection.is_reusable(), eq(false), "{payload}");
        let received = self.received().await;
        expect_that!(received, not(contains(eq(payload))));
    }

    async fn expect_rolled_back(&mut self) {
        let result = tokio::time::timeout(DEADLINE, self.connection.roll_back()).await;
        let result = result.unwrap_or(Err(UpstreamError::TimedOut));
        expect_that!(result, ok(eq(&())));
    }

    /// Returns the statements that the member has received by now.
    async fn received(&self) -> Vec<String> {
        tokio::time::sleep(ARRIVAL_TIME).await;
        self.received.lock().expect("a lock").clone()
    }

    /// Checks that the member received the statements of the script and no others.
    async fn expect_script_followed(&self) {
        let script = self.script.iter().map(|(statement, _)| *statement);
        expect_that!(self.received().await, eq(&script.collect::<Vec<_>>()));
    }
}

fn verdict(
    answer: &std::result::Result<Answer, UpstreamError>,
) -> std::result::Result<Verdict, UpstreamError> {
    answer.as_ref().map(|it| it.verdict).map_err(Clone::clone)
}

/// Returns the messages of an answer, which are empty if there is none.
fn text(answer: &std::result::Result<Answer, UpstreamError>) -> String {
    let messages = answer.as_ref().map(|it| it.messages.clone());
    String::from_utf8_lossy(&messages.unwrap_or_default()).into_owned()
}

/// Returns the lines in front of the READY line.
fn lines_of(answer: &str) -> &str {
    answer.split("READY").next().unwrap_or_default()
}

fn open(begin: Begin, id: &str) -> Setup {
    Setup {
        opening: Some(Opening {
            begin,
            id: id.into(),
        }),
        ..Setup::default()
    }
}

fn with_zone(zone: &str) -> Setup {
    Setup {
        values: Arc::new([("tz".into(), zone.into())].into()),
        ..Setup::default()
    }
}

#[gtest]
#[tokio::test]
async fn a_refused_begin_is_not_hidden_by_a_repeated_answer_to_an_earlier_one() {
    let mut member = Exchanges::start(&[
        ("t1 BEGIN", &[BEGUN]),
        ("a READ k", &[READ_IN_TRANSACTION]),
        ("b COMMIT", &[COMMITTED]),
        ("t2 BEGIN", &[BEGUN, BUSY]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    let first = open(Begin::ReadWrite, "t1");
    member
        .expect_success("a READ k", Some(first), READ_IN_TRANSACTION)
        .await;
    member.expect_success("b COMMIT", None, COMMITTED).await;
    let second = open(Begin::ReadWrite, "t2");
    member
        .expect_not_sent("c WRITE k v", second, None, Rejection::Busy)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_floor_is_not_hidden_by_a_repeated_answer_to_an_earlier_begin() {
    let mut member = Exchanges::start(&[
        ("t1 BEGIN READ", &[BEGUN]),
        ("a READ k", &[READ_IN_TRANSACTION]),
        ("b COMMIT", &[COMMITTED]),
        ("t2 AFTER 3.5 BEGIN READ", &[BEGUN, LAGGING]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    let first = open(Begin::ReadOnly, "t1");
    member
        .expect_success("a READ k", Some(first), READ_IN_TRANSACTION)
        .await;
    member.expect_success("b COMMIT", None, COMMITTED).await;
    let second = open(Begin::ReadOnly, "t2");
    member
        .expect_not_sent("c READ k", second, FLOOR, Rejection::Lagging)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_floor_is_not_hidden_by_a_repeated_answer_to_a_commands_barrier() {
    let mut member = Exchanges::start(&[
        ("- STATUS", &[ROW]),
        ("- STATUS", &[ROW]),
        ("- BEGIN READ", &[BEGUN]),
        ("- ROLLBACK", &[COMPLETED]),
        ("t1 AFTER 3.5 BEGIN READ", &[BEGUN, LAGGING]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    member.expect_success("- STATUS", None, ROW).await;
    member.expect_success("- STATUS", None, ROW).await;
    let setup = open(Begin::ReadOnly, "t1");
    member
        .expect_not_sent("a READ k", setup, FLOOR, Rejection::Lagging)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_begin_is_not_hidden_by_a_repeated_answer_to_a_commands_barrier() {
    let mut member = Exchanges::start(&[
        ("- STATUS", &[ROW]),
        ("- STATUS", &[ROW]),
        ("- BEGIN READ", &[BEGUN]),
        ("- ROLLBACK", &[COMPLETED]),
        ("t1 BEGIN", &[BEGUN, BUSY]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    member.expect_success("- STATUS", None, ROW).await;
    member.expect_success("- STATUS", None, ROW).await;
    let setup = open(Begin::ReadWrite, "t1");
    member
        .expect_not_sent("a WRITE k v", setup, None, Rejection::Busy)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_set_is_not_hidden_by_a_repeated_answer_to_a_commands_barrier() {
    let mut member = Exchanges::start(&[
        ("- STATUS", &[ROW]),
        ("- STATUS", &[ROW]),
        ("- BEGIN READ", &[BEGUN]),
        ("- ROLLBACK", &[COMPLETED]),
        ("- SET tz u", &[COMPLETED, BUSY]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    member.expect_success("- STATUS", None, ROW).await;
    member.expect_success("- STATUS", None, ROW).await;
    member
        .expect_not_sent("a WRITE k v", with_zone("u"), None, Rejection::Busy)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_position_that_goes_back_is_no_sign_of_a_repetition() {
    const FIRST: &str = "DATA x\r\nCOMPLETE d1\r\nREADY I 3.9\r\n";
    const SECOND: &str = "DATA y\r\nCOMPLETE d2\r\nREADY I 3.5\r\n";
    let mut member = Exchanges::start(&[
        ("a READ k", &[FIRST]),
        ("- SET tz u", &["COMPLETE -\r\nREADY I 3.5\r\n"]),
        ("b READ k", &[SECOND]),
    ])
    .await;
    let plain = Some(Setup::default());
    member.expect_success("a READ k", plain, FIRST).await;
    let zone = Some(with_zone("u"));
    member.expect_success("b READ k", zone, SECOND).await;
    expect_that!(member.connection.is_reusable(), eq(true));
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_set_is_not_hidden_by_the_late_answer_to_a_rollbacks_barrier() {
    const READ: &str = "DATA z\r\nCOMPLETE d4\r\nREADY I 3.1\r\n";
    let mut member = Exchanges::start(&[
        ("t1 BEGIN", &[BEGUN]),
        ("a READ k", &[READ_IN_TRANSACTION]),
        ("- ROLLBACK", &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
        ("x READ k", &[READ]),
        ("t2 BEGIN", &[BEGUN]),
        (BARRIER, &[BEGUN]),
        ("b READ k", &[OTHER_READ_IN_TRANSACTION, COMPLETED]),
        ("- ROLLBACK", &[COMPLETED]),
        // Its answer comes behind the next statement, with one repetition more.
        (BARRIER, &[]),
        ("- SET tz u", &[COMPLETED, COMPLETED, BUSY]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    let first = open(Begin::ReadWrite, "t1");
    member
        .expect_success("a READ k", Some(first), READ_IN_TRANSACTION)
        .await;
    member.expect_rolled_back().await;
    expect_that!(member.connection.is_reusable(), eq(true));
    let plain = Some(Setup::default());
    member.expect_success("x READ k", plain, READ).await;
    let second = open(Begin::ReadWrite, "t2");
    member
        .expect_success("b READ k", Some(second), OTHER_READ_IN_TRANSACTION)
        .await;
    // The next session may get the connection.
    member.expect_rolled_back().await;
    member
        .expect_not_sent("c WRITE k v", with_zone("u"), None, Rejection::Busy)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_refused_set_is_not_hidden_by_the_late_answer_to_a_commands_barrier() {
    let mut member = Exchanges::start(&[
        ("- STATUS", &[ROW]),
        ("- STATUS", &[ROW]),
        ("- BEGIN READ", &[BEGUN]),
        ("- ROLLBACK", &[COMPLETED]),
        ("- STATUS", &[ROW]),
        ("- BEGIN READ", &[BEGUN, COMPLETED]),
        // Its answer comes behind the next statement, with one repetition more.
        ("- ROLLBACK", &[]),
        ("- SET tz u", &[COMPLETED, COMPLETED, BUSY]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
        (BARRIER, &[COMPLETED]),
    ])
    .await;
    member.expect_success("- STATUS", None, ROW).await;
    member.expect_success("- STATUS", None, ROW).await;
    expect_that!(member.connection.is_reusable(), eq(true));
    member.expect_success("- STATUS", None, ROW).await;
    // The next session may get the connection.
    member
        .expect_not_sent("c WRITE k v", with_zone("u"), None, Rejection::Busy)
        .await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn nothing_is_sent_after_a_step_was_refused_in_a_transaction() {
    const BUSY_IN_TRANSACTION: &str = "ERROR RETRY busy\r\nREADY T 3.1\r\n";
    let mut member = Exchanges::start(&[
        ("t1 BEGIN", &[BEGUN]),
        ("a READ k", &[READ_IN_TRANSACTION]),
        ("- SET tz u", &[BUSY_IN_TRANSACTION]),
        (BARRIER, &[BEGUN]),
        // The member would hide a second refusal.
        ("- SET tz u", &[BEGUN, BUSY_IN_TRANSACTION]),
        (BARRIER, &[BEGUN]),
    ])
    .await;
    let setup = open(Begin::ReadWrite, "t1");
    member
        .expect_success("a READ k", Some(setup), READ_IN_TRANSACTION)
        .await;
    member
        .expect_not_sent("b WRITE k v", with_zone("u"), None, Rejection::Busy)
        .await;
    let answer = member.run("b WRITE k v", Some(with_zone("u")), None).await;
    let given_up = matches!(answer, Err(UpstreamError::InvalidAnswer(_)));
    expect_that!(given_up, eq(true), "got {answer:?}");
    expect_that!(member.connection.is_reusable(), eq(false));
    let sent = ["t1 BEGIN", "a READ k", "- SET tz u", BARRIER];
    expect_that!(member.received().await, eq(&sent));
}

#[gtest]
#[tokio::test]
async fn a_repeated_digest_is_not_delivered_for_a_write_whose_answer_is_lost() {
    let mut member = Exchanges::start(&[
        ("a WRITE k v", &[COMMITTED]),
        ("b WRITE k w", &[COMMITTED]),
        ("- BEGIN READ", &[BEGUN]),
        ("- ROLLBACK", &[COMPLETED]),
    ])
    .await;
    let plain = Some(Setup::default());
    member
        .expect_success("a WRITE k v", plain.clone(), COMMITTED)
        .await;
    member.expect_unknown("b WRITE k w", plain).await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_second_error_does_not_end_a_transaction_that_goes_on() {
    let mut member = Exchanges::start(&[
        ("a READ k", &[LOST_LEAD]),
        ("t1 BEGIN", &[BEGUN]),
        ("b READ k", &[LOST_LEAD]),
    ])
    .await;
    let failed = member.run("a READ k", Some(Setup::default()), None).await;
    expect_that!(verdict(&failed), ok(eq(&Verdict::Failed)));
    expect_that!(member.connection.is_reusable(), eq(false));
    let setup = open(Begin::ReadWrite, "t1");
    member.expect_unknown("b READ k", Some(setup)).await;
    member.expect_script_followed().await;
}

#[gtest]
#[tokio::test]
async fn a_second_refusal_is_no_promise_that_a_write_was_not_run() {
    let mut member = Exchanges::start(&[("a WRITE k v", &[BUSY]), ("b WRITE k w", &[BUSY])]).await;
    let plain = Some(Setup::default());
    let refused = member.run("a WRITE k v", plain.clone(), None).await;
    let busy = Verdict::Rejection(Rejection::Busy);
    expect_that!(verdict(&refused), ok(eq(&busy)));
    expect_that!(member.connection.is_reusable(), eq(false));
    member.expect_unknown("b WRITE k w", plain).await;
    member.expect_script_followed().await;
}
