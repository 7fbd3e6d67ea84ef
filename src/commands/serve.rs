//! `larkfall serve`: a whole box on the users' platform.

use anyhow::Context as _;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::{Exit, print_findings, stopped};
use crate::configs::run::Run;
use crate::declarations::finding::Finding;
use crate::events;
use crate::node;
use crate::platform::{file, ports, ready};

/// Runs a box with the settings file at `path`.
pub async fn run(path: Option<String>, metrics_port: Option<u16>) -> anyhow::Result<Exit> {
    let read = path.ok_or_else(no_path).and_then(|path| read(&path));
    let file = match read {
        Ok(file) => file,
        Err(findings) => {
            print_findings(&findings);
            return Ok(Exit::BadInput);
        }
    };
    let run = Run {
        metrics_port,
        ..file.run()
    };
    let log = events::logger(run.log);
    let at = file.listen_addrs.ready;
    let listener = TcpListener::bind(at).await;
    let listener = listener.with_context(|| format!("can't listen on {at}"))?;
    let (told, asked) = watch::channel(false);
    tokio::task::spawn_local(async move {
        if let Err(error) = ready::serve(listener, asked).await {
            eprintln!("readiness is not answered any more: {error}");
        }
    });
    let mut ports = ports::platform(&file, &run, &log);
    ports.ready = Some(told);
    let decisions = file.decisions();
    node::run::run(run, decisions, ports, log.clone(), stopped(&log)?).await?;
    Ok(Exit::Done)
}

fn no_path() -> Vec<Finding> {
    vec![finding(file::VARIABLE, "names no settings file")]
}

fn read(path: &str) -> Result<file::File, Vec<Finding>> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| vec![finding(path, &error.to_string())])?;
    file::File::parse(path, &text)
}

fn finding(place: &str, message: &str) -> Finding {
    Finding {
        file: place.into(),
        line: None,
        field: "settings".to_owned(),
        message: message.to_owned(),
    }
}
