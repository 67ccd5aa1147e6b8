//! `currantgate explain`: tells what became of one flow, from logs.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use currantgate_log::{FlowHistory, LogLine};

use crate::error::CommandError;

/// Returns the `explain` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Tells what became of one flow, from the logs of several processes")
        .arg(
            Arg::new("flow")
                .value_name("FLOW")
                .required(true)
                .help("The flow as logs name it, CALLER>SERVICE, or a part such as the caller"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of entries and control VMs, in any order"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the lines as they were written"),
        )
}

/// Runs the `explain` subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    let flow = matches.get_one::<String>("flow").map_or("", |s| s);
    let mut history = FlowHistory::new(flow);
    for file in matches.get_many::<PathBuf>("logs").into_iter().flatten() {
        let text = fs::read_to_string(file).map_err(|source| CommandError::Log {
            file: file.display().to_string().into(),
            source,
        })?;
        // Logs may hold lines of other programs.
        for line in text.lines().filter_map(|line| LogLine::parse(line).ok()) {
            history.push(line);
        }
    }
    let told = history.into_lines();
    if told.is_empty() {
        return Err(CommandError::UnknownFlow(flow.into()));
    }
    for line in told {
        if matches.get_flag("json") {
            println!("{}", serde_json::Value::Object(line.fields().clone()));
        } else {
            println!("{line}");
        }
    }
    Ok(())
}
