//! Parses the IP header of a packet.

use std::net::IpAddr;

use etherparse::{IpNumber, IpSlice, Ipv6Header, Ipv6Slice, checksum::u64_16bit_word};

use crate::PacketError;

/// The IP header fields and the payload of a complete packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IpPacket<'a> {
    pub(crate) source: IpAddr,
    pub(crate) destination: IpAddr,
    pub(crate) protocol: IpNumber,
    pub(crate) payload: &'a [u8],
}

impl<'a> IpPacket<'a> {
    /// Parses a packet that fills `buf`; fragments are an error.
    pub(crate) fn parse(buf: &'a [u8]) -> Result<Self, PacketError> {
        let ip = IpSlice::from_slice(buf).map_err(|_| PacketError::Ip)?;
        check_header(&ip, buf)?;
        if ip.is_fragmenting_payload() {
            return Err(PacketError::Fragment);
        }
        Ok(Self {
            source: ip.source_addr(),
            destination: ip.destination_addr(),
            protocol: ip.payload_ip_number(),
            payload: ip.payload().payload,
        })
    }
}

/// Checks the length and, for IPv4, the header checksum.
fn check_header(ip: &IpSlice<'_>, buf: &[u8]) -> Result<(), PacketError> {
    match ip {
        IpSlice::Ipv4(v4) => {
            let header = v4.header();
            if usize::from(header.total_len()) != buf.len() {
                return Err(PacketError::Ip);
            }
            let sum = u64_16bit_word::add_slice(0, header.slice());
            if u64_16bit_word::ones_complement(sum) != 0 {
                return Err(PacketError::Ip);
            }
            Ok(())
        }
        IpSlice::Ipv6(v6) if ipv6_len(v6) != buf.len() => Err(PacketError::Ip),
        IpSlice::Ipv6(_) => Ok(()),
    }
}

/// Returns the length of the packet in bytes by its header.
fn ipv6_len(ip: &Ipv6Slice<'_>) -> usize {
    Ipv6Header::LEN + usize::from(ip.header().payload_length())
}
