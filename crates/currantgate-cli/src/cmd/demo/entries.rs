//! The entries of the demonstration.

use std::net::SocketAddr;

use currantgate::{Entry, EntrySockets};
use currantgate_config::{Domain, EntryId, EntryListen, EntrySettings, Peer, Site};
use currantgate_standin::{FabricHandle, SprayTarget};

use crate::error::CommandError;

/// Entries at the start.
const ENTRIES: EntryId = 8;

/// The entry that joins later, in the failure domain of the one that leaves.
pub(crate) const JOINER: EntryId = 9;

/// The entry that leaves in plan.
pub(crate) const LEAVER: EntryId = 8;

/// The entry that dies without warning.
pub(crate) const VICTIM: EntryId = 3;

/// One entry's place, whether it runs or not.
struct Place {
    peer: Peer,
    listen: EntryListen,
}

/// The entries of the demonstration.
pub(crate) struct Entries {
    site: Site,
    fabric: FabricHandle,
    places: Vec<Place>,
    running: Vec<Entry>,
    /// Control bytes of the entries that no longer run.
    ended: Vec<(EntryId, u64)>,
}

impl Entries {
    /// Starts all entries but the joiner.
    pub(crate) fn start(site: &Site, fabric: FabricHandle) -> Result<Self, CommandError> {
        let mut places = Vec::new();
        for id in 1..=JOINER {
            places.push(choose_place(site, id)?);
        }
        let mut entries = Self {
            site: site.clone(),
            fabric,
            places,
            running: Vec::new(),
            ended: Vec::new(),
        };
        entries.spray_over_all_but(&[]);
        for id in 1..=ENTRIES {
            entries.join(id)?;
        }
        Ok(entries)
    }

    /// Starts entry `id`.
    pub(crate) fn join(&mut self, id: EntryId) -> Result<(), CommandError> {
        let peers = self.places.iter().map(|place| place.peer.clone());
        let place = self.place(id);
        let settings = EntrySettings {
            id,
            domain: place.peer.domain.clone(),
            site: "demo".into(),
            listen: place.listen.clone(),
            fabric: self.fabric.entry_side(),
            peers: peers.filter(|peer| peer.id != id).collect(),
            budget: Default::default(),
            flow: Default::default(),
            control: None,
            data: None,
        };
        let sockets = EntrySockets::bind(&settings.listen)?;
        let entry = Entry::start(&settings, &self.site, sockets)?;
        self.running.push(entry);
        Ok(())
    }

    /// Tells the fabric to spray over all entries except some; one that does
    /// not accept connections is left out anyway.
    pub(crate) fn spray_over_all_but(&self, except: &[EntryId]) {
        let targets = self
            .places
            .iter()
            .filter(|place| !except.contains(&place.peer.id))
            .map(|place| SprayTarget {
                address: place.listen.fabric,
                domain: place.peer.domain.clone(),
                check: Some(place.listen.metrics),
            });
        self.fabric.set_entries(targets.collect());
    }

    /// Stops entry `id` in plan.
    pub(crate) async fn stop(&mut self, id: EntryId) {
        if let Some(entry) = self.take(id) {
            entry.stop().await;
        }
    }

    /// Ends entry `id` without warning.
    pub(crate) fn kill(&mut self, id: EntryId) {
        drop(self.take(id));
    }

    /// Tells whether all entries decide about flows.
    pub(crate) fn are_serving(&self) -> bool {
        self.running.iter().all(Entry::is_serving)
    }

    /// Returns the control bytes that each entry has sent, in order of ids.
    pub(crate) fn control_bytes(&self) -> Vec<(EntryId, u64)> {
        let running = self.running.iter().map(|e| (e.id(), e.control_bytes()));
        let mut bytes: Vec<_> = running.chain(self.ended.iter().copied()).collect();
        bytes.sort_unstable();
        bytes
    }

    /// Returns where the entries of `domain` take announcements.
    pub(crate) fn announce_addresses(&self, domain: &Domain) -> Vec<SocketAddr> {
        let here = self.places.iter().filter(|p| p.peer.domain == *domain);
        here.map(|place| place.listen.announce).collect()
    }

    /// Returns where all entries take answers.
    pub(crate) fn tunnel_addresses(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|p| p.listen.tunnel).collect()
    }

    fn take(&mut self, id: EntryId) -> Option<Entry> {
        let i = self.running.iter().position(|entry| entry.id() == id)?;
        let entry = self.running.swap_remove(i);
        self.ended.push((id, entry.control_bytes()));
        Some(entry)
    }

    fn place(&self, id: EntryId) -> &Place {
        &self.places[usize::from(id) - 1]
    }
}

/// Finds free ports for entry `id`.
fn choose_place(site: &Site, id: EntryId) -> Result<Place, CommandError> {
    let any = SocketAddr::from(([127, 0, 1, id as u8], 0));
    let sockets = EntrySockets::bind(&EntryListen {
        fabric: any,
        tunnel: any,
        peer: any,
        announce: any,
        metrics: any,
    })?;
    let listen = sockets.addresses()?;
    let stands_with = if id == JOINER { LEAVER } else { id };
    let domain = &site.domains[usize::from(stands_with - 1) % site.domains.len()];
    let peer = Peer {
        id,
        domain: domain.clone(),
        address: listen.peer,
    };
    Ok(Place { peer, listen })
}
