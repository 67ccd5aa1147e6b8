//! `currantgate entry`: runs an entry, which receives packets from the fabric.

use clap::{ArgMatches, Command};
use currantgate::{Entry, EntrySockets};
use currantgate_config::{EntrySettings, HashKey, Site};

use super::{config_arg, stop_signal};
use crate::error::CommandError;

/// Returns the `entry` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("entry")
        .about("Receives packets from the fabric and forwards them to upstreams")
        .arg(config_arg::make_arg("The entry's settings file"))
}

/// Runs the `entry` subcommand until SIGTERM or SIGINT.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let settings = EntrySettings::load(config_arg::path(matches))?;
    if settings.flow.hash_key == HashKey::default() {
        log::warn!("flow.hash_key is not set: callers can choose the bucket of a flow");
    }
    let site = Site::load(&settings.site)?;
    let sockets = EntrySockets::bind(&settings.listen)?;
    actix_rt::System::new().block_on(async {
        let entry = Entry::start(&settings, &site, sockets)?;
        stop_signal::wait().await?;
        entry.stop().await;
        Ok(())
    })
}
