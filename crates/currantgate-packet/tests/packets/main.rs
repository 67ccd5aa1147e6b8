//! Packets of every kind, good and bad.

mod answers;
mod build;
mod errors;
mod kinds;
mod random;
