//! The entries of a fabric and their health.

use std::collections::HashMap;
use std::net::SocketAddr;

use currantgate_config::Domain;

use crate::SprayTarget;

/// The entries of a fabric, and those of them that receive packets.
#[derive(Debug, Default)]
pub(crate) struct EntryPool {
    targets: Vec<SprayTarget>,
    health: HashMap<SocketAddr, bool>,
    healthy_entries: Vec<SocketAddr>,
    isolated_domain: Option<Domain>,
}

impl EntryPool {
    /// Sets the entries and keeps the results of earlier health checks.
    pub(crate) fn set_targets(&mut self, targets: Vec<SprayTarget>) {
        self.targets = targets;
        self.update_healthy_entries();
    }

    /// Records the result of the health check of the address `check`.
    pub(crate) fn set_healthy(&mut self, check: SocketAddr, healthy: bool) {
        let target = self.targets.iter().find(|t| t.check == Some(check));
        let healthy = healthy && target.is_some_and(|t| !self.is_isolated(t.address));
        if self.health.insert(check, healthy) != Some(healthy) {
            self.update_healthy_entries();
        }
    }

    /// Isolates a failure domain, in place of the one isolated before.
    pub(crate) fn set_isolated_domain(&mut self, domain: Option<Domain>) {
        self.isolated_domain = domain;
    }

    /// Returns whether the entry at `address` is in the isolated failure domain.
    pub(crate) fn is_isolated(&self, address: SocketAddr) -> bool {
        let isolated = |target: &SprayTarget| Some(&target.domain) == self.isolated_domain.as_ref();
        let found = self.targets.iter().find(|t| t.address == address);
        found.is_some_and(isolated)
    }

    /// Returns the addresses for health checks.
    pub(crate) fn check_addresses(&self) -> Vec<SocketAddr> {
        self.targets.iter().filter_map(|t| t.check).collect()
    }

    /// Returns the addresses of the entries that receive packets.
    pub(crate) fn healthy_entries(&self) -> &[SocketAddr] {
        &self.healthy_entries
    }

    fn update_healthy_entries(&mut self) {
        let is_healthy = |target: &&SprayTarget| {
            target
                .check
                .is_none_or(|check| self.health.get(&check).copied().unwrap_or(false))
        };
        self.healthy_entries = self
            .targets
            .iter()
            .filter(is_healthy)
            .map(|target| target.address)
            .collect();
    }
}
