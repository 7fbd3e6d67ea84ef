//! A member that answers each exchange with given bytes: what becomes of answers that no member of
//! the stand-in sends.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::upstream::{Answer, Dialer, Status, Task, UpstreamError};
use larkfall::declarations::resource::{Address, Member};
use larkfall::postgres::connection::Connector;
use larkfall::postgres::steps::{Close, Expect, Statement, Step, Steps};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Limit after which a connection or an answer that doesn't come fails the test.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Closes the statement that is never prepared, as the mark of an exchange does.
const MARK: &[u8] = b"Slf_\0";

type Outcome = std::result::Result<Answer, UpstreamError>;

/// One exchange, and what the member sends for it.
struct Exchange {
    steps: Steps,
    /// Sent in front of the confirmations of the mark.
    early: Vec<u8>,
    /// Sent after them.
    answer: Vec<u8>,
}

/// What happened in a play.
struct Play {
    outcomes: Vec<Outcome>,
    /// For each exchange, the kinds of the messages that the member got, without the mark.
    received: Vec<String>,
}

impl Play {
    fn last(&self) -> &Outcome {
        self.outcomes.last().expect("there is an exchange")
    }
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

fn ready(status: u8) -> Vec<u8> {
    message(b'Z', &[status])
}

fn error(severity: &str, code: &str) -> Vec<u8> {
    let fields = format!("S{severity}\0V{severity}\0C{code}\0Mrefused\0\0");
    message(b'E', fields.as_bytes())
}

/// Describes one column.
fn columns() -> Vec<u8> {
    message(b'T', &[&[0, 1, b'a', 0][..], &[0; 18]].concat())
}

/// A row with one digit.
fn row(digit: u8) -> Vec<u8> {
    message(b'D', &[0, 1, 0, 0, 0, 1, digit])
}

/// A simple query that the member answers with the messages.
fn query(answer: &[Vec<u8>]) -> Exchange {
    let bytes = message(b'Q', b"SELECT\0").into();
    let expect = Expect::Whole;
    Exchange {
        steps: Steps {
            steps: vec![Step::Send { bytes, expect }],
            close: Close::Query,
        },
        early: Vec::new(),
        answer: answer.concat(),
    }
}

/// Runs the exchanges on one connection, up to the first that fails.
fn play(exchanges: Vec<Exchange>) -> Play {
    play_repeating(exchanges, usize::MAX)
}

/// Runs the exchanges against a member that sends the whole answer of `late` exchanges ago, with
/// its confirmations, in front of each answer.
fn play_repeating(exchanges: Vec<Exchange>, late: usize) -> Play {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("has an address").to_string();
        let (tasks, script): (Vec<_>, Vec<_>) = exchanges
            .into_iter()
            .map(|exchange| (exchange.steps, (exchange.early, exchange.answer)))
            .unzip();
        let member = tokio::task::spawn_local(serve(listener, script, late));
        let run = run(address, tasks);
        let outcomes = tokio::time::timeout(TIMEOUT, run).await;
        Play {
            outcomes: outcomes.expect("every exchange ends"),
            received: member.await.expect("the member ends"),
        }
    })
}

async fn run(address: String, tasks: Vec<Steps>) -> Vec<Outcome> {
    let member = Member {
        partner: "huerto".into(),
        group: "market".into(),
        name: "a".into(),
        address: Address {
            sql: address.as_str().into(),
            control: address.as_str().into(),
        },
        domain: "d".into(),
        leaving: false,
        born: None,
    };
    let connector = Connector {
        source: "127.0.0.1".parse().expect("is an address"),
        timeout: TIMEOUT,
    };
    let connected = connector.connect(&member, None).await;
    let mut upstream = connected.expect("connects");
    let mut outcomes = Vec::new();
    for steps in tasks {
        let task = Task {
            payload: &steps.to_payload(),
            setup: None,
            floor: None,
        };
        outcomes.push(upstream.run(&task).await);
        if outcomes.last().is_some_and(Outcome::is_err) {
            break;
        }
    }
    outcomes
}

