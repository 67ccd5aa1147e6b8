//! Frames: records with a length and checksums.
//!
//! A frame is a header of 12 bytes and the payload. The header contains, in
//! little endian, the payload's length, the payload's CRC-32, and the CRC-32 of
//! those 8 bytes. A batch is a single frame, so that a torn write damages only
//! the last frame.

const HEADER_BYTES: usize = 12;

/// The data at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Parsed<'a> {
    /// An intact frame, and the offset of the next one.
    Frame { payload: &'a [u8], next: usize },
    /// The end of the file.
    End,
    /// No intact frame.
    Invalid,
}

/// Returns a frame with the given payload.
pub(super) fn encode(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("payloads are smaller than 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header = crc32fast::hash(&frame);
    frame.extend_from_slice(&header.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Parses the data at `offset`.
pub(super) fn parse(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return Parsed::End;
    }
    parse_frame(rest).map_or(Parsed::Invalid, |payload| Parsed::Frame {
        payload,
        next: offset + HEADER_BYTES + payload.len(),
    })
}

fn parse_frame(rest: &[u8]) -> Option<&[u8]> {
    let (header, body) = rest.split_at_checked(HEADER_BYTES)?;
    let field = |at: usize| {
        let bytes = header[at..at + 4].try_into();
        u32::from_le_bytes(bytes.expect("the slice has 4 bytes"))
    };
    if crc32fast::hash(&header[..8]) != field(8) {
        return None;
    }
    let payload = body.get(..field(0) as usize)?;
    (crc32fast::hash(payload) == field(4)).then_some(payload)
}

/// Returns whether an intact frame begins anywhere after `offset`. In that case
/// the data at `offset` was synced before, and is not a torn write.
pub(super) fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| parse_frame(&bytes[at..]).is_some_and(|p| !p.is_empty()))
}
