//! What a membership state machine is told at the start.

use currantgate_config::{Domain, EntryId, Peer, Service};

/// What [`crate::Members`] is told at the start.
#[derive(Clone, Debug, Default)]
pub struct MembersSettings {
    /// This entry's id.
    pub id: EntryId,
    /// The failure domain that this entry stands in.
    pub domain: Domain,
    /// The other entries.
    pub peers: Vec<Peer>,
    /// The services that upstreams may announce.
    pub services: Vec<Service>,
    /// Seeds all random choices.
    pub seed: u64,
}
