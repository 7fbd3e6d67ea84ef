//! The pool of connections to members.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use googletest::prelude::*;
use larkfall::borders::clock::System;
use larkfall::borders::upstream::{
    Answer, ConnectError, Dialer, Keyed, Task, Upstream, UpstreamError,
};
use larkfall::decisions::position::Position;
use larkfall::declarations::resource::{Address, Member};
use larkfall::node::pool::Pool;

/// Records the member to which each connection is opened.
#[derive(Default)]
struct Recorder {
    opened: RefCell<Vec<Arc<str>>>,
}

struct Idle;

#[async_trait(?Send)]
impl Dialer for Recorder {
    async fn connect(
        &self,
        member: &Member,
        _: Option<&str>,
    ) -> std::result::Result<Box<dyn Upstream>, ConnectError> {
        self.opened.borrow_mut().push(member.name.clone());
        Ok(Box::new(Idle))
    }
}

#[async_trait(?Send)]
impl Upstream for Idle {
    async fn run(&mut self, _: &Task<'_>) -> std::result::Result<Answer, UpstreamError> {
        Err(UpstreamError::TimedOut)
    }

    async fn run_keyed(
        &mut self,
        _: &Task<'_>,
        _: &str,
    ) -> std::result::Result<Keyed, UpstreamError> {
        Err(UpstreamError::TimedOut)
    }

    async fn roll_back(&mut self) -> std::result::Result<(), UpstreamError> {
        Ok(())
    }

    fn position(&self) -> Option<Position> {
        None
    }

    fn is_reusable(&mut self) -> bool {
        true
    }
}

/// Returns a member at the address that all members of these tests share.
fn member(group: &str, name: &str, born: Option<u64>) -> Member {
    let address: Arc<str> = "127.0.0.1:1".into();
    Member {
        partner: "p".into(),
        group: group.into(),
        name: name.into(),
        address: Address {
            sql: address.clone(),
            control: address,
        },
        domain: "d".into(),
        leaving: false,
        born,
    }
}

fn pool() -> (Pool, Rc<Recorder>) {
    let recorder = Rc::new(Recorder::default());
    let pool = Pool::new(recorder.clone(), Rc::new(System::default()));
    (pool, recorder)
}

async fn open_and_release(pool: &Pool, member: &Member) {
    let connection = pool.acquire(member, None).await.unwrap();
    pool.release(connection);
}

/// Guards against statements and commands that reach another group's member at the address of one
/// that is gone, over a connection opened to that other member.
#[gtest]
#[tokio::test]
async fn a_connection_serves_only_the_member_to_which_it_was_opened() {
    let (pool, recorder) = pool();
    let gone = member("g", "m1", None);
    for other in [
        member("other", "k1", None),
        member("other", "m1", None),
        member("g", "k1", None),
        member("g", "m1", Some(7)),
    ] {
        open_and_release(&pool, &other).await;
        recorder.opened.borrow_mut().clear();
        let connection = pool.acquire(&gone, None).await.unwrap();
        drop(connection);
        let command = pool.acquire_any(&gone).await.unwrap();
        drop(command);
        let expected: Vec<Arc<str>> = vec!["m1".into(), "m1".into()];
        expect_that!(*recorder.opened.borrow(), eq(&expected), "after {other:?}");
        recorder.opened.borrow_mut().clear();
        open_and_release(&pool, &other).await;
        expect_that!(*recorder.opened.borrow(), is_empty(), "again {other:?}");
    }
}

/// Guards against a share that another member at the same address replaces, and against its connections
/// being closed when that member leaves.
#[gtest]
#[tokio::test]
async fn members_at_one_address_have_shares_of_their_own() {
    let (pool, _) = pool();
    let (gone, new) = (member("g", "m1", None), member("other", "k1", None));
    for member in [&gone, &new, &new] {
        let connections = [
            pool.acquire(member, None).await.unwrap(),
            pool.acquire(member, None).await.unwrap(),
        ];
        connections.into_iter().for_each(|c| pool.release(c));
    }
    expect_that!(pool.idle_count(), eq(4));
    let both = HashMap::from([(gone.identity(), 0), (new.identity(), 2)]);
    pool.trim(&both);
    expect_that!(pool.idle_count(), eq(4));
    let left = HashMap::from([(new.identity(), 2)]);
    pool.trim(&left);
    expect_that!(pool.idle_count(), eq(2));
}
