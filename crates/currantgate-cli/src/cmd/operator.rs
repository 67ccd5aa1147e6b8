//! Options and functions shared by the operators' commands: the addresses of
//! the control VMs, the timeout and the output format.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use currantgate::ControlClient;
use currantgate_config::ControlServers;

use crate::error::CommandError;

/// Default timeout of a command, in seconds.
const DEFAULT_TIMEOUT_SECONDS: &str = "10";

/// Adds the options common to all commands that connect to the control VMs.
pub(crate) fn with_options(command: Command) -> Command {
    command
        .arg(
            Arg::new("servers")
                .long("servers")
                .value_name("ADDR,..")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .conflicts_with("control")
                .required_unless_present("control")
                .help("The addresses of the control VMs, which are contacted without a key"),
        )
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("A settings file with `servers` and `key`"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .default_value(DEFAULT_TIMEOUT_SECONDS)
                .value_parser(value_parser!(u64).range(1..=600))
                .help("The timeout for all attempts"),
        )
        .arg(make_json_arg())
}

/// Returns the `--json` option.
pub(crate) fn make_json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints JSON")
}

/// Returns the argument for the path of a site file.
pub(crate) fn make_file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The site file")
}

/// Creates a client for the control VMs given in the options.
pub(crate) fn client(matches: &ArgMatches) -> Result<ControlClient, CommandError> {
    let servers = match matches.get_one::<PathBuf>("control") {
        Some(file) => ControlServers::load(file)?,
        None => ControlServers {
            servers: matches
                .get_many("servers")
                .expect("clap requires servers or a settings file")
                .copied()
                .collect(),
            ..ControlServers::default()
        },
    };
    Ok(ControlClient::new(&servers))
}

/// Returns the deadline of the command, from its timeout.
pub(crate) fn deadline(matches: &ArgMatches) -> Instant {
    let seconds = *matches
        .get_one::<u64>("timeout")
        .expect("the option has a default");
    Instant::now() + Duration::from_secs(seconds)
}

/// Runs the requests of a command to the control VMs to completion.
pub(crate) fn run<T>(requests: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(requests)
}
