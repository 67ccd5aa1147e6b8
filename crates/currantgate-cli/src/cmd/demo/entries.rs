//! The entries of the demonstration.

use std::net::SocketAddr;

use currantgate::{Entry, EntrySockets};
use currantgate_config::{Domain, EntryId, EntryListen, EntrySettings, Peer, Site};
use currantgate_standin::{FabricHandle, SprayTarget};

use crate::error::CommandError;

/// Number of entries at the start.
const INITIAL_ENTRIES: EntryId = 8;

/// Id of the entry that joins later, in the failure domain of the one that leaves.
pub(crate) const JOINING_ID: EntryId = 9;

/// Id of the entry that is stopped gracefully.
pub(crate) const LEAVING_ID: EntryId = 8;

/// Id of the entry that is killed.
pub(crate) const KILLED_ID: EntryId = 3;

/// Identity and addresses of an entry, whether it is running or not.
struct EntryConfig {
    peer: Peer,
    listen: EntryListen,
}

/// The entries of the demonstration.
pub(crate) struct Entries {
    site: Site,
    fabric: FabricHandle,
    configs: Vec<EntryConfig>,
    running: Vec<Entry>,
    /// Control bytes sent by the entries that have stopped.
    stopped: Vec<(EntryId, u64)>,
}

impl Entries {
    /// Starts all entries except the one that joins later.
    pub(crate) fn start(site: &Site, fabric: FabricHandle) -> Result<Self, CommandError> {
        let mut configs = Vec::new();
        for id in 1..=JOINING_ID {
            configs.push(allocate_ports(site, id)?);
        }
        let mut entries = Self {
            site: site.clone(),
            fabric,
            configs,
            running: Vec::new(),
            stopped: Vec::new(),
        };
        entries.set_fabric_entries_except(&[]);
        for id in 1..=INITIAL_ENTRIES {
            entries.join(id)?;
        }
        Ok(entries)
    }

    /// Starts entry `id`.
    pub(crate) fn join(&mut self, id: EntryId) -> Result<(), CommandError> {
        let peers = self.configs.iter().map(|config| config.peer.clone());
        let config = self.config(id);
        let settings = EntrySettings {
            id,
            domain: config.peer.domain.clone(),
            site: "demo".into(),
            listen: config.listen.clone(),
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

    /// Sets the entries of the fabric to all except `except`. The fabric also
    /// excludes entries that don't accept connections.
    pub(crate) fn set_fabric_entries_except(&self, except: &[EntryId]) {
        let targets = self
            .configs
            .iter()
            .filter(|config| !except.contains(&config.peer.id))
            .map(|config| SprayTarget {
                address: config.listen.fabric,
                domain: config.peer.domain.clone(),
                check: Some(config.listen.metrics),
            });
        self.fabric.set_entries(targets.collect());
    }

    /// Stops entry `id` gracefully.
    pub(crate) async fn stop(&mut self, id: EntryId) {
        if let Some(entry) = self.remove(id) {
            entry.stop().await;
        }
    }

    /// Drops entry `id` without stopping it, as a crash would.
    pub(crate) fn kill(&mut self, id: EntryId) {
        drop(self.remove(id));
    }

    /// Returns whether all entries are serving flows.
    pub(crate) fn are_serving(&self) -> bool {
        self.running.iter().all(Entry::is_serving)
    }

    /// Returns the number of control bytes sent by each entry, sorted by id.
    pub(crate) fn control_bytes(&self) -> Vec<(EntryId, u64)> {
        let running = self.running.iter().map(|e| (e.id(), e.control_bytes()));
        let mut bytes: Vec<_> = running.chain(self.stopped.iter().copied()).collect();
        bytes.sort_unstable();
        bytes
    }

    /// Returns the announcement addresses of the entries of `domain`.
    pub(crate) fn announce_addresses(&self, domain: &Domain) -> Vec<SocketAddr> {
        let in_domain = self.configs.iter().filter(|p| p.peer.domain == *domain);
        in_domain.map(|config| config.listen.announce).collect()
    }

    /// Returns the addresses on which entries receive packets of upstreams.
    pub(crate) fn tunnel_addresses(&self) -> Vec<SocketAddr> {
        self.configs.iter().map(|p| p.listen.tunnel).collect()
    }

    fn remove(&mut self, id: EntryId) -> Option<Entry> {
        let i = self.running.iter().position(|entry| entry.id() == id)?;
        let entry = self.running.swap_remove(i);
        self.stopped.push((id, entry.control_bytes()));
        Some(entry)
    }

    fn config(&self, id: EntryId) -> &EntryConfig {
        &self.configs[usize::from(id) - 1]
    }
}

/// Selects free ports for entry `id`.
fn allocate_ports(site: &Site, id: EntryId) -> Result<EntryConfig, CommandError> {
    let any = SocketAddr::from(([127, 0, 1, id as u8], 0));
    let sockets = EntrySockets::bind(&EntryListen {
        fabric: any,
        tunnel: any,
        peer: any,
        announce: any,
        metrics: any,
    })?;
    let listen = sockets.addresses()?;
    let same_domain_as = if id == JOINING_ID { LEAVING_ID } else { id };
    let domain = &site.domains[usize::from(same_domain_as - 1) % site.domains.len()];
    let peer = Peer {
        id,
        domain: domain.clone(),
        address: listen.peer,
    };
    Ok(EntryConfig { peer, listen })
}
