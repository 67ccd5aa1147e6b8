//! The encodings of snapshots, on the wire and on disk.
//!
//! Snapshots of earlier builds have no evacuations. A snapshot without any is still
//! encoded like that, so that a site that never used them can mix builds and return
//! to an earlier one.

use bincode::error::DecodeError;

use crate::{Batch, Entry, Evacuations, HardState, Index, Members, SiteState, Snapshot};
use crate::{Term, codec};

/// The first byte of values with evacuations. Values of earlier builds never start
/// with it: bincode encodes neither an option nor an integer to this first byte.
const MARKER: u8 = 255;

/// The fields of a [`Snapshot`] of earlier builds, in their order.
type EarlierSnapshot = (Index, Term, Members, SiteState);

/// The fields of a [`Batch`] of earlier builds, in their order.
type EarlierBatch = (
    Option<EarlierSnapshot>,
    Option<HardState>,
    Option<Index>,
    Vec<Entry>,
    Option<Index>,
);

/// Encodes a snapshot for its transfer.
pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    if snapshot.evacuations.has_orders() {
        return with_marker(codec::encode(snapshot));
    }
    codec::encode(&earlier_fields(snapshot))
}

/// Decodes a transferred snapshot.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, DecodeError> {
    match bytes.split_first() {
        Some((&MARKER, rest)) => codec::decode(rest),
        _ => codec::decode(bytes).map(from_earlier),
    }
}

/// Encodes a batch for the journal.
pub(crate) fn encode_batch(batch: &Batch) -> Vec<u8> {
    let snapshot = batch.snapshot.as_ref();
    if snapshot.is_some_and(|s| s.evacuations.has_orders()) {
        return with_marker(codec::encode(batch));
    }
    codec::encode(&(
        snapshot.map(earlier_fields),
        &batch.hard_state,
        &batch.truncate,
        &batch.entries,
        &batch.commit,
    ))
}

/// Decodes a batch of the journal.
pub(crate) fn decode_batch(bytes: &[u8]) -> Result<Batch, DecodeError> {
    if let Some((&MARKER, rest)) = bytes.split_first() {
        return codec::decode(rest);
    }
    let (snapshot, hard_state, truncate, entries, commit) = codec::decode::<EarlierBatch>(bytes)?;
    Ok(Batch {
        snapshot: snapshot.map(from_earlier),
        hard_state,
        truncate,
        entries,
        commit,
    })
}

fn with_marker(mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.insert(0, MARKER);
    bytes
}

fn earlier_fields(snapshot: &Snapshot) -> (&Index, &Term, &Members, &SiteState) {
    let Snapshot {
        last_index,
        last_term,
        members,
        state,
        evacuations: _,
    } = snapshot;
    (last_index, last_term, members, state)
}

fn from_earlier((last_index, last_term, members, state): EarlierSnapshot) -> Snapshot {
    Snapshot {
        last_index,
        last_term,
        members,
        state,
        evacuations: Evacuations::default(),
    }
}
