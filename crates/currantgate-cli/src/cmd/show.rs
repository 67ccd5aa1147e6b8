//! `currantgate show`: prints the accepted site file as it was applied.

use std::io::Write as _;

use clap::{ArgMatches, Command};
use currantgate::ServerRead;
use currantgate_control::{Change, Freshness, RevisionId};

use super::operator;
use crate::error::CommandError;

/// Returns the `show` subcommand.
pub(crate) fn make_subcommand() -> Command {
    operator::with_options(
        Command::new("show")
            .about("Prints the accepted site file, byte for byte as it was applied"),
    )
}

/// Runs the `show` subcommand: prints the file to stdout and its revision to
/// stderr.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let client = operator::client(matches)?;
    let deadline = operator::deadline(matches);
    let shown = operator::run(client.read_newest(deadline))?;
    let RevisionId { revision, digest } = revision_id(&shown);
    let freshness = shown.read.freshness;
    if matches.get_flag("json") {
        let answer = serde_json::json!({
            "revision": revision,
            "digest": digest.to_string(),
            "freshness": freshness,
            "server": shown.server,
            "text": text(&shown),
        });
        println!("{answer}");
    } else {
        std::io::stdout().write_all(text(&shown).as_bytes())?;
        eprintln!(
            "revision {revision}@{digest} is the {freshness} one at {}",
            shown.server
        );
    }
    match freshness {
        Freshness::Present => Ok(()),
        Freshness::Stale => Err(CommandError::NoLeaseHolder),
    }
}

/// Returns the text of the accepted revision; empty before the first one.
pub(crate) fn text(shown: &ServerRead) -> &str {
    shown.read.change.as_ref().map_or("", |change| &change.text)
}

/// Returns the id of the accepted revision.
pub(crate) fn revision_id(shown: &ServerRead) -> RevisionId {
    let change = shown.read.change.as_deref();
    change.map_or_else(RevisionId::empty, Change::revision_id)
}
