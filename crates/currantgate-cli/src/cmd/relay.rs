//! `currantgate relay`: runs a relay, which receives requests from callers.

use clap::{ArgMatches, Command};
use currantgate::{Relay, RelaySockets};
use currantgate_config::{RelaySettings, Site};

use super::{config_arg, stop_signal};
use crate::error::CommandError;

/// Returns the `relay` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("relay")
        .about("Receives requests from callers and forwards each to an upstream")
        .long_about(
            "Receives requests over HTTP/2 with prior knowledge, or plain TCP connections, and \
             forwards each to an upstream that has announced itself. On SIGTERM, the relay \
             waits for running requests to end; a second SIGTERM aborts them.",
        )
        .arg(config_arg::make_arg("The relay's settings file"))
}

/// Runs the `relay` subcommand until SIGTERM or SIGINT.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let settings = RelaySettings::load(config_arg::path(matches))?;
    let site = Site::load(&settings.site)?;
    serve(&settings, &site)
}

/// Runs a relay until a stop signal, then waits until its requests have ended.
pub(crate) fn serve(settings: &RelaySettings, site: &Site) -> Result<(), CommandError> {
    let sockets = RelaySockets::bind(settings, site)?;
    actix_rt::System::new().block_on(serve_until_stopped(settings, site, sockets))
}

/// Runs a relay on the current runtime until a stop signal, then waits until
/// its requests have ended; a second signal aborts them.
pub(crate) async fn serve_until_stopped(
    settings: &RelaySettings,
    site: &Site,
    sockets: RelaySockets,
) -> Result<(), CommandError> {
    let relay = Relay::start(settings, site, sockets)?;
    stop_signal::wait().await?;
    let second_signal = async {
        if let Err(e) = stop_signal::wait().await {
            log::warn!("can't wait for a second stop signal: {e}");
            std::future::pending::<()>().await;
        }
    };
    relay.stop(second_signal).await;
    Ok(())
}
