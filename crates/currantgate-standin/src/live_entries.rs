//! The entries through which an upstream can send packets to callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after an entry's last packet during which it is considered alive.
const LIVE_FOR: Duration = Duration::from_secs(2);

/// The entries from which packets were received recently.
///
/// It simulates the network between upstreams and entries, which routes a
/// packet to any entry that is alive.
#[derive(Debug)]
pub(crate) struct LiveEntries {
    fallback: Vec<SocketAddr>,
    deadlines: IndexMap<SocketAddr, Instant>,
}

impl LiveEntries {
    /// Creates a set that falls back to the entries `fallback` while no entry is alive.
    pub(crate) fn new(fallback: Vec<SocketAddr>) -> Self {
        Self {
            fallback,
            deadlines: IndexMap::new(),
        }
    }

    /// Records that a packet was received from `entry`.
    pub(crate) fn record_packet(&mut self, now: Instant, entry: SocketAddr) {
        self.deadlines.insert(entry, now + LIVE_FOR);
    }

    /// Returns the entry selected by the random number `random`.
    pub(crate) fn choose(&mut self, now: Instant, random: usize) -> Option<SocketAddr> {
        self.deadlines.retain(|_, deadline| *deadline > now);
        if self.deadlines.is_empty() {
            return self
                .fallback
                .get(random % self.fallback.len().max(1))
                .copied();
        }
        let i = random % self.deadlines.len();
        self.deadlines.get_index(i).map(|(entry, _)| *entry)
    }
}
