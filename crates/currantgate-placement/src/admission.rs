//! Admission control: which new flows a service takes under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::sliding_window::SlidingWindow;
use crate::{AdmissionSettings, Overload, PlacementRequest, Priority};

/// Stands in for the duration of a flow that its upstream refused, as that says
/// nothing about the duration of flows that are served.
const REFUSED: Duration = Duration::MAX;

/// Statistics of a service's flows within the sample window.
#[derive(Clone, Copy, Debug)]
struct FlowStats {
    /// Requested flows, refused ones and retransmissions included.
    arrivals: f64,
    /// Ended flows that the upstream served rather than refused.
    completions: f64,
    /// Median duration of the ended flows.
    median_duration: Duration,
}

impl FlowStats {
    /// Tells whether arrivals exceed completions by more than the random variation
    /// of two equal rates.
    fn is_growing(&self, settings: &AdmissionSettings) -> bool {
        let std_dev = (self.arrivals + self.completions).sqrt();
        self.arrivals > self.completions + settings.growth_std_devs * std_dev
    }

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

/// State of the flows of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityClass {
    /// Number of open flows.
    open: u32,
    /// Start of the current period in which the median duration is above the bound.
    late_since: Option<Instant>,
    /// Start of the current period in which arrivals exceed completions as well.
    growing_since: Option<Instant>,
    /// Time until which the flow limit applies to new flows.
    limited_until: Option<Instant>,
}

impl PriorityClass {
    /// Updates the overload state and tells whether the flow limit applies to new
    /// flows. `bound` is the longest acceptable median duration.
    fn update_limited(
        &mut self,
        now: Instant,
        stats: &FlowStats,
        bound: Duration,
        baseline: Duration,
        settings: &AdmissionSettings,
    ) -> bool {
        let was_limited = self.limited_until.is_some_and(|until| now < until);
        let is_overloaded = if was_limited {
            // The limit keeps the median duration near the bound. A median below half
            // of the way from the baseline to the bound shows that the limit no
            // longer determines it.
            stats.median_duration > (baseline + bound) / 2 && stats.arrivals > stats.completions
        } else {
            let is_late = stats.median_duration > bound;
            let growing_since = track_since(
                &mut self.growing_since,
                now,
                is_late && stats.is_growing(settings),
            );
            let late_since = track_since(&mut self.late_since, now, is_late);
            growing_since.is_some_and(|at| now >= at + settings.overload_after_growth)
                || late_since.is_some_and(|at| now >= at + settings.overload_after_late)
        };
        if is_overloaded {
            self.limited_until = Some(now + settings.limit_duration);
        }
        was_limited || is_overloaded
    }
}

/// Admission control for one service, based on the flows of this entry alone. See
/// `docs/design/placement.md#more-than-can-be-served`.
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
    /// Decaying maximum of the completions within a window.
    capacity: f64,
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

    /// Counts a flow as closed and records its duration.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        priority: Priority,
        duration: Duration,
        max_samples: usize,
    ) {
        self.record_cancel(priority);
        self.durations.push(now, duration, max_samples);
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
    /// A service is overloaded when the median duration of its flows is above the
    /// bound and either arrivals exceed completions or the state persists. A backlog
    /// that only has to drain, as after an outage, is no overload. The flow limit
    /// under overload is the number that the service completes within the acceptable
    /// duration (Little's law); flows of higher priority are admitted first.
    pub(crate) fn check_overload(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        settings: &AdmissionSettings,
    ) -> Option<Overload> {
        self.arrivals.push(now, (), settings.max_samples);
        self.update_stats(now, settings);
        let stats = self.stats?;
        let baseline = self.baseline.unwrap_or_default();
        let bound = duration_bound(request.latency_target, baseline, settings);
        let class = self.classes.entry(request.priority).or_default();
        if !class.update_limited(now, &stats, bound, baseline, settings) {
            return None;
        }
        let competing_flows = self.competing_flows(request.priority);
        // `spare_flows` is the same for all entries, so that an entry with few flows
        // gains on those with many.
        let windows = (baseline + bound).as_secs_f64() / 2.0 / settings.sample_window.as_secs_f64();
        let flow_limit = settings.spare_flows + (self.capacity * windows) as u32;
        (competing_flows >= flow_limit).then_some(Overload {
            competing_flows,
            flow_limit,
            median_duration: stats.median_duration,
        })
    }

    /// Updates the statistics, the capacity and the baseline when an update is due.
    fn update_stats(&mut self, now: Instant, settings: &AdmissionSettings) {
        if now < *self.next_update.get_or_insert(now + settings.sample_window) {
            return;
        }
        self.next_update = Some(now + settings.update_interval);
        self.arrivals.evict_expired(now, settings.sample_window);
        self.durations.evict_expired(now, settings.sample_window);
        self.stats = self.compute_stats(now, settings);
        let completions = self.stats.map_or(0.0, |stats| stats.completions);
        self.capacity = completions.max(self.capacity * (1.0 - settings.capacity_decay));
        self.baseline = self.stats.map_or(self.baseline, |stats| {
            let baseline = self.baseline.unwrap_or(stats.median_duration);
            Some(stats.next_baseline(baseline, settings))
        });
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

/// Returns the longest median duration that does not count as late.
fn duration_bound(
    latency_target: Duration,
    baseline: Duration,
    settings: &AdmissionSettings,
) -> Duration {
    let baseline_bound = baseline.mul_f64(settings.late_baseline_factor);
    baseline_bound.max(latency_target.mul_f64(settings.late_target_factor))
}

/// Updates the start of the period in which a condition holds without interruption,
/// and returns it; nothing when the condition does not hold now.
fn track_since(since: &mut Option<Instant>, now: Instant, holds: bool) -> Option<Instant> {
    *since = holds.then(|| since.unwrap_or(now));
    *since
}
