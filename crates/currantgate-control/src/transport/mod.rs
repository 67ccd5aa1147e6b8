//! HTTP/2 streams of authenticated bincode messages between processes.
//!
//! A message consists of a length, a keyed BLAKE3 MAC and the bincode bytes. The
//! MAC authenticates the message but does not encrypt it: a network that others
//! can read needs encryption as well. Replayed messages do no harm, as the
//! protocols on top tolerate late and duplicate messages. See
//! `docs/design/control.md`.

mod attempts;
mod backoff;
mod client;
mod error;
mod frame;
mod server;

pub use attempts::first_to_end;
pub use backoff::ReconnectBackoff;
pub use client::Client;
pub use error::TransportError;
pub use frame::{FrameReader, FrameWriter, MAX_MESSAGE_BYTES, Secret};
pub use server::{IncomingStream, Server, ServerSettings};
