//! `currantgate run`: a small site in one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate_config::{Dispatch, RelayListen, RelaySettings, Site};

use super::relay;
use crate::error::CommandError;

/// Returns the `run` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("run")
        .about("Serves a small site from one process")
        .long_about(
            "Serves a small site from one process: a relay on each service's address, and \
             announcements from upstreams. It takes the site file as it is at the start. \
             There is no control role in it yet: a changed file needs a restart, and nothing \
             is kept on disk.",
        )
        .arg(
            Arg::new("site")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The site file"),
        )
        .arg(make_address(
            "announce",
            "Where upstreams announce themselves",
        ))
        .arg(make_address("metrics", "Where operators read metrics"))
}

fn make_address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// Runs the `run` subcommand until SIGTERM or SIGINT.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("site")
        .expect("clap requires the site file");
    let site = Site::load(file)?;
    let address = |name| matches.get_one::<SocketAddr>(name).copied();
    let listen = RelayListen::default();
    let settings = RelaySettings {
        domain: site.domains.first().cloned().unwrap_or_default(),
        site: file.clone(),
        control: None,
        data: None,
        listen: RelayListen {
            announce: address("announce").unwrap_or(listen.announce),
            metrics: address("metrics").unwrap_or(listen.metrics),
        },
        serves: Vec::new(),
        dispatch: Dispatch::default(),
    };
    relay::serve(&settings, &site)
}
