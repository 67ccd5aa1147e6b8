//! Admission control: which new flows a service takes under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ended_flow::EndedFlow;
use crate::flow_window::FlowWindow;
use crate::sliding_window::SlidingWindow;
use crate::{AdmissionSettings, Overload, PlacementRequest, Priority};

/// Stands in for the duration of a flow that its upstream refused, as that says
/// nothing about the duration of flows that are served.
const REFUSED: Duration = Duration::MAX;

/// Statistics of a service's flows within the sample window.
#[derive(Clone, Copy, Debug)]
struct FlowStats {
    /// Requested flows, refused ones included; retransmissions are left out.
    arrivals: f64,
    /// Ended flows that the upstream served rather than refused.
    completions: f64,
    /// Median duration of the ended flows.
    median_duration: Duration,
}

impl FlowStats {
    /// Returns the next baseline duration: a shorter median replaces the baseline at
    /// once, a longer one moves it by a small weight.
    fn next_baseline(&self, baseline: Duration, settings: &AdmissionSettings) -> Duration {
        if self.median_duration <= baseline {
            return self.median_duration;
        }
        if self.median_duration == REFUSED {
            return baseline;
        }
        let is_late = self.median_duration > baseline.mul_f64(settings.late_baseline_factor);
        let weight = if is_late {
            settings.baseline_weight_when_late
        } else {
            settings.baseline_weight
        };
        baseline + (self.median_duration - baseline).mul_f64(weight)
    }
}

/// Flows of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityClass {
    /// Number of open flows.
    open: u32,
    /// Latency target of the last request.
    latency_target: Duration,
}

/// Admission control for one service, based on the flows of this entry alone. See
/// `docs/design/admission.md`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    classes: BTreeMap<Priority, PriorityClass>,
    arrivals: SlidingWindow<()>,
    /// Durations of the flows that ended.
    durations: SlidingWindow<Duration>,
    stats: Option<FlowStats>,
    /// Time of the next update of `stats`; the first one follows a full window.
    next_update: Option<Instant>,
    /// Baseline of the median flow duration.
    baseline: Option<Duration>,
    /// Open flows from which new ones wait or are refused.
    window: FlowWindow,
}

impl Admission {
    /// Counts a flow as open.
    pub(crate) fn record_open(&mut self, priority: Priority) {
        self.classes.entry(priority).or_default().open += 1;
    }

    /// Returns the number of open flows of the same or a higher priority.
    pub(crate) fn competing_flows(&self, priority: Priority) -> u32 {
        let classes = self.classes.range(..=priority);
        classes.map(|(_, class)| class.open).sum()
    }

    /// Returns the requested flows, refused and returning ones included, relative to those
    /// that are or were served; 0 while there are too few samples.
    pub(crate) fn load(&self) -> f64 {
        let open = f64::from(self.open_flows());
        self.stats.map_or(0.0, |stats| {
            stats.arrivals / (stats.completions + open).max(1.0)
        })
    }

    /// Returns the number of flows of the same or a higher priority from which new flows
    /// wait or are refused; nothing while flows are not limited.
    pub(crate) fn flow_limit(
        &self,
        request: &PlacementRequest<'_>,
        settings: &AdmissionSettings,
    ) -> Option<f64> {
        self.stats?;
        if !settings.is_enabled || self.are_flows_kept_open(request.latency_target, settings) {
            return None;
        }
        let size = self.window_size(settings);
        Some(if request.priority.is_idempotent {
            size
        } else {
            settings.window.run_once_factor * size
        })
    }

    /// Returns the number of flows that may be open.
    pub(crate) fn window_size(&self, settings: &AdmissionSettings) -> f64 {
        self.window.size(&settings.window)
    }

    /// Returns the number of open flows from which flows wait that can't be answered within
    /// their latency target any more; nothing while these are not limited. It holds for an
    /// entry that has just started, too.
    pub(crate) fn late_flow_limit(
        &self,
        latency_target: Duration,
        settings: &AdmissionSettings,
    ) -> Option<f64> {
        let is_limited = !self.are_flows_kept_open(latency_target, settings);
        is_limited.then(|| settings.window.late_part * self.window_size(settings))
    }

    /// Tells whether callers keep flows open on purpose, as far as that is known.
    fn are_flows_kept_open(&self, latency_target: Duration, settings: &AdmissionSettings) -> bool {
        let longest = latency_target.mul_f64(settings.kept_open_factor);
        self.baseline.is_some_and(|baseline| baseline > longest)
    }

    /// Returns the number of open flows.
    pub(crate) fn open_flows(&self) -> u32 {
        self.classes.values().map(|class| class.open).sum()
    }

