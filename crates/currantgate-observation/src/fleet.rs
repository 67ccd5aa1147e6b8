//! Observations of many entries, merged.

use std::hash::{Hash as _, Hasher as _};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::threshold::Threshold;
use crate::upstream_record::UpstreamRecord;
use crate::{FleetSettings, Observation, SlowUpstream, UpstreamKey};

/// Identifies an entry, the same whenever it connects.
pub type ReporterId = u64;

/// Returns the id of the entry with the given name.
pub fn reporter_id(name: &str) -> ReporterId {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Observations of many entries, merged with their age.
///
/// It answers the load of large fleets, in which an upstream gets some flows a second
/// of all entries together but one a minute of each: an upstream that is slow, fails
/// what it accepts or answers no first packets is found by all of them within its
/// first few flows. An entry that sees others as slow alone, as its own link is bad
/// or it is cut off, changes nothing.
#[derive(Clone, Debug)]
pub struct FleetObservations {
    settings: FleetSettings,
    upstreams: IndexMap<UpstreamKey, UpstreamRecord>,
    updated_at: Instant,
    /// Slow upstreams at the last update.
    slow: Vec<SlowUpstream>,
}

impl FleetObservations {
    /// Returns an empty state.
    pub fn new(now: Instant, settings: FleetSettings) -> Self {
        Self {
            settings,
            upstreams: IndexMap::new(),
            updated_at: now,
            slow: Vec::new(),
        }
    }

    /// Adds the report of an entry.
    ///
    /// Observations without flows or with a sum that is no number are ignored.
    pub fn record(&mut self, now: Instant, reporter: ReporterId, report: &[Observation]) {
        for observation in report {
            if observation.flows == 0 || !observation.slowness_sum.is_finite() {
                continue;
            }
            let is_known = self.upstreams.contains_key(&observation.key);
            if !is_known && self.upstreams.len() >= self.settings.max_upstreams {
                continue;
            }
            let record = self.upstreams.entry(observation.key);
            let record = record.or_insert_with(|| UpstreamRecord::new(now, &self.settings));
            record.add(now, reporter, observation, &self.settings);
        }
    }

    /// Merges the reports since the last update when the next one is due, and returns
    /// the slow upstreams by key. Those without recent flows are forgotten.
    pub fn slow_upstreams(&mut self, now: Instant) -> &[SlowUpstream] {
        if now >= self.updated_at + self.settings.update_interval {
            let period = now - self.updated_at;
            self.updated_at = now;
            self.update(now, period);
        }
        &self.slow
    }

    fn update(&mut self, now: Instant, period: Duration) {
        let settings = &self.settings;
        let load = self.load(period);
        for record in self.upstreams.values_mut() {
            record.update(now, period, settings);
        }
        self.upstreams
            .retain(|_, record| now < record.updated_at + settings.forget_after);
        let records = self.upstreams.values();
        let slownesses: Vec<_> = records.map(|r| r.slowness(now, settings)).collect();
        let threshold = Threshold::new(&slownesses, load, settings);
        let mut slow: Vec<_> = self
            .upstreams
            .iter_mut()
            .filter_map(|(key, record)| Some((*key, record.update_slow(now, threshold, settings)?)))
            .collect();
        slow.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        slow.truncate(settings.max_listed);
        slow.sort_by_key(|(key, _)| *key);
        let listed = slow.into_iter().map(|(key, slowness)| SlowUpstream {
            key,
            slowness: slowness.round().clamp(2.0, 255.0) as u8,
        });
        self.slow = listed.collect();
    }

    /// Returns the share of slots in use since the last update, as a mean weighted by
    /// the upstreams' flows.
    fn load(&self, period: Duration) -> f64 {
        let records = self.upstreams.values();
        let pending: Vec<_> = records.map(|record| record.pending()).collect();
        let flows: f64 = pending.iter().map(|pending| pending.flows).sum();
        let busy = pending.iter().map(|p| p.occupancy(period) * p.flows);
        busy.sum::<f64>() / flows.max(1.0)
    }
}
