//! Observations of many entries, merged.

use std::hash::{Hash as _, Hasher as _};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use indexmap::map::Entry;
use siphasher::sip::SipHasher13;

use crate::threshold::Threshold;
use crate::upstream_record::UpstreamRecord;
use crate::{FleetSettings, Observation, SlowUpstream, UnansweredPackets, UpstreamKey};

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
/// It is for the load of large fleets, in which an upstream gets a few flows a second
/// from all entries together but about one a minute from each. An upstream that is
/// slow, fails requests or does not answer first packets is detected within its first
/// few flows. Observations of a single entry are not sufficient, as its own link may be
/// bad or it may be cut off.
#[derive(Clone, Debug)]
pub struct FleetObservations {
    settings: FleetSettings,
    upstreams: IndexMap<UpstreamKey, UpstreamRecord>,
    updated_at: Instant,
    /// Threshold of the last update.
    threshold: Threshold,
    /// Whether an upstream was found unresponsive since the last list.
    is_list_outdated: bool,
    /// Time before which no further list is made between two updates.
    next_list_at: Instant,
    /// Slow upstreams at the last list, replaced only when they change.
    slow: Rc<[SlowUpstream]>,
}

impl FleetObservations {
    /// Returns an empty state.
    pub fn new(now: Instant, settings: FleetSettings) -> Self {
        Self {
            threshold: Threshold::new(&[], 0.0, &settings),
            settings,
            upstreams: IndexMap::new(),
            updated_at: now,
            is_list_outdated: false,
            next_list_at: now,
            slow: Rc::default(),
        }
    }

    /// Replaces the settings. What was observed before is kept.
    pub fn set_settings(&mut self, settings: FleetSettings) {
        self.settings = settings;
    }

    /// Adds the report of an entry.
    ///
    /// Observations without flows or with a sum that is no number are ignored.
    pub fn record(&mut self, now: Instant, reporter: ReporterId, report: &[Observation]) {
        for observation in report {
            if observation.flows == 0 || !observation.slowness_sum.is_finite() {
                continue;
            }
            let settings = &self.settings;
            if let Some(record) = record_of(&mut self.upstreams, now, observation.key, settings) {
                record.add(now, reporter, observation, settings);
            }
        }
    }

    /// Adds an entry's report of first packets that were not answered for some time. Those that
    /// are retransmitted are part of its next report of observations, too.
    ///
    /// An upstream that several entries find unresponsive gets the highest slowness at
    /// once, without waiting for the next merge.
    pub fn record_unanswered(
        &mut self,
        now: Instant,
        reporter: ReporterId,
        report: &[UnansweredPackets],
    ) {
        let settings = &self.settings;
        for packets in report {
            let record = record_of(&mut self.upstreams, now, packets.key, settings);
            let is_unresponsive =
                record.is_some_and(|r| r.add_unanswered(now, reporter, packets.count, settings));
            self.is_list_outdated |= is_unresponsive;
        }
    }

    /// Merges the reports since the last update when the next one is due, and returns
    /// the slow upstreams by key. Those without recent flows are forgotten.
    ///
    /// While nothing has changed, the same allocation is returned.
    pub fn slow_upstreams(&mut self, now: Instant) -> Rc<[SlowUpstream]> {
        if now >= self.updated_at + self.settings.update_interval {
            let period = now - self.updated_at;
            self.updated_at = now;
            self.update(now, period);
        } else if self.is_list_outdated && now >= self.next_list_at {
            self.update_list(now);
        }
        Rc::clone(&self.slow)
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
        self.threshold = Threshold::new(&slownesses, load, settings);
        self.update_list(now);
    }

    fn update_list(&mut self, now: Instant) {
        let settings = &self.settings;
        let threshold = self.threshold;
        self.is_list_outdated = false;
        self.next_list_at = now + settings.min_list_interval;
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
        let listed: Rc<[_]> = listed.collect();
        if listed != self.slow {
            self.slow = listed;
        }
    }

    /// Returns the share of slots in use since the last update, as a mean weighted by
    /// the upstreams' flows.
    fn load(&self, period: Duration) -> f64 {
        let pending = self.upstreams.values().map(UpstreamRecord::pending);
        let (flows, weighted) = pending.fold((0.0, 0.0), |(flows, weighted), pending| {
            let occupancy = pending.occupancy(period);
            (flows + pending.flows, weighted + occupancy * pending.flows)
        });
        weighted / f64::max(flows, 1.0)
    }
}

/// Returns the record of an upstream, a new one if there is none; nothing if there are too
/// many.
fn record_of<'a>(
    upstreams: &'a mut IndexMap<UpstreamKey, UpstreamRecord>,
    now: Instant,
    key: UpstreamKey,
    settings: &FleetSettings,
) -> Option<&'a mut UpstreamRecord> {
    let is_full = upstreams.len() >= settings.max_upstreams;
    match upstreams.entry(key) {
        Entry::Vacant(_) if is_full => None,
        entry => Some(entry.or_insert_with(|| UpstreamRecord::new(now, settings))),
    }
}
