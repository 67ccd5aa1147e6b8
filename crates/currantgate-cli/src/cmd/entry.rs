//! `currantgate entry`: takes packets from the fabric.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate::{Entry, EntrySockets};
use currantgate_config::{EntrySettings, Site};

use super::stop_signal;
use crate::error::CommandError;

/// Returns the `entry` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("entry")
        .about("Takes packets from the fabric and hands them to upstreams")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The entry's settings file"),
        )
}

/// Runs the `entry` subcommand until SIGTERM or SIGINT.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("config")
        .expect("clap requires the settings file");
    let settings = EntrySettings::load(file)?;
    let site = Site::load(&settings.site)?;
    let sockets = EntrySockets::bind(&settings.listen)?;
    actix_rt::System::new().block_on(async {
        let entry = Entry::start(&settings, &site, sockets)?;
        stop_signal::wait().await?;
        entry.stop().await;
        Ok(())
    })
}
