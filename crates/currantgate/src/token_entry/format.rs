//! What a token entry asks of a site's formats.

use currantgate_token::{FirstPacket, FlowId, LaterPacket, NextHop, RouteTable};
use displaydoc::Display;

/// A packet as routing sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet {
    /// The first packet of a flow.
    Opening(FirstPacket),
    /// A later one.
    Segment(LaterPacket),
}

/// Why a datagram is no packet.
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
/// The implementation translates and decides nothing.
pub trait WireFormat: 'static {
    /// Bytes that go before a packet on its way to an upstream.
    const HEADROOM: usize;

    /// Reads a datagram of a caller.
    ///
    /// # Errors
    ///
    /// Returns why it is no packet.
    fn parse(&self, datagram: &[u8]) -> Result<Packet, MalformedPacket>;

    /// Addresses a packet to an upstream. `buf` holds [`Self::HEADROOM`] free
    /// bytes and then the datagram as it came.
    fn address(&self, buf: &mut [u8], hop: &NextHop);

    /// Returns the datagram that tells a caller that its flow is not open.
    fn reset(&self, flow: &FlowId) -> Vec<u8>;

    /// Returns what names an upstream within packets; nothing when its id
    /// can't be written there.
    fn identity(&self, id: &str) -> Option<u64>;

    /// Reads the routes of an accepted configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn routes(&self, text: &str) -> Result<RouteTable, Box<str>>;
}