/// Answers each exchange of one connection; returns the kinds of the messages received.
async fn serve(listener: TcpListener, script: Vec<(Vec<u8>, Vec<u8>)>, late: usize) -> Vec<String> {
    let (mut stream, _) = listener.accept().await.expect("accepts");
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.expect("reads");
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut startup).await.expect("reads");
    let welcome = [message(b'R', &[0; 4]), ready(b'I')].concat();
    stream.write_all(&welcome).await.expect("writes");
    let (mut received, mut sent) = (Vec::new(), Vec::new());
    for (early, answer) in script {
        let Some((marks, kinds)) = read_exchange(&mut stream).await else {
            break;
        };
        received.push(kinds);
        let confirmations = message(b'3', b"").repeat(marks);
        let bytes = [early, confirmations, answer].concat();
        let repeated: Option<&Vec<u8>> = sent.len().checked_sub(late).map(|i| &sent[i]);
        let written = [repeated.cloned().unwrap_or_default(), bytes.clone()].concat();
        sent.push(bytes);
        if stream.write_all(&written).await.is_err() {
            break;
        }
    }
    received
}

/// Returns the length of the mark and the kinds of the other messages, or none once the connection
/// is closed.
async fn read_exchange(stream: &mut TcpStream) -> Option<(usize, String)> {
    let (mut marks, mut kinds) = (0, String::new());
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).await.ok()?;
        let [kind, length @ ..] = head;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut body).await.ok()?;
        if kind == b'C' && body == MARK {
            marks += 1;
            continue;
        }
        kinds.push(char::from(kind));
        if b"QSH".contains(&kind) {
            return Some((marks, kinds));
        }
    }
}

/// Guards against a server's farewell, such as that of an idle timeout, that counts as an invalid
/// answer since it comes before the exchange is read.
#[gtest]
fn a_fatal_error_in_front_of_the_answer_is_a_lost_connection() {
    for severity in ["FATAL", "PANIC"] {
        let farewell = Exchange {
            early: error(severity, "57P01"),
            ..query(&[])
        };
        let begin = query(&[complete("BEGIN"), ready(b'T')]);
        let play = play(vec![begin, farewell]);
        expect_that!(play.received, elements_are![eq("Q"), eq("Q")]);
        let lost = matches!(play.last(), Err(UpstreamError::Lost(_)));
        expect_that!(lost, eq(true), "{severity}: {:?}", play.last());
    }
    let refused = Exchange {
        early: error("ERROR", "22012"),
        ..query(&[])
    };
    let play = play(vec![refused]);
    let invalid = matches!(play.last(), Err(UpstreamError::InvalidAnswer(_)));
    expect_that!(invalid, eq(true), "{:?}", play.last());
}

/// Guards against a panic of the decoder at a message that ends within its fields.
#[gtest]
fn a_short_message_of_a_member_is_no_answer() {
    for kind in 0..=u8::MAX {
        // 5 makes an authentication request one with a salt.
        for (length, last) in (0..12).flat_map(|length| [(length, 0), (length, 5)]) {
            let body = [0, 0, 0, last].repeat(3);
            let short = message(kind, &body[..length]);
            let play = play(vec![query(&[short])]);
            let what = format!("{:?} and {:?}", char::from(kind), &body[..length]);
            expect_that!(play.last().is_err(), eq(true), "{what}");
            // Others may be whole, and then the end of the connection is what is found.
            if b"RKGHWv".contains(&kind) {
                let invalid = matches!(play.last(), Err(UpstreamError::InvalidAnswer(_)));
                expect_that!(invalid, eq(true), "{what}: {:?}", play.last());
            }
        }
    }
}

