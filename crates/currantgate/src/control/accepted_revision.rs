//! An accepted revision with its parsed site file.

use std::sync::Arc;

use currantgate_config::{ConfigError, Site};
use currantgate_control::{Change, Digest, Revision};

/// An accepted revision whose site file has been validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRevision {
    /// The number of the revision, which increases with each one.
    pub revision: Revision,
    /// The digest of `text`.
    pub digest: Digest,
    /// The site file as it was applied, byte for byte.
    pub text: Arc<str>,
    /// The parsed site file.
    pub site: Arc<Site>,
}

impl AcceptedRevision {
    /// Parses the site file of a change.
    pub(super) fn parse(change: &Change) -> Result<Self, ConfigError> {
        let name = format!("revision {}", change.revision);
        Ok(Self {
            revision: change.revision,
            digest: change.digest,
            text: Arc::clone(&change.text),
            site: Arc::new(Site::parse(&change.text, &name)?),
        })
    }
}
