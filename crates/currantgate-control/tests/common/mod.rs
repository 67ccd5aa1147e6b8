//! Small fakes around the state machines: a disk that loses and tears what is
//! not synced, a network that loses, repeats and delays, and the checks that
//! hold at every step.
#![allow(dead_code, unreachable_pub)]

pub mod checks;
pub mod fake_disk;
pub mod net;