/// Guards against the state of another answer behind an error, after which no transaction is
/// usable.
#[gtest]
fn an_error_leaves_no_transaction_usable() {
    let begin = || query(&[complete("BEGIN"), ready(b'T')]);
    let fail = |status| query(&[error("ERROR", "22012"), ready(status)]);
    let refused = play(vec![begin(), fail(b'T')]);
    let invalid = matches!(refused.last(), Err(UpstreamError::InvalidAnswer(_)));
    expect_that!(invalid, eq(true), "{:?}", refused.last());
    for end in [complete("BEGIN"), complete("COMMIT")] {
        let play = play(vec![query(&[end, error("ERROR", "22012"), ready(b'T')])]);
        let invalid = matches!(play.last(), Err(UpstreamError::InvalidAnswer(_)));
        expect_that!(invalid, eq(true), "{:?}", play.last());
    }
    // ROLLBACK TO makes it usable again, in an answer of its own.
    let rollback = query(&[complete("ROLLBACK"), ready(b'T')]);
    let play = play(vec![begin(), fail(b'E'), rollback]);
    let statuses = play.outcomes.iter().map(|outcome| match outcome {
        Ok(answer) => answer.status,
        Err(error) => panic!("{error}"),
    });
    let expected = [Status::Transaction, Status::Failed, Status::Transaction].map(Some);
    expect_that!(statuses.collect::<Vec<_>>(), eq(&expected));
}

/// Guards against a refusal of a statement whose rules add queries: each describes its rows, and
/// only the last completes.
#[gtest]
fn a_statement_may_describe_its_rows_more_than_once() {
    let rows = [columns(), row(b'1'), columns(), row(b'2')];
    let answer = [rows.concat(), complete("INSERT 0 1")].concat();
    let play = play(vec![query(&[answer.clone(), ready(b'I')])]);
    match play.last() {
        Ok(found) => expect_that!(found.messages, eq(&answer)),
        Err(error) => add_failure!("{error}"),
    }
}

/// Guards against a statement that is prepared twice, which a server refuses.
#[gtest]
fn an_exchange_prepares_a_statement_once() {
    let statement = || Statement {
        name: "lf_1".into(),
        sql: "INSERT".into(),
        types: Vec::new(),
    };
    let parse = || Step::Parse(statement());
    let ensure = || Step::Ensure(statement());
    let bind = || Step::Send {
        bytes: message(b'B', b"\0lf_1\0\0\0\0\0\0\0").into(),
        expect: Expect::Bind,
    };
    // The caller gets one confirmation of each of its own Parses.
    let cases = [
        (vec![parse(), ensure(), bind()], vec![b'1', b'2']),
        (vec![parse(), parse(), bind()], vec![b'1', b'1', b'2']),
        (vec![ensure(), bind(), ensure()], vec![b'2']),
        (vec![ensure(), parse(), bind()], vec![b'1', b'2']),
    ];
    for (steps, expected) in cases {
        let close = Close::Sync;
        let answer = [message(b'1', b""), message(b'2', b""), ready(b'I')].concat();
        let steps = Steps { steps, close };
        let early = Vec::new();
        let play = play(vec![Exchange {
            steps,
            early,
            answer,
        }]);
        expect_that!(play.received, elements_are![eq("PBS")]);
        let expected: Vec<u8> = expected.iter().flat_map(|k| message(*k, b"")).collect();
        match play.last() {
            Ok(found) => expect_that!(found.messages, eq(&expected)),
            Err(error) => add_failure!("{error}"),
        }
    }
}

/// Guards against an answer that comes again so many exchanges later that their marks are alike.
#[gtest]
fn an_answer_to_any_earlier_exchange_is_not_the_answer() {
    let answer = |digit| [columns(), row(digit), complete("SELECT 1")].concat();
    for late in 1..=32 {
        let earlier = (0..late).map(|_| query(&[answer(b'1'), ready(b'I')]));
        let own = query(&[answer(b'2'), ready(b'I')]);
        let play = play_repeating(earlier.chain([own]).collect(), late);
        expect_that!(play.outcomes.len(), eq(late + 1));
        if let Ok(found) = play.last() {
            expect_that!(found.messages, eq(&answer(b'2')), "{late} exchanges late");
        }
    }
}
