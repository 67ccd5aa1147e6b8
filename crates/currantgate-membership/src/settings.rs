//! Settings of the membership state machine.

use currantgate_config::{Domain, EntryId, Incarnation, Peer, Service, ServiceId};

/// Settings of [`crate::Members`].
#[derive(Clone, Debug)]
pub struct MembersSettings {
    /// Id of this entry.
    pub id: EntryId,
    /// Incarnation of this entry, which must grow with each start, for example the
    /// wall clock in milliseconds.
    pub incarnation: Incarnation,
    /// Failure domain that this entry is in.
    pub domain: Domain,
    /// Other entries of the site.
    pub peers: Vec<Peer>,
    /// Services that upstreams may announce themselves for.
    pub services: Vec<Service>,
    /// Maximum number of upstreams that are held, including ended ones.
    pub max_upstreams: usize,
    /// Maximum number of slots that an upstream may announce.
    pub max_slots: u32,
    /// Seed of the random number generator.
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

    /// Returns whether this entry or a peer is in `domain`.
    pub(crate) fn has_entries_in(&self, domain: &str) -> bool {
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
