//! Framing of HTTP: each response answers the request that it belongs to, also if a server repeats
//! a response on a connection that is kept, and no request is read out of another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::table::Revision;
use larkfall::http::{Call, Client, HttpError};
use larkfall::platform::store::{Change, Rows, Store, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::world::World;

/// Longer than any answer on loopback takes.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which what was written to a socket surely arrives.
const TRANSIT: Duration = Duration::from_millis(30);

/// When a server sends a response for the second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    Never,
    /// Together with the response itself.
    AtOnce,
    /// While the connection is idle.
    WhileIdle,
    /// After the next request on the connection arrived, before that one's own response.
    AfterNextRequest,
}

/// Returns the head and body of the response to a request line.
type Respond = Arc<dyn Fn(&str) -> String + Send + Sync>;

/// A server that repeats its responses. It reads and writes HTTP by itself, so that it doesn't
/// share a fault with the code under test.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// Connections that the client has closed.
    closed: Arc<AtomicUsize>,
}

impl Server {
    async fn start(repeat: Repeat, respond: Respond) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let connections = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        let (opened, ended) = (connections.clone(), closed.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                let (respond, ended) = (respond.clone(), ended.clone());
                tokio::spawn(async move {
                    let _ = serve(stream, repeat, respond).await;
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            connections,
            closed,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    async fn get(&self, client: &Client, path: &str) -> Result<String, HttpError> {
        let address = self.address.to_string();
        let body = client.get(&address, path, TIMEOUT).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn store(&self) -> Store {
        let client = Client::new(self.address.ip());
        Store::new(client, self.address.to_string().into())
    }
}

async fn serve(mut stream: TcpStream, repeat: Repeat, respond: Respond) -> std::io::Result<()> {
    let mut late: Option<String> = None;
    loop {
        let request = read_request(&mut stream).await?;
        if let Some(late) = late.take() {
            write(&mut stream, &late).await?;
            tokio::time::sleep(TRANSIT).await;
        }
        let response = respond(&request);
        match repeat {
            Repeat::Never => write(&mut stream, &response).await?,
            Repeat::AtOnce => write(&mut stream, &response.repeat(2)).await?,
            Repeat::WhileIdle => {
                write(&mut stream, &response).await?;
                tokio::time::sleep(TRANSIT).await;
                write(&mut stream, &response).await?;
            }
            Repeat::AfterNextRequest => {
                write(&mut stream, &response).await?;
                late = Some(response);
            }
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes()).await
}

/// Reads a request with its body and returns its first line.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok(head.lines().next().unwrap_or_default().to_owned())
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Responds with the request's path.
fn echo() -> Respond {
    Arc::new(|request| response("200 OK", request.split(' ').nth(1).unwrap_or_default()))
}

/// Responds once to each request, in order, and then always with the last response.
fn scripted(responses: &[String]) -> Respond {
    let responses = responses.to_vec();
    let next = AtomicUsize::new(0);
    Arc::new(move |_| {
        let index = next.fetch_add(1, Ordering::SeqCst);
        responses[index.min(responses.len() - 1)].clone()
    })
}

/// Guards against taking a response that a server repeated between two calls for that of the
/// second.
#[gtest]
#[tokio::test]
async fn a_response_repeated_before_the_next_call_answers_no_call() {
    for (repeat, pause) in [
        (Repeat::AtOnce, Duration::ZERO),
        (Repeat::AtOnce, TRANSIT),
        (Repeat::WhileIdle, 3 * TRANSIT),
    ] {
        let server = Server::start(repeat, echo()).await;
        let client = Client::new(server.address.ip());
        for i in 0..20 {
            let path = format!("/{i}");
            let answer = server.get(&client, &path).await;
            expect_that!(answer, ok(eq(&path)), "{repeat:?}, pause {pause:?}");
            tokio::time::sleep(pause).await;
        }
        expect_that!(server.connections(), eq(20));
    }
}

/// Guards against a response that is read as that of the next call after its own was given up.
#[gtest]
#[tokio::test]
async fn a_call_that_was_given_up_leaves_no_answer_to_the_next_one() {
    let slow = Duration::from_millis(100);
    let answer = move |path: String| async move {
        tokio::time::sleep(slow).await;
        path
    };
    let handler = move |uri: axum::http::Uri| answer(uri.path().to_owned());
    let router = axum::Router::new().fallback(handler);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move { axum::serve(listener, router).await });
    let client = Client::new(address.ip());
    let address = address.to_string();
    for i in 0..10 {
        let early = client.get(&address, "/given-up", slow.mul_f64(0.11 * f64::from(i)));
        let _ = early.await;
        let path = format!("/{i}");
        let body = client.get(&address, &path, TIMEOUT).await;
        expect_that!(body.as_deref(), ok(eq(path.as_bytes())));
    }
}

/// Guards against a call that is given up in the middle of a body and whose rest is read as the
/// next call's response.
#[gtest]
#[tokio::test]
async fn the_rest_of_a_body_that_was_given_up_is_no_answer() {
    let smuggled = response("200 OK", "/smuggled");
    let first = format!("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{smuggled}");
    let server = Server::start(
        Repeat::Never,
        scripted(&[first, response("200 OK", "/own")]),
    )
    .await;
    let client = Client::new(server.address.ip());
    let address = server.address.to_string();
    let early = client
        .send(Call::get(&address, "/long", 3 * TRANSIT))
        .await
        .map(|answer| answer.body);
    expect_that!(
        early,
        err(matches_pattern!(HttpError::Incomplete { received: gt(&0) }))
    );
    expect_that!(server.get(&client, "/own").await, ok(eq("/own")));
    expect_that!(server.connections(), eq(2));
}

/// Guards against bodies that are cut or extended without an error, and against their rest being
/// read as the next response.
#[gtest]
#[tokio::test]
async fn a_body_ends_where_its_framing_says() {
    let chunked = "transfer-encoding: chunked";
    let cases = [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabcd".to_owned(),
            "ab",
        ),
        (
            format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{chunked}\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
            ),
            "abcd",
        ),
        (
            format!(
                "HTTP/1.1 200 OK\r\n{chunked}\r\ncontent-length: 2\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
            ),
            "abcd",
        ),
        (
            "HTTP/1.1 200 OK\ncontent-length: 4\n\nabcd".to_owned(),
            "abcd",
        ),
        (
            format!("HTTP/1.1 200 OK\r\n{chunked}\r\n\r\n4\r\na\nb\r\r\n0\r\n\r\n"),
            "a\nb\r",
        ),
    ];
    for (first, body) in cases {
        let server = Server::start(
            Repeat::Never,
            scripted(&[first.clone(), response("200 OK", "/own")]),
        )
        .await;
        let client = Client::new(server.address.ip());
        expect_that!(server.get(&client, "/any").await, ok(eq(body)), "{first:?}");
        expect_that!(
            server.get(&client, "/own").await,
            ok(eq("/own")),
            "{first:?}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_body_that_breaks_off_is_an_error() {
    for head in ["content-length: 5", "transfer-encoding: chunked"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            read_request(&mut stream).await?;
            write(
                &mut stream,
                &format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n3\r\n"),
            )
            .await
        });
        let client = Client::new(address.ip());
        let body = client.get(&address.to_string(), "/any", TIMEOUT).await;
        expect_that!(
            body,
            err(matches_pattern!(HttpError::Failed(anything()))),
            "{head}"
        );
    }
}

/// Responds as a store does whose tables hold one row each, and where only the first transaction
/// meets its conditions.
fn tables() -> Respond {
    let transactions = AtomicUsize::new(0);
    Arc::new(move |request| {
        let row = |key: &str| {
            format!("{{\"tls_key\":\"{key}\",\"value\":\"e30=\",\"schema_version\":7}}")
        };
        if request.contains("rows-tx") {
            return match transactions.fetch_add(1, Ordering::SeqCst) {
                0 => response("200 OK", "{\"schema_version\":7,\"now_ms\":1}"),
                _ => response(
                    "412 Precondition Failed",
                    &format!("{{\"rows\":[{}]}}", row("k")),
                ),
            };
        }
        let table = request.split(['=', '&']).nth(1).unwrap_or_default();
        let (rows, more) = match request.contains("rows-feed") {
            true => (row(table), ""),
            false => (
                format!("{},{}", row(table), row("other")),
                "\"has_more\":false,",
            ),
        };
        let body = format!("{{\"rows\":[{rows}],{more}\"schema_version\":7,\"now_ms\":1}}");
        response("200 OK", &body)
    })
}

fn keys(rows: Result<Rows, StoreError>) -> Result<Vec<String>, StoreError> {
    let rows = rows?.rows;
    Ok(rows.iter().map(|row| row.key.to_string()).collect())
}

async fn transact(store: &Store) -> Result<Revision, StoreError> {
    let change = Change {
        key: "k".into(),
        expect: Some(Revision::NONE),
        value: Some(b"{}".to_vec()),
    };
    store.transact("larkfall", &[change]).await
}

async fn poll(store: &Store, table: &str) -> Result<Vec<String>, StoreError> {
    keys(
        store
            .read_changes(table, Revision::NONE, Duration::ZERO)
            .await,
    )
}

/// Guards against a connection for each call, where a table's polls can share one, and against
/// connections that stay open after the only call that they were opened for.
#[gtest]
#[tokio::test]
async fn polls_of_a_table_share_a_connection_and_other_calls_close_theirs() {
    let server = Server::start(Repeat::Never, tables()).await;
    let store = server.store();
    for _ in 0..5 {
        for table in ["op", "servers"] {
            expect_that!(poll(&store, table).await, ok(anything()));
        }
    }
    expect_that!(server.connections(), eq(2));
    for _ in 0..5 {
        let _ = transact(&store).await;
        expect_that!(store.read_all("op").await, ok(anything()));
    }
    expect_that!(server.connections(), eq(12));
    tokio::time::sleep(TRANSIT).await;
    expect_that!(server.closed.load(Ordering::SeqCst), eq(10));
}

const LATE: [Repeat; 4] = [
    Repeat::Never,
    Repeat::AtOnce,
    Repeat::WhileIdle,
    Repeat::AfterNextRequest,
];

/// Guards against a record, such as that of a duty, which counts as written because the response
/// to an earlier transaction arrived once more.
#[gtest]
#[tokio::test]
async fn a_transaction_is_not_committed_by_the_response_to_an_earlier_one() {
    for repeat in LATE {
        let server = Server::start(repeat, tables()).await;
        let store = server.store();
        expect_that!(transact(&store).await, ok(anything()));
        expect_that!(
            transact(&store).await,
            err(matches_pattern!(StoreError::ConditionFailed(anything()))),
            "{repeat:?}"
        );
    }
}

/// Guards against a table that loses its rows because the response to another call was taken for
/// the whole table.
#[gtest]
#[tokio::test]
async fn a_full_read_is_not_answered_by_the_response_to_an_earlier_call() {
    for repeat in LATE {
        let server = Server::start(repeat, tables()).await;
        let store = server.store();
        let _ = transact(&store).await;
        let read = keys(store.read_all("servers").await);
        expect_that!(
            read,
            ok(elements_are![eq("servers"), eq("other")]),
            "{repeat:?}"
        );
        let _ = poll(&store, "servers").await;
        let read = keys(store.read_all("servers").await);
        expect_that!(
            read,
            ok(elements_are![eq("servers"), eq("other")]),
            "{repeat:?}"
        );
        let read = keys(store.read_all("op").await);
        expect_that!(read, ok(elements_are![eq("op"), eq("other")]), "{repeat:?}");
    }
}

/// Guards against rows that are applied to another table than the one that they belong to.
#[gtest]
#[tokio::test]
async fn a_poll_is_not_answered_by_the_response_to_another_tables_poll() {
    for repeat in LATE {
        let server = Server::start(repeat, tables()).await;
        let store = server.store();
        for table in ["op", "servers", "larkfall", "servers", "op"] {
            let polled = poll(&store, table).await;
            expect_that!(polled, ok(elements_are![eq(table)]), "{repeat:?}");
        }
    }
}

/// Sends bytes in one write and returns everything that arrives until a pause.
async fn converse(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    write(&mut stream, bytes).await.expect("an open connection");
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(read @ 1..)) =
        tokio::time::timeout(10 * TRANSIT, stream.read(&mut buffer)).await
    {
        received.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

fn statuses(received: &str) -> Vec<&str> {
    let heads = received.split("HTTP/1.1 ").skip(1);
    heads.filter_map(|head| head.get(..3)).collect()
}

/// Guards against requests to a box that are answered out of order, or that are read out of the
/// body of another request.
#[gtest]
#[tokio::test]
async fn a_boxs_servers_answer_each_request_once_and_in_order() {
    let world = World::start(1).await;
    let settings = &world.boxes[0].settings;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let pipelined = get("/ready") + &get("/absent") + &get("/revision");
    let received = converse(settings.control, &pipelined).await;
    expect_that!(
        statuses(&received),
        elements_are![eq(&"200"), eq(&"404"), eq(&"200")]
    );
    expect_that!(
        received.find("ready\n"),
        some(lt(received.rfind("200 OK").unwrap_or(0)))
    );
    let received = converse(settings.ready, &get("/v1/readyz").repeat(2)).await;
    expect_that!(statuses(&received), elements_are![eq(&"200"), eq(&"200")]);

    // A request within a body is part of the body.
    let inner = get("/absent");
    let outer = format!(
        "POST /peer/reach HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let received = converse(settings.control, &(outer + &get("/ready"))).await;
    expect_that!(statuses(&received), elements_are![eq(&"400"), eq(&"200")]);

    // With both framings, nothing is read after the request.
    let both = format!(
        "POST /peer/reach HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        inner.len() + 5
    );
    let received = converse(settings.control, &(both + &inner + &get("/ready"))).await;
    expect_that!(statuses(&received), elements_are![eq(&"400")]);

    let bare = converse(settings.control, "GET /ready HTTP/1.1\nhost: x\n\n").await;
    expect_that!(statuses(&bare), elements_are![eq(&"200")]);
    for invalid in [
        "GET /ready HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "GET /ready HTTP/1.1\r\nhost : x\r\n\r\n",
        "GET /ready HTTP/1.1\r\nhost: x\r\na: b\r c\r\n\r\n",
        "GET /ready\0 HTTP/1.1\r\nhost: x\r\n\r\n",
    ] {
        let received = converse(settings.control, invalid).await;
        expect_that!(
            statuses(&received),
            elements_are![eq(&"400")],
            "{invalid:?}"
        );
    }
}