    /// Counts a flow as closed without a sample of its duration.
    pub(crate) fn record_cancel(&mut self, priority: Priority) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.open = class.open.saturating_sub(1);
        }
    }

    /// Counts a flow as closed and records its duration; tells whether it was late or
    /// refused by its upstream.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        flow: &EndedFlow,
        settings: &AdmissionSettings,
    ) -> bool {
        let EndedFlow {
            priority, duration, ..
        } = *flow;
        let open = self.open_flows();
        self.record_cancel(priority);
        self.durations.push(now, duration, settings.max_samples);
        let class = self.classes.get(&priority).copied().unwrap_or_default();
        let baseline = self.baseline.unwrap_or_default();
        let is_refused = duration < baseline.mul_f64(settings.refused_baseline_factor);
        let is_late = duration > duration_bound(class.latency_target, baseline, settings);
        let is_late_or_refused = is_late || is_refused;
        if !flow.is_at_slow_upstream {
            self.window
                .record_end(open, is_late_or_refused, &settings.window);
        }
        is_late_or_refused
    }

    /// Returns the duration that flows of single upstreams are compared with: the
    /// baseline or, if longer, the current median. Returns nothing while there are
    /// too few samples.
    ///
    /// Under overload the median rises at all upstreams, so that an upstream with a
    /// long queue does not count as slower than the others.
    pub(crate) fn reference_duration(&self) -> Option<Duration> {
        let median = self.stats.map(|stats| stats.median_duration);
        let median = median.filter(|median| *median != REFUSED)?;
        self.baseline.map(|baseline| baseline.max(median))
    }

    /// Counts the arrival of a request, and returns the overload that prevents the
    /// admission of its flow, if any.
    ///
    /// A flow competes only with those of its own and of higher priority, so that flows of
    /// higher priority are admitted first.
    pub(crate) fn check_overload(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        settings: &AdmissionSettings,
    ) -> Option<Overload> {
        if request.may_refuse {
            self.arrivals.push(now, (), settings.max_samples);
        }
        self.update_stats(now, settings);
        let class = self.classes.entry(request.priority).or_default();
        class.latency_target = request.latency_target;
        let flow_limit = self.flow_limit(request, settings)? as u32;
        let competing_flows = self.competing_flows(request.priority);
        (competing_flows >= flow_limit).then_some(Overload {
            competing_flows,
            flow_limit,
            median_duration: self.stats?.median_duration,
        })
    }

    /// Updates the statistics and the baseline when an update is due.
    fn update_stats(&mut self, now: Instant, settings: &AdmissionSettings) {
        if now < *self.next_update.get_or_insert(now + settings.sample_window) {
            return;
        }
        self.next_update = Some(now + settings.update_interval);
        self.arrivals.evict_expired(now, settings.sample_window);
        self.durations.evict_expired(now, settings.sample_window);
        self.stats = self.compute_stats(now, settings);
        if let Some(stats) = self.stats {
            self.baseline = Some(self.next_baseline(&stats, settings));
        }
    }

    /// Returns the next baseline duration.
    fn next_baseline(&self, stats: &FlowStats, settings: &AdmissionSettings) -> Duration {
        let baseline = self.baseline.unwrap_or(stats.median_duration);
        let is_longer = stats.median_duration > baseline && stats.median_duration != REFUSED;
        if is_longer && self.window.is_minimal(&settings.window) {
            let weight = settings.baseline_weight_when_minimal;
            return baseline + (stats.median_duration - baseline).mul_f64(weight);
        }
        stats.next_baseline(baseline, settings)
    }

    /// Returns the statistics of the current window; nothing when it holds fewer than
    /// `min_samples` ended flows.
    fn compute_stats(&self, now: Instant, settings: &AdmissionSettings) -> Option<FlowStats> {
        if self.durations.len() < settings.min_samples {
            return None;
        }
        let baseline = self.baseline.unwrap_or_default();
        let refused_below = baseline.mul_f64(settings.refused_baseline_factor);
        // A flow that ended far too early was refused, which is no sign of speed.
        let classify = |duration| {
            if duration < refused_below {
                REFUSED
            } else {
                duration
            }
        };
        let mut durations: Vec<Duration> = self.durations.events().map(classify).collect();
        let served = durations.iter().filter(|time| **time < REFUSED).count();
        let middle = durations.len() / 2;
        let (_, median, _) = durations.select_nth_unstable(middle);
        let window = settings.sample_window;
        let served_share = served as f64 / self.durations.len() as f64;
        Some(FlowStats {
            arrivals: self.arrivals.estimated_count(now, window),
            completions: self.durations.estimated_count(now, window) * served_share,
            median_duration: *median,
        })
    }
}

/// Returns the longest duration that does not count as late.
fn duration_bound(
    latency_target: Duration,
    baseline: Duration,
    settings: &AdmissionSettings,
) -> Duration {
    let bound = latency_target.mul_f64(settings.late_target_factor);
    if baseline.is_zero() {
        return bound;
    }
    let shortest = baseline.mul_f64(settings.late_baseline_factor);
    let longest = baseline.mul_f64(settings.long_queue_factor);
    bound.clamp(shortest, longest)
}
