//! `currantgate completions`: prints completion scripts for shells.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::error::CommandError;

/// Returns the `completions` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("completions")
        .about("Prints the completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}

/// Runs the `completions` subcommand; `command` is the complete command line.
pub(crate) fn execute(matches: &ArgMatches, mut command: Command) -> Result<(), CommandError> {
    let shell = *matches
        .get_one::<Shell>("shell")
        .expect("clap requires the shell");
    let mut script = Vec::new();
    generate(shell, &mut command, "currantgate", &mut script);
    io::Write::write_all(&mut io::stdout(), &script)?;
    Ok(())
}
