//! What a membership state machine is told at the start.

use currantgate_config::{Domain, EntryId, Incarnation, Peer, Service, ServiceId};

/// What [`crate::Members`] is told at the start.
#[derive(Clone, Debug)]
pub struct MembersSettings {
    /// This entry's id.
    pub id: EntryId,
    /// Tells this start of the entry from earlier ones; it must grow with
    /// each, as the milliseconds of the wall clock at the start do.
    pub incarnation: Incarnation,
    /// The failure domain that this entry stands in.
    pub domain: Domain,
    /// The other entries.
    pub peers: Vec<Peer>,
    /// The services that upstreams may announce.
    pub services: Vec<Service>,
    /// The most upstreams that are kept, those that have ended included.
    pub max_upstreams: usize,
    /// The most slots that an upstream may announce.
    pub max_slots: u32,
    /// Seeds all random choices.
    pub seed: u64,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            id: 0,
            incarnation: 0,
            domain: "".into(),
            peers: Vec::new(),
            services: Vec::new(),
            max_upstreams: 4_096,
            max_slots: 65_536,
            seed: 0,
        }
    }
}

impl MembersSettings {
    /// Returns the service with the given id.
    pub(crate) fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.iter().find(|s| s.id() == id)
    }

    /// Tells whether `domain` is one that this entry or a peer stands in.
    pub(crate) fn knows_domain(&self, domain: &str) -> bool {
        *self.domain == *domain || self.peers.iter().any(|p| &*p.domain == domain)
    }

    /// Returns the failure domain of an entry.
    pub(crate) fn domain_of(&self, id: EntryId) -> Option<&Domain> {
        if id == self.id {
            return Some(&self.domain);
        }
        let peer = self.peers.iter().find(|p| p.id == id)?;
        Some(&peer.domain)
    }
}
