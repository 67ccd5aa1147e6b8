//! HTTP/2 streams of authenticated bincode messages between our processes.
//!
//! A message is a length, a keyed blake3 MAC and the bincode bytes. The MAC
//! authenticates and does not hide: networks that others can read need more.
//! Replayed messages do no harm, as the protocols above stand late and
//! repeated ones. See `docs/design/control.md`.

mod client;
mod error;
mod frame;
mod server;

pub use client::Client;
pub use error::TransportError;
pub use frame::{FrameReader, FrameWriter, MAX_MESSAGE_BYTES, Secret};
pub use server::{IncomingStream, Server, ServerSettings};
