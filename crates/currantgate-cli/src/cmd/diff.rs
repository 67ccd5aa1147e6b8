//! `currantgate diff`: compares a site file with the accepted one.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use currantgate_config::{ConfigError, Site};
use currantgate_control::{Freshness, RevisionId};

use super::operator;
use super::show::{revision_id, text};
use crate::error::CommandError;
use crate::line_diff::{self, Line};

/// Returns the `diff` subcommand.
pub(crate) fn make_subcommand() -> Command {
    operator::with_options(
        Command::new("diff")
            .about("Prints the lines in which a site file differs from the accepted one")
            .arg(operator::make_file_arg()),
    )
}

/// Runs the `diff` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let name = file.display().to_string();
    let new = std::fs::read_to_string(file).map_err(|source| ConfigError::Read {
        file: name.as_str().into(),
        source,
    })?;
    Site::parse(&new, &name)?;
    let client = operator::client(matches)?;
    let shown = operator::run(client.read_newest(operator::deadline(matches)))?;
    let RevisionId { revision, digest } = revision_id(&shown);
    let lines = line_diff::diff(text(&shown), &new);
    if matches.get_flag("json") {
        let changed: Vec<_> = lines.iter().filter(|line| line.is_change()).collect();
        let answer = serde_json::json!({
            "revision": revision,
            "digest": digest.to_string(),
            "freshness": shown.read.freshness,
            "changed": changed.iter().map(ToString::to_string).collect::<Vec<_>>(),
        });
        println!("{answer}");
    } else {
        println!(
            "--- revision {revision}@{digest} ({})",
            shown.read.freshness
        );
        println!("+++ {name}");
        lines
            .iter()
            .filter(|line| line.is_change())
            .for_each(print_line);
    }
    match shown.read.freshness {
        Freshness::Present => Ok(()),
        Freshness::Stale => Err(CommandError::NoLeaseHolder),
    }
}

fn print_line(line: &Line<'_>) {
    println!("{line}");
}
