//! `currantgate check`: is a site file right?

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use currantgate_config::Site;

use crate::error::CommandError;

/// Returns the `check` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a site file without applying it")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The site file"),
        )
}

/// Runs the `check` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let file = matches
        .get_one::<PathBuf>("file")
        .expect("clap requires the file");
    let site = Site::load(file)?;
    println!(
        "{}: {} services in {} failure domains",
        file.display(),
        site.services.len(),
        site.domains.len()
    );
    Ok(())
}
