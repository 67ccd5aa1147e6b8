//! `currantgate check`: validates a site file.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use currantgate_config::Site;

use super::operator;
use crate::error::CommandError;

/// Returns the `check` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Validates a site file without applying it")
        .arg(operator::make_file_arg())
        .arg(operator::make_json_arg())
}

/// Runs the `check` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let site = Site::load(file)?;
    if matches.get_flag("json") {
        let answer = serde_json::json!({
            "services": site.services.len(),
            "domains": site.domains.len(),
        });
        println!("{answer}");
        return Ok(());
    }
    println!(
        "{}: {} services in {} failure domains",
        file.display(),
        site.services.len(),
        site.domains.len()
    );
    Ok(())
}
