//! Whole systems of processes for tests.

use larkfall::trial::cluster::{Cluster, Shape};
use tokio::task::LocalSet;

use super::processes::Processes;

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
        let mut cluster = Cluster::start(shape, &processes())
            .await
            .expect("the system starts");
        test(&mut cluster).await;
    });
}
