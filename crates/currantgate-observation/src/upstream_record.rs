//! The merged observations of one upstream.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::threshold::Threshold;
use crate::{FleetSettings, Observation, ReporterId};

/// Sums of the observations since the last update.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pending {
    pub(crate) flows: f64,
    slowness_sum: f64,
    /// Time for which these flows alone would have filled all slots, in seconds.
    busy_s: f64,
}

impl Pending {
    /// Returns the mean number of open flows per slot in a period (Little's law).
    pub(crate) fn occupancy(&self, period: Duration) -> f64 {
        self.busy_s / period.as_secs_f64().max(f64::EPSILON)
    }
}

/// Most reports of unanswered first packets that are kept of one upstream, the newest ones.
const MAX_UNANSWERED_REPORTS: usize = 64;

/// First packets of one entry that were not answered.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    reporter: ReporterId,
    count: u8,
    /// Time until which they count.
    until: Instant,
}

/// The merged observations of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRecord {
    /// Mean slowness at the last update, less 1.
    excess: f64,
    pending: Pending,
    /// Time of the last update with new flows.
    pub(crate) updated_at: Instant,
    /// Weight that flows may have until more time has passed.
    weight_left: f64,
    is_slow: bool,
    /// Entries that found the upstream slow, with the time until which this counts.
    findings: Vec<(ReporterId, Instant)>,
    /// Flows that the last update with flows has merged.
    last_flows: f64,
    unanswered: Vec<Unanswered>,
    /// Set while the upstream is unresponsive: the time from which reports of answered
    /// flows show that it answers again.
    answers_count_from: Option<Instant>,
}

impl UpstreamRecord {
    pub(crate) fn new(now: Instant, settings: &FleetSettings) -> Self {
        Self {
            excess: 0.0,
            pending: Pending::default(),
            updated_at: now,
            weight_left: settings.max_burst_weight,
            is_slow: false,
            findings: Vec::new(),
            last_flows: 0.0,
            unanswered: Vec::new(),
            answers_count_from: None,
        }
    }

    /// Returns the mean slowness, which fades without new flows.
    pub(crate) fn slowness(&self, now: Instant, settings: &FleetSettings) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let fade_times = age.as_secs_f64() / settings.fade_time.as_secs_f64();
        1.0 + self.excess * (-fade_times).exp()
    }

    /// Returns the observations since the last update.
    pub(crate) fn pending(&self) -> Pending {
        self.pending
    }

    /// Adds what one entry has observed.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        reporter: ReporterId,
        observation: &Observation,
        settings: &FleetSettings,
    ) {
        let slowness = f64::from(observation.slowness_sum) / f64::from(observation.flows);
        let slowness = slowness.clamp(0.0, settings.max_slowness);
        if slowness >= settings.finding_slowness {
            self.record_finding(now, reporter, settings);
        }
        let flows = f64::from(observation.flows.min(settings.max_flows_per_report));
        self.pending.flows += flows;
        self.pending.slowness_sum += flows * slowness;
        self.pending.busy_s += f64::from(observation.busy_ms) / 1_000.0;
    }

    /// Adds first packets of one entry that were not answered; tells whether the upstream
    /// has become unresponsive.
    ///
    /// That takes several entries, and a part of the flows that the upstream usually gets,
    /// as single packets are lost on the network.
    pub(crate) fn add_unanswered(
        &mut self,
        now: Instant,
        reporter: ReporterId,
        count: u8,
        settings: &FleetSettings,
    ) -> bool {
        self.unanswered.retain(|u| now < u.until);
        self.unanswered.push(Unanswered {
            reporter,
            count,
            until: now + settings.unanswered_lifetime,
        });
        let surplus = self.unanswered.len().saturating_sub(MAX_UNANSWERED_REPORTS);
        self.unanswered.drain(..surplus);
        let reporters: HashSet<_> = self.unanswered.iter().map(|u| u.reporter).collect();
        let packets: f64 = self.unanswered.iter().map(|u| f64::from(u.count)).sum();
        if reporters.len() < settings.min_reporters
            || packets < settings.unanswered_share * self.last_flows
        {
            return false;
        }
        let was_unresponsive = self.answers_count_from.is_some();
        self.answers_count_from = Some(now + settings.answer_delay);
        self.excess = settings.max_slowness - 1.0;
        self.updated_at = now;
        self.is_slow = true;
        !was_unresponsive
    }

    /// Merges the observations of the time since the last update, of length `period`,
    /// into the mean.
    ///
    /// Slowness due to a queue is left out: by Little's law the sum of the durations
    /// gives the number of open flows, and with more of them than slots each one waits
    /// for others, however fast the upstream is.
    pub(crate) fn update(&mut self, now: Instant, period: Duration, settings: &FleetSettings) {
        let pending = std::mem::take(&mut self.pending);
        let flows = pending.flows;
        if flows == 0.0 {
            return;
        }
        self.last_flows = flows;
        let observed = pending.slowness_sum / flows / pending.occupancy(period).max(1.0);
        if let Some(from) = self.answers_count_from
            && observed < settings.finding_slowness
        {
            if now >= from {
                self.answers_count_from = None;
                self.excess = (observed - 1.0).max(0.0);
                self.updated_at = now;
            }
            return;
        }
        let weight = 1.0 - (1.0 - settings.flow_weight).powf(flows);
        let weight = weight.min(self.refill_weight(now, settings));
        self.weight_left -= weight;
        let mean = self.slowness(now, settings) * (1.0 - weight) + observed * weight;
        self.excess = (mean - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Adds the weight for the time since the last update, and returns what is left.
    fn refill_weight(&mut self, now: Instant, settings: &FleetSettings) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let refill = age.as_secs_f64() / settings.averaging_time.as_secs_f64();
        self.weight_left = (self.weight_left + refill).min(settings.max_burst_weight);
        self.weight_left
    }

    /// Records that an entry found the upstream slow. As many findings are kept as
    /// are needed.
    fn record_finding(&mut self, now: Instant, reporter: ReporterId, settings: &FleetSettings) {
        self.findings
            .retain(|(by, until)| *by != reporter && now < *until);
        self.findings
            .push((reporter, now + settings.finding_lifetime));
        let surplus = self.findings.len().saturating_sub(settings.min_reporters);
        self.findings.drain(..surplus);
    }

    /// Returns the slowness if the upstream is slow.
    pub(crate) fn update_slow(
        &mut self,
        now: Instant,
        threshold: Threshold,
        settings: &FleetSettings,
    ) -> Option<f64> {
        let slowness = self.slowness(now, settings);
        let findings = self.findings.iter().filter(|(_, until)| now < *until);
        self.is_slow = if self.is_slow {
            slowness >= threshold.normal_below
        } else {
            slowness >= threshold.slow_above && findings.count() >= settings.min_reporters
        };
        self.is_slow.then_some(slowness)
    }
}
