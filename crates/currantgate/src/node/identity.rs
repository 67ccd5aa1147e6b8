//! The id that a control VM chose for itself.

use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddr;

use currantgate_control::{Disk, StorageError, VoterId};

/// The file that holds the id, as decimal digits.
const IDENTITY: &str = "identity";

/// Ids below are those of the first voters, by their place among the seeds.
const FIRST_CHOSEN_ID: VoterId = 1 << 32;

/// Returns the id that the disk holds.
///
/// # Errors
///
/// Returns an error when the file can't be read.
pub(super) fn load(disk: &mut impl Disk) -> Result<Option<VoterId>, StorageError> {
    let bytes = disk.read(IDENTITY).map_err(at_identity)?;
    let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
    Ok(text.and_then(|text| text.trim().parse().ok()))
}

/// Writes the id, so that it outlives a loss of power.
///
/// # Errors
///
/// Returns what the system said.
pub(super) fn store(disk: &mut impl Disk, id: VoterId) -> Result<(), StorageError> {
    let write = |disk: &mut _| {
        Disk::write(disk, IDENTITY, id.to_string().as_bytes())?;
        Disk::sync(disk, IDENTITY)?;
        Disk::sync_directory(disk)
    };
    write(disk).map_err(at_identity)
}

/// Returns the ids of a new site's first voters, which all of them work out
/// alike from the seeds.
pub(super) fn first_voters(seeds: &[SocketAddr]) -> Vec<(VoterId, SocketAddr)> {
    let mut seeds = seeds.to_vec();
    seeds.sort();
    seeds.dedup();
    (1..).zip(seeds).collect()
}

/// Returns an id that no other VM has: a VM whose disk is lost must not vote
/// under the id it had.
pub(super) fn choose() -> VoterId {
    RandomState::new().hash_one(IDENTITY).max(FIRST_CHOSEN_ID)
}

fn at_identity(source: std::io::Error) -> StorageError {
    StorageError::Io {
        file: IDENTITY.into(),
        source,
    }
}
