//! Parses and builds the IP packets between the fabric, entries and upstreams.
//!
//! These are complete IP packets inside UDP datagrams, the foo-over-UDP
//! encapsulation of the Linux kernel. This crate parses an IP packet into a
//! [`Packet`], which contains only what routing needs, and builds the resets and
//! ICMP errors that entries send. See `docs/design/encapsulation.md`.

mod build_error;
mod error;
mod flow_hash;
mod flow_key;
mod icmp;
mod ip;
mod kind;
mod packet;
mod parser;
mod refusal;
mod reset;
mod unreachable;

pub use build_error::BuildError;
pub use error::PacketError;
pub use flow_hash::{FlowHash, FlowHasher};
pub use flow_key::FlowKey;
pub use kind::PacketKind;
pub use packet::Packet;
pub use parser::{parse_answer, parse_request};
pub use refusal::{Refusal, build_refusal, build_refusal_without_payload};
pub use reset::{build_caller_reset, build_upstream_reset};
pub use unreachable::build_packet_too_big;
