//! Builds ICMP errors to callers.

use std::net::IpAddr;

use etherparse::{Icmpv4Type, Icmpv6Type, icmpv4, icmpv6, ip_number};

use crate::ip::IpPacket;
use crate::reset::ip_header;
use crate::{BuildError, Refusal};

/// Maximum length of an ICMP error for IPv4 in bytes, by RFC 1812.
const MAX_ICMPV4_BYTES: usize = 576;

/// Maximum length of an ICMP error for IPv6 in bytes, by RFC 4443.
const MAX_ICMPV6_BYTES: usize = 1_280;

/// Length of the IPv4 and ICMP headers in bytes.
const ICMPV4_HEADER_BYTES: usize = 20 + 8;

/// Length of the IPv6 and ICMP headers in bytes.
const ICMPV6_HEADER_BYTES: usize = 40 + 8;

/// Builds the ICMP error for a packet `buf` that is longer than `mtu` bytes,
/// which it reports to the sender.
///
/// # Errors
///
/// Returns an error when `buf` is not a complete IP packet or must not be
/// answered.
pub fn build_packet_too_big(buf: &[u8], mtu: u16) -> Result<Vec<u8>, BuildError> {
    let v4 = icmpv4::DestUnreachableHeader::FragmentationNeeded { next_hop_mtu: mtu };
    let v6 = Icmpv6Type::PacketTooBig {
        mtu: u32::from(mtu),
    };
    build(buf, v4, v6)
}

/// Builds the ICMP error that refuses the packet `buf`.
pub(crate) fn build_unreachable(buf: &[u8], refusal: Refusal) -> Result<Vec<u8>, BuildError> {
    use icmpv4::DestUnreachableHeader as V4;
    use icmpv6::DestUnreachableCode as V6;
    let (v4, v6) = match refusal {
        Refusal::NotRun => (V4::FilterProhibited, V6::Prohibited),
        Refusal::Gone => (V4::Host, V6::Address),
    };
    build(buf, v4, Icmpv6Type::DestinationUnreachable(v6))
}

fn build(
    buf: &[u8],
    v4: icmpv4::DestUnreachableHeader,
    v6: Icmpv6Type,
) -> Result<Vec<u8>, BuildError> {
    let ip = IpPacket::parse(buf)?;
    if !may_answer(&ip) {
        return Err(BuildError::MustNotAnswer);
    }
    let builder = ip_header(ip.destination, ip.source)?;
    let mut out = Vec::new();
    let written = match ip.source {
        IpAddr::V4(_) => builder
            .icmpv4(Icmpv4Type::DestinationUnreachable(v4))
            .write(&mut out, quote(buf, MAX_ICMPV4_BYTES - ICMPV4_HEADER_BYTES)),
        IpAddr::V6(_) => builder
            .icmpv6(v6)
            .write(&mut out, quote(buf, MAX_ICMPV6_BYTES - ICMPV6_HEADER_BYTES)),
    };
    written.map_err(|_| BuildError::Encode)?;
    Ok(out)
}

/// Returns whether an ICMP error may be sent in response to a packet: not to an
/// ICMP message, nor to a source address that is not that of a single host.
fn may_answer(ip: &IpPacket<'_>) -> bool {
    let is_icmp = matches!(ip.protocol, ip_number::ICMP | ip_number::IPV6_ICMP);
    let is_broadcast = matches!(ip.source, IpAddr::V4(source) if source.is_broadcast());
    !is_icmp && !is_broadcast && !ip.source.is_multicast() && !ip.source.is_unspecified()
}

/// Returns the first `max` bytes of `buf`.
fn quote(buf: &[u8], max: usize) -> &[u8] {
    &buf[..buf.len().min(max)]
}
