//! The `--trace` option.

use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;

use clap::{Arg, ArgMatches, value_parser};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::layer::SubscriberExt as _;

use crate::error::CommandError;

/// Returns the `--trace` option.
pub(crate) fn make_arg() -> Arg {
    Arg::new("trace")
        .long("trace")
        .value_name("FILE")
        .global(true)
        .value_parser(value_parser!(PathBuf))
        .help("Writes one line of JSON for each hop of a flow or request to FILE")
}

/// Starts writing spans if the option is set.
///
/// # Errors
///
/// Returns an error when the file can't be created.
pub(crate) fn init(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some(path) = matches.get_one::<PathBuf>("trace") else {
        return Ok(());
    };
    let file = File::create(path)?;
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(Arc::new(file));
    let spans = Targets::new().with_target(currantgate::TRACE_TARGET, tracing::Level::DEBUG);
    let subscriber = tracing_subscriber::registry().with(layer).with(spans);
    tracing::subscriber::set_global_default(subscriber).expect("no other subscriber is set");
    Ok(())
}
