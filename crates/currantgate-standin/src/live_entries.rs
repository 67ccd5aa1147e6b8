//! Which entries an upstream can send answers by.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Silence after which an entry gets no more answers.
const HEARD_FOR: Duration = Duration::from_secs(2);

/// The entries that packets came from lately.
///
/// It stands for the network between upstreams and entries, which takes an
/// answer to any entry that is alive.
#[derive(Debug)]
pub(crate) struct Heard {
    first: Vec<SocketAddr>,
    deadlines: IndexMap<SocketAddr, Instant>,
}

impl Heard {
    /// Returns a set that falls back on `first` until a packet has come.
    pub(crate) fn new(first: Vec<SocketAddr>) -> Self {
        Self {
            first,
            deadlines: IndexMap::new(),
        }
    }

    /// Notes that a packet came from `entry`.
    pub(crate) fn note(&mut self, now: Instant, entry: SocketAddr) {
        self.deadlines.insert(entry, now + HEARD_FOR);
    }

    /// Returns the entry that the random number `draw` falls on.
    pub(crate) fn choose(&mut self, now: Instant, draw: usize) -> Option<SocketAddr> {
        self.deadlines.retain(|_, deadline| *deadline > now);
        if self.deadlines.is_empty() {
            return self.first.get(draw % self.first.len().max(1)).copied();
        }
        let i = draw % self.deadlines.len();
        self.deadlines.get_index(i).map(|(entry, _)| *entry)
    }
}
