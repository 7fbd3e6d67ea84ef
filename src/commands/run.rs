//! `larkfall run`: a whole box.

use super::{Exit, hold_settings, print_findings, stopped};
use crate::configs::run::{Run, Source};
use crate::decisions::group::Settings;
use crate::events;
use crate::node;
use crate::standin::ports;

pub async fn run(source: Source<'_>) -> anyhow::Result<Exit> {
    let settings = match Run::read(source) {
        Ok(settings) => settings,
        Err(findings) => {
            print_findings(&findings);
            return Ok(Exit::BadInput);
        }
    };
    let log = events::logger(settings.log);
    let ports = ports::build(&settings);
    hold_settings(&log)?;
    node::run::run(settings, Settings::default(), ports, log, stopped()?).await?;
    Ok(Exit::Done)
}
