//! Reads and builds the IP packets that the fabric hands over.
//!
//! Packets travel between fabric, entries and upstreams as whole IP packets
//! inside UDP datagrams, the foo-over-UDP encapsulation that the Linux kernel
//! speaks. This crate turns such bytes into a [`Packet`], which says what the
//! routing decision needs and nothing else, and builds the refusals that
//! callers are sent. See `docs/design/encapsulation.md`.

mod build_error;
mod error;
mod flow_hash;
mod flow_key;
mod icmp;
mod ip;
mod kind;
mod packet;
mod parse;
mod refusal;
mod reset;
mod unreachable;

pub use build_error::BuildError;
pub use error::PacketError;
pub use flow_hash::{FlowHash, FlowHasher};
pub use flow_key::FlowKey;
pub use kind::PacketKind;
pub use packet::Packet;
pub use parse::{parse_answer, parse_request};
pub use refusal::{Refusal, build_refusal, build_refusal_without_payload};
pub use reset::{build_caller_reset, build_upstream_reset};
pub use unreachable::build_packet_too_big;
