//! Starts a system of processes for a test and puts load on it.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use larkfall::trial::journal::Verdict;
use larkfall::trial::workload::{Mix, Workload, create_tables};
use tokio::task::LocalSet;

use super::processes::Processes;

/// Limit after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(180);
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
        let run = async {
            let mut cluster = Cluster::start(shape, &processes())
                .await
                .expect("the system starts");
            test(&mut cluster).await;
        };
        let finished = tokio::time::timeout(TEST_TIMEOUT, run).await;
        finished.expect("the test finishes in time");
    });
}

/// Starts a workload with sessions on every box.
pub async fn start_load(cluster: &Cluster, group: &str) -> Workload {
    let mut client = cluster.connect(0, group, None).await.expect("connects");
    create_tables(&mut client).await.expect("creates");
    let boxes = (0..cluster.boxes.len()).map(|i| cluster.sql_address(i));
    let (partner, group) = cluster.split_group_name(group);
    Workload::start(boxes.collect(), partner, group, &Mix::default())
}

/// Waits until `count` more writes have been acknowledged.
pub async fn wait_for_acks(workload: &Workload, count: usize) {
    let target = workload.journal.borrow().acknowledged_at.len() + count;
    wait_until("writes are acknowledged", async || {
        workload.journal.borrow().acknowledged_at.len() >= target
    })
    .await
    .expect("writes are acknowledged");
}

/// Ends the workload and expects no lost, repeated, stale or misdirected result.
pub async fn expect_clean(workload: Workload) {
    let (verdict, _) = workload.finish().await.expect("the rows can be read");
    expect_that!(verdict, eq(Verdict::default()));
}
