//! `larkfall stand-in`: runs small replacements for external systems, for tests and trials.

use anyhow::Context;
use tokio::net::TcpListener;

use super::{Exit, print_findings};
use crate::configs::run::Source;
use crate::configs::standin;
use crate::standin::member::{Member, Settings as MemberSettings};
use crate::standin::platform::{self, Platform, Settings as PlatformSettings};
use crate::standin::{control, session};

pub async fn member(source: Source<'_>) -> anyhow::Result<Exit> {
    match standin::member(source) {
        Ok(settings) => serve_member(settings).await.map(|()| Exit::Done),
        Err(findings) => {
            print_findings(&findings);
            Ok(Exit::BadInput)
        }
    }
}

/// Runs a member until one of its listeners fails.
pub async fn serve_member(settings: MemberSettings) -> anyhow::Result<()> {
    let sql = TcpListener::bind((settings.ip, settings.sql_port)).await;
    let sql = sql.context("can't listen on the SQL port")?;
    let control = TcpListener::bind((settings.ip, settings.control_port)).await;
    let control = control.context("can't listen on the control port")?;
    let member = Member::new(settings)?;
    tokio::task::spawn_local(control::replicate(member.clone()));
    tokio::task::spawn_local(control::apply_entries(member.clone()));
    tokio::try_join!(
        session::serve(member.clone(), sql),
        control::serve(member, control)
    )?;
    Ok(())
}

pub async fn platform(source: Source<'_>) -> anyhow::Result<Exit> {
    match standin::platform(source) {
        Ok(settings) => serve_platform(settings).await.map(|()| Exit::Done),
        Err(findings) => {
            print_findings(&findings);
            Ok(Exit::BadInput)
        }
    }
}

/// Runs a platform until its listener fails.
pub async fn serve_platform(settings: PlatformSettings) -> anyhow::Result<()> {
    let listener = TcpListener::bind((settings.ip, settings.port)).await;
    let listener = listener.context("can't listen")?;
    let platform = Platform::new(settings.ip, settings.roster_lag_ms);
    platform::serve(platform, listener).await?;
    Ok(())
}
