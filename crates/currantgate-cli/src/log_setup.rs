//! The `--log` and `--log-format` options.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches};
use currantgate_log::LogGuard;
use env_logger::Env;

/// Name of the process in JSON lines.
const PROCESS: &str = "currantgate";

/// Returns the `--log` and `--log-format` options.
pub(crate) fn make_args() -> [Arg; 2] {
    [
        currantgate_log::filter_arg(),
        Arg::new("log-format")
            .long("log-format")
            .value_name("FORMAT")
            .global(true)
            .default_value("text")
            .value_parser(PossibleValuesParser::new(["text", "json"]))
            .help("Text on standard error, or one JSON object a line on standard output"),
    ]
}

/// Starts the logger with the options of the command line.
///
/// The returned guard flushes pending lines when it is dropped.
pub(crate) fn init(matches: &ArgMatches) -> Option<LogGuard> {
    let filter = currantgate_log::filter_from_matches(matches);
    let format = matches.get_one::<String>("log-format");
    if format.is_some_and(|format| format == "json") {
        return Some(currantgate_log::init(PROCESS, filter));
    }
    env_logger::Builder::from_env(Env::default().default_filter_or(filter))
        .format_timestamp_millis()
        .init();
    None
}
