//! The subcommands, one per module.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod completions;
mod config_arg;
pub(crate) mod control;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod entry;
pub(crate) mod evacuate;
pub(crate) mod explain;
mod open_flows;
mod operator;
pub(crate) mod relay;
pub(crate) mod replace;
pub(crate) mod run;
pub(crate) mod show;
pub(crate) mod standin;
pub(crate) mod status;
mod stop_signal;
