//! `currantgate replace`: replaces a lost voter by a new one.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate_control::ReplaceRequest;

use super::operator;
use crate::error::CommandError;

/// Returns the `replace` subcommand.
pub(crate) fn make_subcommand() -> Command {
    operator::with_options(
        Command::new("replace")
            .about("Replaces a lost control VM by a new one that was started with --join")
            .arg(make_id_arg("lost", "The id of the lost control VM"))
            .arg(make_id_arg(
                "new",
                "The id of the new control VM, which must never have been used before",
            ))
            .arg(
                Arg::new("address")
                    .long("address")
                    .value_name("ADDR")
                    .required(true)
                    .value_parser(value_parser!(SocketAddr))
                    .help("The address of the new control VM"),
            ),
    )
}

fn make_id_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ID")
        .required(true)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the `replace` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let id = |name| *matches.get_one::<u64>(name).expect("clap requires the ids");
    let request = ReplaceRequest {
        lost: id("lost"),
        fresh: id("new"),
        address: *matches
            .get_one("address")
            .expect("clap requires the address"),
    };
    let client = operator::client(matches)?;
    let deadline = operator::deadline(matches);
    operator::run(client.replace(request, deadline))?;
    println!(
        "control VM {} votes in the place of {}",
        request.fresh, request.lost
    );
    Ok(())
}
