//! Whole systems of processes for tests.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use larkfall::trial::journal::Verdict;
use larkfall::trial::workload::{Mix, Workload, create_tables};
use tokio::task::LocalSet;

use super::processes::Processes;

const GUARD: Duration = Duration::from_secs(180);
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_larkfall");

pub fn processes() -> Processes {
    Processes {
        program: PROGRAM.into(),
    }
}

/// Runs a test against a started system.
pub fn with_cluster<F: AsyncFnOnce(&mut Cluster)>(shape: Shape, test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let whole = async {
            let mut cluster = Cluster::start(shape, &processes())
                .await
                .expect("the system starts");
            test(&mut cluster).await;
        };
        // A guard against hanging for good; no test comes near it.
        let ended = tokio::time::timeout(GUARD, whole).await;
        ended.expect("the test ends");
    });
}

/// Starts sessions on every box.
pub async fn start_load(cluster: &Cluster, group: &str) -> Workload {
    let mut client = cluster.connect(0, group, None).await.expect("connects");
    create_tables(&mut client).await.expect("creates");
    let boxes = (0..cluster.boxes.len()).map(|i| cluster.sql_address(i));
    let (partner, group) = cluster.split_group_name(group);
    Workload::start(boxes.collect(), partner, group, &Mix::default())
}

/// Waits until `count` more writes were acknowledged.
pub async fn acknowledged(workload: &Workload, count: usize) {
    let goal = workload.journal.borrow().acknowledged_at.len() + count;
    wait_until("writes are acknowledged", async || {
        workload.journal.borrow().acknowledged_at.len() >= goal
    })
    .await
    .expect("writes go on");
}

/// Ends the sessions; nothing was lost, doubled, stale or mixed up.
pub async fn is_clean(workload: Workload) {
    let (verdict, _) = workload.finish().await.expect("the rows can be read");
    expect_that!(verdict, eq(Verdict::default()));
}
