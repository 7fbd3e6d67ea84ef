//! Starts members, platforms and boxes as processes, and controls them by signals.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use larkfall::configs::run::Run;
use larkfall::standin::{member, platform};
use larkfall::trial::host::{Handle, Host};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Starts instances as processes of a program.
pub struct Processes {
    pub program: PathBuf,
}

pub struct Process(Child);

impl Process {
    fn start(program: &Path, arguments: Vec<(&str, String)>, command: &[&str]) -> Box<dyn Handle> {
        let mut program = Command::new(program);
        program.args(command);
        for (flag, value) in arguments {
            program.arg(format!("--{flag}")).arg(value);
        }
        let child = program.stdout(Stdio::null()).spawn();
        Box::new(Self(child.expect("the program can be started")))
    }

    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.0.id() as i32), signal);
    }
}

impl Handle for Process {
    fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.0.wait();
    }

    fn stop(&mut self) {
        self.signal(Signal::SIGTERM);
        let _ = self.0.wait();
    }

    fn process_id(&self) -> u32 {
        self.0.id()
    }

    fn set_frozen(&mut self, frozen: bool) {
        self.signal(match frozen {
            true => Signal::SIGSTOP,
            false => Signal::SIGCONT,
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host for Processes {
    fn start_member(&self, settings: &member::Settings) -> Box<dyn Handle> {
        let role = match settings.primary {
            true => "primary",
            false => "replica",
        };
        let arguments = vec![
            ("ip", settings.ip.to_string()),
            ("sql-port", settings.sql_port.to_string()),
            ("control-port", settings.control_port.to_string()),
            ("slots", settings.slots.to_string()),
            ("connections", settings.connections.to_string()),
            ("connect-ms", settings.connect_ms.to_string()),
            ("service-ms", settings.service_ms.to_string()),
            ("lag-ms", settings.lag_ms.to_string()),
            ("role", role.to_owned()),
        ];
        Process::start(&self.program, arguments, &["stand-in", "member"])
    }

    fn start_platform(&self, settings: &platform::Settings) -> Box<dyn Handle> {
        let arguments = vec![
            ("ip", settings.ip.to_string()),
            ("port", settings.port.to_string()),
            ("roster-lag-ms", settings.roster_lag_ms.to_string()),
        ];
        Process::start(&self.program, arguments, &["stand-in", "platform"])
    }

    fn start_box(&self, settings: &Run) -> Box<dyn Handle> {
        let arguments = vec![
            ("name", settings.name.to_string()),
            ("domain", settings.domain.to_string()),
            ("ip", settings.ip.to_string()),
            ("port", settings.port.to_string()),
            ("api-port", settings.api_port.to_string()),
            ("platform", settings.platform.to_string()),
            ("peer", settings.peers.join(",")),
            (
                "admin",
                settings.admin_hash.clone().unwrap_or_default().to_string(),
            ),
            ("poll-ms", settings.poll_interval.as_millis().to_string()),
            ("log", "none".to_owned()),
        ];
        Process::start(&self.program, arguments, &["run"])
    }
}
