//! The `larkfall` program.

use std::process::ExitCode;

use larkfall::cli::flags::{Larkfall, LarkfallCmd, Member, Platform, Run, StandInCmd};
use larkfall::commands::operate::Remote;
use larkfall::commands::{Exit, check, demo, operate, run, serve, standin};
use larkfall::configs::run::Source;
use larkfall::platform::node_file;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let flags = match Larkfall::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(Exit::BadInput as u8);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    match LocalSet::new().block_on(&runtime, dispatch(flags)) {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(Exit::Failed as u8)
        }
    }
}

async fn dispatch(flags: Larkfall) -> anyhow::Result<Exit> {
    let variable = |name: &str| std::env::var(name).ok();
    match flags.subcommand {
        LarkfallCmd::Run(flags) => {
            let flag = |name: &str| run_flag(&flags, name);
            run::run(Source {
                flag: &flag,
                variable: &variable,
            })
            .await
        }
        LarkfallCmd::Serve(flags) => {
            serve::run(variable(node_file::PATH_VARIABLE), flags.metrics_port).await
        }
        LarkfallCmd::StandIn(kind) => match kind.subcommand {
            StandInCmd::Member(flags) => {
                let flag = |name: &str| member_flag(&flags, name);
                standin::member(Source {
                    flag: &flag,
                    variable: &variable,
                })
                .await
            }
            StandInCmd::Platform(flags) => {
                let flag = |name: &str| platform_flag(&flags, name);
                standin::platform(Source {
                    flag: &flag,
                    variable: &variable,
                })
                .await
            }
        },
        LarkfallCmd::Demo(flags) => demo::run(flags.json, flags.seconds),
        LarkfallCmd::Check(flags) => check::run(&flags.files),
        LarkfallCmd::Apply(flags) => {
            let remote = Remote::new(flags.api, flags.token)?;
            operate::apply(&remote, &flags.file, flags.dry_run, flags.wait).await
        }
        LarkfallCmd::Get(flags) => {
            operate::get(&Remote::new(flags.api, flags.token)?, &flags.key).await
        }
        LarkfallCmd::Watch(flags) => {
            let remote = Remote::new(flags.api, flags.token)?;
            operate::watch(&remote, flags.since.unwrap_or_default(), flags.rounds).await
        }
        LarkfallCmd::Delete(flags) => {
            let remote = Remote::new(flags.api, flags.token)?;
            operate::delete(&remote, &flags.key, flags.version).await
        }
        LarkfallCmd::Dump(flags) => operate::dump(&Remote::new(flags.api, None)?).await,
    }
}

fn run_flag(flags: &Run, name: &str) -> Option<String> {
    let flag = match name {
        "name" => &flags.name,
        "domain" => &flags.domain,
        "ip" => &flags.ip,
        "port" => &flags.port,
        "api-port" => &flags.api_port,
        "platform" => &flags.platform,
        "peer" => &flags.peer,
        "admin" => &flags.admin,
        "log" => &flags.log,
        "poll-ms" => &flags.poll_ms,
        "fanout" => &flags.fanout,
        "lease-idle-ms" => &flags.lease_idle_ms,
        "connect-wait-ms" => &flags.connect_wait_ms,
        "callers" => &flags.callers,
        "drain-ms" => &flags.drain_ms,
        _ => return None,
    };
    flag.clone()
}

fn member_flag(flags: &Member, name: &str) -> Option<String> {
    let flag = match name {
        "ip" => &flags.ip,
        "sql-port" => &flags.sql_port,
        "control-port" => &flags.control_port,
        "slots" => &flags.slots,
        "connections" => &flags.connections,
        "connect-ms" => &flags.connect_ms,
        "service-ms" => &flags.service_ms,
        "lag-ms" => &flags.lag_ms,
        "role" => &flags.role,
        _ => return None,
    };
    flag.clone()
}

fn platform_flag(flags: &Platform, name: &str) -> Option<String> {
    let flag = match name {
        "ip" => &flags.ip,
        "port" => &flags.port,
        "roster-lag-ms" => &flags.roster_lag_ms,
        _ => return None,
    };
    flag.clone()
}
