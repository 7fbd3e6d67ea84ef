//! Starts stand-ins and boxes on threads of this process, each with its own runtime.
//!
//! Killing a thread drops its runtime with all sockets, so callers see the same as with a killed
//! process.

use std::thread::JoinHandle;

use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;

use crate::commands::standin::{serve_member, serve_platform};
use crate::configs::run::Run;
use crate::decisions::group::Settings;
use crate::events;
use crate::node;
use crate::standin::ports;
use crate::standin::{member, platform};

/// Controls a started member, platform or box.
pub trait Handle {
    /// Ends the instance at once, as SIGKILL ends a process.
    fn kill(&mut self);
    /// Shuts the instance down gracefully and waits for its end.
    fn stop(&mut self);
    /// Returns the id of the process that runs the instance.
    fn process_id(&self) -> u32 {
        std::process::id()
    }
    /// Suspends or resumes the instance. Does nothing for threads, which can't be suspended.
    fn set_frozen(&mut self, _frozen: bool) {}
}

/// Starts instances. The tests start processes, the demo starts threads.
pub trait Host {
    fn start_member(&self, settings: &member::Settings) -> Box<dyn Handle>;
    fn start_platform(&self, settings: &platform::Settings) -> Box<dyn Handle>;
    fn start_box(&self, settings: &Run) -> Box<dyn Handle>;
}

/// Starts instances as threads of this process.
#[derive(Default)]
pub struct Threads {
    pub decisions: Settings,
}

struct Thread {
    kill: Option<oneshot::Sender<()>>,
    stop: Option<watch::Sender<bool>>,
    join_handle: Option<JoinHandle<()>>,
}

impl Thread {
    fn start<F>(
        name: String,
        run: impl FnOnce(watch::Receiver<bool>) -> F + Send + 'static,
    ) -> Box<dyn Handle>
    where
        F: Future<Output = anyhow::Result<()>> + 'static,
    {
        let (kill, killed) = oneshot::channel::<()>();
        let (stop, stopped) = watch::channel(false);
        let run_thread = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime can be built");
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let task = run(stopped);
                tokio::select! {
                    result = task => if let Err(error) = result { eprintln!("{error:#}") },
                    _ = killed => {}
                }
            });
        };
        let handle = std::thread::Builder::new().name(name).spawn(run_thread);
        let handle = handle.expect("a thread can be started");
        Box::new(Self {
            kill: Some(kill),
            stop: Some(stop),
            join_handle: Some(handle),
        })
    }

    fn join(&mut self) {
        if let Some(handle) = self.join_handle.take() {
            let _ = handle.join();
        }
    }
}

impl Handle for Thread {
    fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        self.join();
    }

    fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(true);
        }
        self.join();
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host for Threads {
    fn start_member(&self, settings: &member::Settings) -> Box<dyn Handle> {
        let settings = settings.clone();
        Thread::start("member".to_owned(), move |_| serve_member(settings))
    }

    fn start_platform(&self, settings: &platform::Settings) -> Box<dyn Handle> {
        let settings = settings.clone();
        Thread::start("platform".to_owned(), move |_| serve_platform(settings))
    }

    fn start_box(&self, settings: &Run) -> Box<dyn Handle> {
        let settings = settings.clone();
        let decisions = self.decisions;
        let name = format!("box-{}", settings.name);
        Thread::start(name, move |stop| {
            let log = events::logger(settings.log);
            let ports = ports::build(&settings);
            node::run::run(settings, decisions, ports, log, stop)
        })
    }
}
