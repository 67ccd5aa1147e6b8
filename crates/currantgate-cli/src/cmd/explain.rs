//! `currantgate explain`: prints the history of a flow from logs.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use currantgate_log::{FlowHistory, LogLine};

use crate::error::CommandError;

/// Returns the `explain` subcommand.
pub(crate) fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Prints the history of a flow from the logs of several processes")
        .arg(Arg::new("flow").value_name("FLOW").required(true).help(
            "The flow as written in logs, CALLER>SERVICE, or a part of it such as the caller",
        ))
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
                .help("Prints the lines in JSON, as they were logged"),
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
        // Logs may contain lines of other programs.
        for line in text.lines().filter_map(|line| LogLine::parse(line).ok()) {
            history.push(line);
        }
    }
    let lines = history.into_lines();
    if lines.is_empty() {
        return Err(CommandError::UnknownFlow(flow.into()));
    }
    for line in lines {
        if matches.get_flag("json") {
            println!("{}", serde_json::Value::Object(line.fields().clone()));
        } else {
            println!("{line}");
        }
    }
    Ok(())
}
