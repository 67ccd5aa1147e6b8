//! What a router is told at the start.

use currantgate_config::{Domain, EntryId, Service};
use indexmap::IndexMap;

/// What a [`crate::Router`] is told at the start.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This entry's id.
    pub id: EntryId,
    /// All entries of the site and their failure domains, so that two copies
    /// of what a flow needs stand in two domains.
    pub domains: IndexMap<EntryId, Domain>,
    /// The services of the site.
    pub services: Vec<Service>,
    /// The secret that flow hashes are keyed with; alike on all entries.
    pub hash_key: u128,
    /// Buckets for each service; a power of two up to 65,536, alike on all
    /// entries.
    pub buckets: u32,
    /// The most open flows that the entry keeps for all services together.
    pub max_flows: usize,
    /// Seeds all random choices.
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
