//! When an entry reports its open flows in evacuated failure domains.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::evacuated_flows::EvacuatedFlows;

/// Shortest interval between two reports, which limits the bytes of control while the
/// number of flows changes all the time.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The reports that an entry has sent to control VMs, which decide when it sends the next.
#[derive(Debug)]
pub struct FlowReports {
    /// The last report on each open feed.
    sent: IndexMap<SocketAddr, EvacuatedFlows>,
    due_at: Instant,
}

impl FlowReports {
    /// Returns a state without reports.
    pub fn new(now: Instant) -> Self {
        Self {
            sent: IndexMap::new(),
            due_at: now,
        }
    }

    /// Returns whether the flows are to be counted again.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }

    /// Returns which of the connected control VMs to send `report` to now, and records it as
    /// sent to them: those that have no report from this feed, or a different one.
    pub fn take_due(
        &mut self,
        now: Instant,
        report: &EvacuatedFlows,
        connected: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.due_at = now + MIN_INTERVAL;
        let due: Vec<_> = connected
            .filter(|to| self.sent.get(to) != Some(report))
            .collect();
        self.sent.extend(due.iter().map(|to| (*to, report.clone())));
        due
    }

    /// Forgets what was sent to a control VM, after a report could not be sent or the feed
    /// was lost.
    pub fn remove(&mut self, to: SocketAddr) {
        self.sent.swap_remove(&to);
    }
}
