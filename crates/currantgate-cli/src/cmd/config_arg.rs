//! The `--config` option of the daemons.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};

/// Returns the `--config` option with the help text `help`.
pub(crate) fn make_arg(help: &'static str) -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Returns the path of the settings file.
pub(crate) fn path(matches: &ArgMatches) -> &PathBuf {
    matches
        .get_one::<PathBuf>("config")
        .expect("clap requires the settings file")
}
