//! The `--log` option, alike in all programs.

use clap::{Arg, ArgMatches};

const LOG: &str = "log";

/// What is logged unless the command line says otherwise: not that the HTTP
/// server of a library starts and stops.
const DEFAULT: &str = "info,actix_server=warn";

/// Returns the `--log` option.
pub fn filter_arg() -> Arg {
    Arg::new(LOG)
        .long(LOG)
        .value_name("FILTER")
        .global(true)
        .default_value(DEFAULT)
        .help("What to log: a level such as `debug`, or `module=level` pairs")
}

/// Returns the filter that the command line asks for.
pub fn filter_from_matches(matches: &ArgMatches) -> &str {
    matches.get_one::<String>(LOG).map_or(DEFAULT, |s| s)
}
