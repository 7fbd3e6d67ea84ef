//! `larkfall run`: runs a box configured by flags and environment variables.

use super::{Exit, ignore_hangup, print_findings, stop_signal};
use crate::configs::run::{Run, Source};
use crate::decisions::group::Settings;
use crate::events;
use crate::node;
use crate::standin::ports;

pub async fn run(source: Source<'_>) -> anyhow::Result<Exit> {
    let settings = match Run::from_source(source) {
        Ok(settings) => settings,
        Err(findings) => {
            print_findings(&findings);
            return Ok(Exit::BadInput);
        }
    };
    let log = events::logger(settings.log);
    let ports = ports::build(&settings);
    ignore_hangup(&log)?;
    node::run::run(settings, Settings::default(), ports, log, stop_signal()?).await?;
    Ok(Exit::Done)
}
