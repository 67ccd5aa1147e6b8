//! Which entries the fabric sprays over.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::SprayTarget;

/// The entries that the fabric knows and those that it sprays over.
#[derive(Debug, Default)]
pub(crate) struct Spray {
    targets: Vec<SprayTarget>,
    healthy: HashMap<SocketAddr, bool>,
    live: Vec<SocketAddr>,
}

impl Spray {
    /// Sets the entries; what is known of their health stays.
    pub(crate) fn set_targets(&mut self, targets: Vec<SprayTarget>) {
        self.targets = targets;
        self.choose_live();
    }

    /// Notes whether the entry with this check address accepts connections.
    pub(crate) fn set_healthy(&mut self, check: SocketAddr, healthy: bool) {
        if self.healthy.insert(check, healthy) != Some(healthy) {
            self.choose_live();
        }
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
