//! The voter id of a control VM, which the VM keeps on disk.

use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use currantgate_control::{Disk, StorageError, VoterId, id_in_new_site, id_of_joining};

/// The file that holds the id in decimal digits.
const IDENTITY_FILE: &str = "identity";

/// Returns the id on disk, or `None` if there is no valid one.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub(super) fn load(disk: &mut impl Disk) -> Result<Option<VoterId>, StorageError> {
    let bytes = disk.read(IDENTITY_FILE).map_err(io_error)?;
    let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
    Ok(text.and_then(|text| text.trim().parse().ok()))
}

/// Writes the id and syncs it to disk, so that it survives a power failure.
///
/// # Errors
///
/// Returns an error if the file can't be written or synced.
pub(super) fn save(disk: &mut impl Disk, id: VoterId) -> Result<(), StorageError> {
    let write = |disk: &mut _| {
        Disk::write(disk, IDENTITY_FILE, id.to_string().as_bytes())?;
        Disk::sync(disk, IDENTITY_FILE)?;
        Disk::sync_directory(disk)
    };
    write(disk).map_err(io_error)
}

/// Returns the ids and addresses of a new site's first voters. The ids depend on
/// the set of seeds alone, so that all first voters compute the same ones.
pub(super) fn first_voters(seeds: &[SocketAddr]) -> Vec<(VoterId, SocketAddr)> {
    let mut seeds = seeds.to_vec();
    seeds.sort();
    seeds.dedup();
    (1..).zip(seeds).collect()
}

/// Returns an id that no other VM has, from random bits and, for a VM that joins a running
/// site, the time: a VM that has lost its disk must not vote again under its earlier id.
pub(super) fn generate(is_new_site: bool) -> VoterId {
    let random = RandomState::new().hash_one(IDENTITY_FILE);
    if is_new_site {
        return id_in_new_site(random);
    }
    // A clock before 1970 gives an id without a time.
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    id_of_joining(unix_time.unwrap_or_default(), random)
}

fn io_error(source: std::io::Error) -> StorageError {
    StorageError::Io {
        file: IDENTITY_FILE.into(),
        source,
    }
}
