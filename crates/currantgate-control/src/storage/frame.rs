//! Records with length and checksums.
//!
//! A frame is a header of 12 bytes, little endian: the payload's length, its
//! CRC-32, and the CRC-32 of those 8 bytes; then the payload. One batch is one
//! frame, so a write that was cut short spoils the last frame only.

const HEADER_BYTES: usize = 12;

/// What stands at one place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Parsed<'a> {
    /// A whole frame, and where the next one begins.
    Frame { payload: &'a [u8], next: usize },
    /// The end of the file.
    End,
    /// Anything else.
    Broken,
}

/// Returns the frame around `payload`.
pub(super) fn encode(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("a batch is far below 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header = crc32fast::hash(&frame);
    frame.extend_from_slice(&header.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads what stands at `offset`.
pub(super) fn parse(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset.min(bytes.len())..];
    if rest.is_empty() {
        return Parsed::End;
    }
    parse_frame(rest).map_or(Parsed::Broken, |payload| Parsed::Frame {
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

/// Tells whether a whole frame begins anywhere after `offset`: then what
/// stands at `offset` was synced once and is no torn tail.
pub(super) fn any_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| parse_frame(&bytes[at..]).is_some_and(|p| !p.is_empty()))
}
