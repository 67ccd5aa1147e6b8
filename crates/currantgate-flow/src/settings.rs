//! The settings of a router.

use currantgate_config::{Domain, EntryId, Service};
use indexmap::IndexMap;

/// The settings of a [`crate::Router`].
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This entry's id.
    pub id: EntryId,
    /// All entries of the site and their failure domains, so that the two
    /// copies of what a flow needs are in two domains.
    pub domains: IndexMap<EntryId, Domain>,
    /// The services of the site.
    pub services: Vec<Service>,
    /// The secret key of flow hashes; equal on all entries.
    pub hash_key: u128,
    /// Number of buckets per service: a power of two up to 65,536, equal on all
    /// entries.
    pub buckets: u32,
    /// Maximum number of open flows recorded for all services together.
    pub max_flows: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            id: 0,
            domains: IndexMap::new(),
            services: Vec::new(),
            hash_key: 0,
            buckets: 1_024,
            max_flows: 1_000_000,
            seed: 0,
        }
    }
}
