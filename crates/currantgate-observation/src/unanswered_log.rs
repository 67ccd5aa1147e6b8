//! First packets of one entry that were not answered, until it reports them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::UpstreamKey;

/// Least time between two reports of unanswered first packets. When many upstreams stop
/// answering, each report lists several of them, so that the headers of packets stay a
/// small part of the traffic.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Most upstreams in one report, which bounds it to 200 bytes.
const MAX_REPORTED: usize = 32;

/// First packets that an upstream left unanswered since its entry's last such report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredPackets {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of first packets.
    pub count: u8,
}

/// First packets of one entry that were not answered, until it reports them.
///
/// They are reported soon, apart from other observations: an upstream that does not answer
/// delays each of its flows by the time after which callers retransmit.
#[derive(Clone, Debug, Default)]
pub struct UnansweredLog {
    counts: IndexMap<UpstreamKey, u8>,
    next_report_at: Option<Instant>,
}

impl UnansweredLog {
    /// Records a first packet that an upstream has left unanswered. Those of further
    /// upstreams are left out once a report is full.
    pub fn record(&mut self, key: UpstreamKey) {
        if self.counts.len() < MAX_REPORTED || self.counts.contains_key(&key) {
            let count = self.counts.entry(key).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Returns when the next report is due, at or before `now` if it is due at once;
    /// nothing while there is nothing to report.
    pub fn due_at(&self, now: Instant) -> Option<Instant> {
        (!self.counts.is_empty()).then(|| self.next_report_at.unwrap_or(now))
    }

    /// Returns the report, and starts the next one.
    pub fn take(&mut self, now: Instant) -> Vec<UnansweredPackets> {
        self.next_report_at = Some(now + MIN_REPORT_INTERVAL);
        let counts = self.counts.drain(..);
        counts
            .map(|(key, count)| UnansweredPackets { key, count })
            .collect()
    }
}
