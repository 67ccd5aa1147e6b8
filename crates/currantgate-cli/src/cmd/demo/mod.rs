//! `currantgate demo`: runs a complete site on loopback for about 20 seconds.

mod entries;
mod phases;
mod report;
mod site;

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::CommandError;
use phases::Demo;

/// Returns the `demo` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("demo")
        .about("Runs a complete site on loopback and prints the outcomes of its flows")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .default_value("10")
                .value_parser(value_parser!(u64).range(4..=120))
                .help("How long callers open new flows"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the result as JSON"),
        )
}

/// Runs the `demo` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let seconds = *matches
        .get_one::<u64>("seconds")
        .expect("clap supplies the default");
    let json = matches.get_flag("json");
    let report = actix_rt::System::new().block_on(async {
        let demo = Demo::start(Duration::from_secs(seconds)).await?;
        demo.run().await
    })?;
    if json {
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::from)?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(())
}
