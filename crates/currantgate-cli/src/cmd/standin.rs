//! `currantgate standin`: runs a stand-in for a fabric, an upstream or a caller.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use currantgate_standin::{
    Caller, CallerReport, CallerSettings, Fabric, FabricSettings, Settings, StandinError, Upstream,
    UpstreamSettings,
};

use super::{config_arg, stop_signal};
use crate::error::CommandError;

/// Help text of the `--config` option.
const CONFIG_HELP: &str = "The stand-in's settings file";

/// Interval at which a caller is polled for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the `standin` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("standin")
        .about("Runs a stand-in for a fabric, an upstream or a caller")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("fabric")
                .about("Sprays callers' packets over entries at random")
                .arg(config_arg::make_arg(CONFIG_HELP)),
        )
        .subcommand(
            Command::new("upstream")
                .about("Announces itself and responds to flows")
                .arg(config_arg::make_arg(CONFIG_HELP)),
        )
        .subcommand(
            Command::new("caller")
                .about("Opens flows and reports their outcomes")
                .arg(config_arg::make_arg(CONFIG_HELP))
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Prints the report as JSON"),
                ),
        )
}

/// Runs the `standin` subcommand until SIGTERM or SIGINT; a caller also stops
/// when all its flows have ended.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let system = actix_rt::System::new();
    match matches.subcommand() {
        Some(("fabric", sub)) => system.block_on(run_fabric(load(sub)?)),
        Some(("upstream", sub)) => system.block_on(run_upstream(load(sub)?)),
        Some(("caller", sub)) => system.block_on(run_caller(load(sub)?, sub.get_flag("json"))),
        _ => unreachable!("clap accepts no other subcommand"),
    }
}

fn load<T: Settings>(matches: &ArgMatches) -> Result<T, StandinError> {
    T::load(config_arg::path(matches))
}

async fn run_fabric(settings: FabricSettings) -> Result<(), CommandError> {
    let fabric = Fabric::start(settings).await?;
    log::info!(
        "fabric receives packets from callers on {} and from entries on {}",
        fabric.handle().caller_side(),
        fabric.handle().entry_side()
    );
    Ok(stop_signal::wait().await?)
}

async fn run_upstream(settings: UpstreamSettings) -> Result<(), CommandError> {
    let upstream = Upstream::start(settings).await?;
    log::info!("upstream {} serves {}", upstream.name(), upstream.service());
    stop_signal::wait().await?;
    upstream.leave().await;
    log::info!("upstream {} has left", upstream.name());
    Ok(())
}

async fn run_caller(settings: CallerSettings, json: bool) -> Result<(), CommandError> {
    let caller = Caller::start(settings).await?;
    tokio::select! {
        stopped = stop_signal::wait() => stopped?,
        () = wait_until_done(&caller) => {}
    }
    print_report(&caller.report(), json)
}

async fn wait_until_done(caller: &Caller) {
    while !caller.is_done() {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_report(report: &CallerReport, json: bool) -> Result<(), CommandError> {
    if json {
        let text = serde_json::to_string(report).map_err(std::io::Error::from)?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}
