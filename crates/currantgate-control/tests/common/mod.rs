//! Test doubles for the environment of the state machines: a disk that loses or
//! tears unsynced data, a network that drops, duplicates and delays messages,
//! and the invariants that are checked at every step.
#![allow(dead_code, unreachable_pub)]

pub mod checks;
pub mod fake_disk;
pub mod net;
