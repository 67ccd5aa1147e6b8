//! One module a subcommand.

pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod entry;
pub(crate) mod relay;
pub(crate) mod run;
pub(crate) mod standin;
mod stop_signal;
