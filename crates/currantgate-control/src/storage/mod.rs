//! Persistent state: a checksummed journal in the data directory.
//!
//! [`Journal`] encodes batches as frames and syncs them. It works on the
//! [`Disk`] trait, so that tests can lose or tear data that is not synced. See
//! `docs/design/control.md`.

mod data_directory;
mod disk;
mod error;
mod frame;
mod journal;
mod value_file;
mod whole_file;

pub use data_directory::DataDirectory;
pub use disk::Disk;
pub use error::StorageError;
pub use journal::Journal;
pub use value_file::ValueFile;
