//! The `--log` option, which all programs share.

use clap::{Arg, ArgMatches};

const LOG_OPTION: &str = "log";

/// The default filter, which omits the messages of the HTTP server library when
/// it starts and stops.
const DEFAULT_FILTER: &str = "info,actix_server=warn";

/// Returns the `--log` option.
pub fn filter_arg() -> Arg {
    Arg::new(LOG_OPTION)
        .long(LOG_OPTION)
        .value_name("FILTER")
        .global(true)
        .default_value(DEFAULT_FILTER)
        .help("What to log: a level such as `debug`, or `module=level` pairs")
}

/// Returns the filter given on the command line, or the default one.
pub fn filter_from_matches(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>(LOG_OPTION)
        .map_or(DEFAULT_FILTER, |s| s)
}
