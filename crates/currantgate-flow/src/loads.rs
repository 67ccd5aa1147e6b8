//! Adds up the open flows that the primaries see at each upstream.
//!
//! See "Balance" in `docs/design/flow-routing.md`.

use std::time::{Duration, Instant};

use currantgate_config::{EntryId, UpstreamId};
use indexmap::IndexMap;

use crate::flow_map::UpstreamMap;
use crate::router::{BucketId, Router};
use crate::sync::MAX_QUEUED_OUTPUTS;
use crate::{BucketIndex, Message, Output, UpstreamFlowCount};

/// Time between two reports of the flows that this entry keeps.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which the views must rest before a report is worth its bytes.
const REPORT_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time after which a report no longer counts.
const REPORT_TIMEOUT: Duration = Duration::from_secs(31);

/// Upstreams in one report, so that it fits one message.
const MAX_REPORTED_UPSTREAMS: usize = 80;

/// Time for which the views of entries and upstreams must rest before open
/// flows count: until then they tell of the change, and moves would follow it
/// to and fro.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(20);

/// Open flows for each upstream below which their number tells nothing.
const MIN_MEAN_FLOWS: f64 = 20.0;

/// How strongly an upstream's share answers to its open flows.
const CORRECTION_GAIN: f64 = 4.0;

/// The least and the most that observation makes of an upstream's share. The
/// most keeps an upstream that has no flows yet from being overrun.
const CORRECTION_RANGE: (f64, f64) = (0.7, 1.3);

/// What other primaries report, and when this one does next.
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
    /// Takes what another primary sees.
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

    /// Tells the other entries what this primary sees.
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

    /// Counts the open flows of the buckets that this entry keeps.
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

    /// Returns the weights of upstreams, corrected by the flows that all
    /// primaries see at them.
    ///
    /// An upstream that holds more than its part gets less of what is new.
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

/// Returns the part of an upstream's id that names it in reports.
fn id_low(upstream: UpstreamId) -> u32 {
    // The low half is as well mixed as the whole.
    upstream as u32
}
