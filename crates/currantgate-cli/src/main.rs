//! The `currantgate` command.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::CommandError;

mod cmd;
mod error;
mod line_diff;
mod log_setup;
mod trace;

fn main() -> ExitCode {
    let matches = make_command().get_matches();
    // Pending log lines are written when the guard is dropped.
    let _guard = log_setup::init(&matches);

    match trace::init(&matches).and_then(|()| execute(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("currantgate: {e}");
            e.exit_code()
        }
    }
}

fn execute(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("entry", sub)) => cmd::entry::execute(sub),
        Some(("relay", sub)) => cmd::relay::execute(sub),
        Some(("run", sub)) => cmd::run::execute(sub),
        Some(("demo", sub)) => cmd::demo::execute(sub),
        Some(("standin", sub)) => cmd::standin::execute(sub),
        Some(("check", sub)) => cmd::check::execute(sub),
        Some(("control", sub)) => cmd::control::execute(sub),
        Some(("diff", sub)) => cmd::diff::execute(sub),
        Some(("apply", sub)) => cmd::apply::execute(sub),
        Some(("show", sub)) => cmd::show::execute(sub),
        Some(("explain", sub)) => cmd::explain::execute(sub),
        Some(("status", sub)) => cmd::status::execute(sub),
        Some(("evacuate", sub)) => cmd::evacuate::execute(sub),
        Some(("replace", sub)) => cmd::replace::execute(sub),
        Some(("completions", sub)) => cmd::completions::execute(sub, make_command()),
        _ => unreachable!("clap accepts no other subcommand"),
    }
}

fn make_command() -> Command {
    Command::new("currantgate")
        .about("A layer-4 load balancer for a fleet of entry VMs")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(log_setup::make_args())
        .arg(trace::make_arg())
        .subcommand(cmd::entry::make_subcommand())
        .subcommand(cmd::relay::make_subcommand())
        .subcommand(cmd::run::make_subcommand())
        .subcommand(cmd::demo::make_subcommand())
        .subcommand(cmd::standin::make_subcommand())
        .subcommand(cmd::check::make_subcommand())
        .subcommand(cmd::control::make_subcommand())
        .subcommand(cmd::diff::make_subcommand())
        .subcommand(cmd::apply::make_subcommand())
        .subcommand(cmd::show::make_subcommand())
        .subcommand(cmd::explain::make_subcommand())
        .subcommand(cmd::status::make_subcommand())
        .subcommand(cmd::evacuate::make_subcommand())
        .subcommand(cmd::replace::make_subcommand())
        .subcommand(cmd::completions::make_subcommand())
}
