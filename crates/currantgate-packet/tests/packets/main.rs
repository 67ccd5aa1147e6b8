//! Tests of parsing and building packets.

mod answers;
mod build;
mod errors;
mod kinds;
mod random;
