//! The `--log` option.

use clap::{Arg, ArgMatches};
use env_logger::Env;

/// Returns the `--log` option.
pub(crate) fn make_arg() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILTER")
        .global(true)
        .default_value("info")
        .help("What to log: a level such as `debug`, or `module=level` pairs")
}

/// Starts the logger with the filter that the command line asks for.
pub(crate) fn init(matches: &ArgMatches) {
    let filter = matches.get_one::<String>("log").map_or("info", |s| s);
    env_logger::Builder::from_env(Env::default().default_filter_or(filter))
        .format_timestamp_millis()
        .init();
}
