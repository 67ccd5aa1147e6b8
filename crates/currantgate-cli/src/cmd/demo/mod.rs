//! `currantgate demo`: a whole site on loopback, for about 20 seconds.

mod entries;
mod report;
mod scenes;
mod site;

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::CommandError;
use scenes::Scenes;

/// Returns the `demo` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo")
        .about("Runs a whole site on loopback and prints what became of its flows")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .default_value("10")
                .value_parser(value_parser!(u64).range(4..=120))
                .help("How long callers keep opening flows"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON"),
        )
}

/// Runs the `demo` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let seconds = *matches
        .get_one::<u64>("seconds")
        .expect("clap supplies the default");
    let json = matches.get_flag("json");
    let report = actix_rt::System::new().block_on(async {
        let scenes = Scenes::start(Duration::from_secs(seconds)).await?;
        scenes.play().await
    })?;
    if json {
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::from)?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}
