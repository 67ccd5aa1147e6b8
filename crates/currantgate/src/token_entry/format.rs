//! The interface between the token entry and a site's packet and configuration
//! formats.

use currantgate_token::{FirstPacket, FlowId, LaterPacket, NextHop, RouteTable};
use displaydoc::Display;

/// A parsed packet of a caller, as the router takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet {
    /// The first packet of a flow.
    First(FirstPacket),
    /// Any later packet of a flow.
    Later(LaterPacket),
}

/// Why a datagram can't be parsed as a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum MalformedPacket {
    /// shorter than a header
    Short,
    /// longer or shorter than its header says
    WrongLength,
    /// flags that fit no packet of a caller
    WrongFlags,
}

/// Reads and writes a site's packets and configuration.
///
/// Implementations only convert between bytes and types; all routing decisions
/// are made by the token entry.
pub trait WireFormat: 'static {
    /// Length in bytes of the prefix of a packet that is sent to an upstream.
    const HEADROOM: usize;

    /// Parses a datagram from a caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid packet.
    fn parse(&self, datagram: &[u8]) -> Result<Packet, MalformedPacket>;

    /// Writes the upstream and the token of `hop` into a packet. `buf` holds
    /// [`Self::HEADROOM`] free bytes and then the datagram as it was received.
    fn write_hop(&self, buf: &mut [u8], hop: &NextHop);

    /// Returns the reset that is sent to the caller of a flow that is not open.
    fn build_reset(&self, flow: &FlowId) -> Vec<u8>;

    /// Returns the number that stands for an upstream's id in packets, or `None`
    /// if the id can't be encoded.
    fn encode_upstream_id(&self, id: &str) -> Option<u64>;

    /// Parses the routes of an accepted configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the configuration is invalid.
    fn parse_routes(&self, text: &str) -> Result<RouteTable, Box<str>>;
}
