//! Which entries the fabric sprays over.

use std::collections::HashMap;
use std::net::SocketAddr;

use currantgate_config::Domain;

use crate::SprayTarget;

/// The entries that the fabric knows and those that it sprays over.
#[derive(Debug, Default)]
pub(crate) struct Spray {
    targets: Vec<SprayTarget>,
    healthy: HashMap<SocketAddr, bool>,
    live: Vec<SocketAddr>,
    isolated_domain: Option<Domain>,
}

impl Spray {
    /// Sets the entries; what is known of their health stays.
    pub(crate) fn set_targets(&mut self, targets: Vec<SprayTarget>) {
        self.targets = targets;
        self.choose_live();
    }

    /// Notes whether the entry with this check address accepts connections.
    pub(crate) fn set_healthy(&mut self, check: SocketAddr, healthy: bool) {
        let target = self.targets.iter().find(|t| t.check == Some(check));
        let healthy = healthy && target.is_some_and(|t| !self.is_isolated(t.address));
        if self.healthy.insert(check, healthy) != Some(healthy) {
            self.choose_live();
        }
    }

    /// Cuts a failure domain off, in place of the one that was.
    pub(crate) fn set_isolated_domain(&mut self, domain: Option<Domain>) {
        self.isolated_domain = domain;
    }

    /// Tells whether the entry at `address` is cut off.
    pub(crate) fn is_isolated(&self, address: SocketAddr) -> bool {
        let isolated = |target: &SprayTarget| Some(&target.domain) == self.isolated_domain.as_ref();
        let found = self.targets.iter().find(|t| t.address == address);
        found.is_some_and(isolated)
    }

    /// Returns the addresses to check.
    pub(crate) fn checks(&self) -> Vec<SocketAddr> {
        self.targets.iter().filter_map(|t| t.check).collect()
    }

    /// Returns where packets go.
    pub(crate) fn live(&self) -> &[SocketAddr] {
        &self.live
    }

    fn choose_live(&mut self) {
        let passes = |target: &&SprayTarget| {
            target
                .check
                .is_none_or(|check| self.healthy.get(&check).copied().unwrap_or(false))
        };
        self.live = self
            .targets
            .iter()
            .filter(passes)
            .map(|target| target.address)
            .collect();
    }
}
