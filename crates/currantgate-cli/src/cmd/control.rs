//! `currantgate control`: stores or distributes the accepted site file.

use std::net::TcpListener;

use clap::{Arg, ArgAction, ArgMatches, Command};
use currantgate::{Control, ControlError, ControlStart, FanOut};
use currantgate_config::ControlSettings;

use super::{config_arg, stop_signal};
use crate::error::CommandError;

/// Returns the `control` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("control")
        .about("Replicates the accepted site file with the other control VMs, or fans it out")
        .arg(config_arg::make_arg("The control VM's settings file"))
        .arg(
            Arg::new("init")
                .long("init")
                .action(ArgAction::SetTrue)
                .conflicts_with("join")
                .help("First start as one of the initial voters of a new site"),
        )
        .arg(
            Arg::new("join")
                .long("join")
                .action(ArgAction::SetTrue)
                .help("First start as a new voter, which is then added with `replace`"),
        )
}

/// Runs the `control` subcommand until SIGTERM or SIGINT, or until the disk
/// fails.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let settings = ControlSettings::load(config_arg::path(matches))?;
    let start = match (matches.get_flag("init"), matches.get_flag("join")) {
        (true, _) => ControlStart::Init,
        (_, true) => ControlStart::Join,
        _ => ControlStart::Resume,
    };
    let listener = TcpListener::bind(settings.listen).map_err(|source| ControlError::Listen {
        address: settings.listen,
        source,
    })?;
    actix_rt::System::new().block_on(async {
        if !settings.fan_out_of.is_empty() {
            let _fan_out = FanOut::start(&settings, listener)?;
            stop_signal::wait().await?;
            return Ok(());
        }
        let control = Control::start(&settings, start, listener)?;
        tokio::select! {
            stopped = stop_signal::wait() => Ok(stopped?),
            () = control.wait_for_disk_failure() => Err(CommandError::DiskFailed),
        }
    })
}
