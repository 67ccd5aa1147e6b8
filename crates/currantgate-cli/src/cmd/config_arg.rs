//! The `--config` option of the daemons.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};

/// Returns the `--config` option; `help` says whose settings it names.
pub(crate) fn make_arg(help: &'static str) -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Returns the settings file that the command line names.
pub(crate) fn file(matches: &ArgMatches) -> &PathBuf {
    matches
        .get_one::<PathBuf>("config")
        .expect("clap requires the settings file")
}
