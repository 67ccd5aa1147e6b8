//! Sums the open flows that the primaries observe at each upstream.
//!
//! See "Balance" in `docs/design/flow-routing.md`.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use indexmap::IndexMap;

use crate::flow_map::UpstreamMap;
use crate::router::{BucketId, Router};
use crate::sync::MAX_QUEUED_OUTPUTS;
use crate::{BucketIndex, Message, Output, UpstreamFlowCount};

/// Interval between two reports of the open flows in this entry's buckets.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which the views must be unchanged before reports are sent; earlier
/// ones would only cost bandwidth.
const REPORT_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time after which a report is ignored.
const REPORT_TIMEOUT: Duration = Duration::from_secs(31);

/// Maximum number of upstreams in one report, so that it fits in one message.
const MAX_REPORTED_UPSTREAMS: usize = 80;

/// Time for which the views of entries and upstreams must be unchanged before
/// open flows correct the weights. Until then their numbers reflect the change,
/// and moves would oscillate.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(20);

/// Minimum mean of open flows per upstream; below it their number is not
/// significant.
const MIN_MEAN_FLOWS: f64 = 20.0;

/// Gain of the correction of an upstream's share by its open flows.
const CORRECTION_GAIN: f64 = 4.0;

/// Minimum and maximum correction factor of an upstream's share. The maximum
/// protects an upstream that has no flows yet from overload.
const CORRECTION_RANGE: (f64, f64) = (0.7, 1.3);

/// The reports of other primaries, and when this entry reports next.
#[derive(Debug)]
pub(crate) struct Loads {
    reports: IndexMap<(EntryId, usize), LoadReport>,
    report_at: Instant,
}

#[derive(Debug)]
struct LoadReport {
    flows: Vec<UpstreamFlowCount>,
    deadline: Instant,
}

impl Loads {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            reports: IndexMap::new(),
            report_at: now + REPORT_INTERVAL,
        }
    }
}

impl Router {
    /// Stores the report of another primary.
    pub(crate) fn handle_load(
        &mut self,
        now: Instant,
        from: EntryId,
        t: usize,
        flows: &[UpstreamFlowCount],
    ) {
        if !self.entries.contains_key(&from) {
            return;
        }
        let report = LoadReport {
            flows: flows.to_vec(),
            deadline: now + REPORT_TIMEOUT,
        };
        self.loads.reports.insert((from, t), report);
    }

    /// Sends this entry's counts of open flows to the other entries, if a
    /// report is due.
    pub(crate) fn report_loads(&mut self, now: Instant) {
        let is_settled = now >= self.view_changed_at + REPORT_SETTLE_TIME;
        if now < self.loads.report_at || !is_settled || !self.sync.is_done() {
            return;
        }
        self.loads.report_at = now + REPORT_INTERVAL;
        self.loads.reports.retain(|_, r| r.deadline > now);
        let others = self.live_peers();
        for t in 0..self.tables.len() {
            let mut flows = self.count_own_flows(t);
            flows.truncate(MAX_REPORTED_UPSTREAMS);
            if flows.is_empty() {
                continue;
            }
            for to in &others {
                let message = Message::Load {
                    service: self.tables[t].id,
                    flows: flows.clone(),
                };
                if self.outputs.len() < MAX_QUEUED_OUTPUTS {
                    self.outputs.push_back(Output::Send { to: *to, message });
                }
            }
        }
    }

    /// Counts the open flows of the buckets that this entry is the primary of.
    fn count_own_flows(&self, t: usize) -> Vec<UpstreamFlowCount> {
        let mut counts: UpstreamMap<u32> = UpstreamMap::default();
        for (index, bucket) in self.tables[t].buckets.iter().enumerate() {
            if !self.is_primary((t, index as BucketIndex) as BucketId) {
                continue;
            }
            for record in bucket.flows.values().filter(|r| r.is_open()) {
                *counts.entry(record.upstream).or_default() += 1;
            }
        }
        let reported = |(upstream, flows)| UpstreamFlowCount {
            id_low: id_low(upstream),
            flows,
        };
        counts.into_iter().map(reported).collect()
    }

    /// Returns the weights of upstreams, corrected by the open flows that all
    /// primaries observe.
    ///
    /// An upstream with more open flows than its share gets fewer new ones.
    pub(crate) fn corrected_weights(
        &self,
        now: Instant,
        t: usize,
        weights: Vec<(UpstreamId, f64)>,
    ) -> Vec<(UpstreamId, f64)> {
        if now < self.view_changed_at + LOAD_SETTLE_TIME {
            return weights;
        }
        let flows = self.count_all_flows(now, t);
        let count = |id: &UpstreamId| flows.get(&id_low(*id)).copied().unwrap_or(0.0);
        let total: f64 = weights.iter().map(|(id, _)| count(id)).sum();
        let sum: f64 = weights.iter().map(|(_, weight)| weight).sum();
        if total < MIN_MEAN_FLOWS * weights.len() as f64 {
            return weights;
        }
        let correct = |(id, weight): (UpstreamId, f64)| {
            let excess = count(&id) / (total * weight / sum) - 1.0;
            let factor =
                (1.0 - CORRECTION_GAIN * excess).clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
            (id, weight * factor)
        };
        weights.into_iter().map(correct).collect()
    }

    fn count_all_flows(&self, now: Instant, t: usize) -> IndexMap<u32, f64> {
        let own = self.count_own_flows(t);
        let reports = self.loads.reports.iter();
        let others = reports
            .filter(|((from, of), r)| {
                *of == t && r.deadline > now && self.entries.contains_key(from)
            })
            .flat_map(|(_, r)| &r.flows);
        let mut flows: IndexMap<u32, f64> = IndexMap::new();
        for reported in own.iter().chain(others) {
            *flows.entry(reported.id_low).or_default() += f64::from(reported.flows);
        }
        flows
    }
}

/// Returns the low half of an upstream's id, which identifies it in reports.
fn id_low(upstream: UpstreamId) -> u32 {
    // The id is a hash, whose low half is as well mixed as the whole.
    upstream as u32
}
