//! An accepted revision as entries and relays use it.

use std::sync::Arc;

use currantgate_config::{ConfigError, Site};
use currantgate_control::{Change, Digest, Revision};

/// An accepted revision, whole and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedRevision {
    /// The revision; a later one is always greater.
    pub revision: Revision,
    /// The digest of the text.
    pub digest: Digest,
    /// The site file as it was applied, byte for byte.
    pub text: Arc<str>,
    /// What it says.
    pub site: Arc<Site>,
}

impl AcceptedRevision {
    /// Reads the site file that a change carries.
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
