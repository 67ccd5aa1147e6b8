//! What survives a restart: one checksummed journal in the data folder.
//!
//! [`Journal`] turns batches into frames and syncs them; it works on a
//! [`Disk`], so that tests can lose and tear what is not synced. See
//! `docs/design/control.md`.

mod disk;
mod error;
mod folder;
mod frame;
mod journal;
mod saved;
mod whole_file;

pub use disk::Disk;
pub use error::StorageError;
pub use folder::Folder;
pub use journal::Journal;
pub use saved::Saved;
