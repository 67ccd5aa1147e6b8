//! Which new flows a service has room for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::sliding_window::SlidingWindow;
use crate::{AdmissionSettings, Overload, PlacementRequest, Priority};

/// Stands for the time of a flow that its upstream refused, which tells nothing
/// of how long others are open.
const REFUSED: Duration = Duration::MAX;

/// What a service's flows within the window tell.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// How many were asked for, refused ones and copies included.
    asked: f64,
    /// How many ended that were worked on.
    ended: f64,
    /// The median of how long those that ended were open.
    open_for: Duration,
}

impl Pace {
    /// Tells whether more come than are worked off, beyond what chance makes of
    /// equal numbers.
    fn grows(&self, settings: &AdmissionSettings) -> bool {
        let by_chance = (self.asked + self.ended).sqrt();
        self.asked > self.ended + settings.growth_std_devs * by_chance
    }

    /// Returns how long flows are usually open, given what was usual before: it
    /// follows a faster pace at once and a slower one little by little.
    fn drift(&self, usual: Duration, settings: &AdmissionSettings) -> Duration {
        if self.open_for <= usual {
            return self.open_for;
        }
        if self.open_for == REFUSED {
            return usual;
        }
        let is_late = self.open_for > usual.mul_f64(settings.late_baseline_factor);
        let part = if is_late {
            settings.baseline_weight_when_late
        } else {
            settings.baseline_weight
        };
        usual + (self.open_for - usual).mul_f64(part)
    }
}

/// The flows of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    open: u32,
    /// Since when flows are open for too long.
    late_since: Option<Instant>,
    /// Since when more come than the service works off, too.
    growing_since: Option<Instant>,
    /// Until when new flows are held against what the service works off.
    limited_until: Option<Instant>,
}

impl Class {
    /// Tells whether new flows are limited, when those that end should be open
    /// for `bound` at most and are for `usual` mostly.
    fn is_limited(
        &mut self,
        now: Instant,
        pace: &Pace,
        bound: Duration,
        usual: Duration,
        settings: &AdmissionSettings,
    ) -> bool {
        let was_limited = self.limited_until.is_some_and(|until| now < until);
        let is_overloaded = if was_limited {
            // The limit keeps flows open for about the bound: half of the way
            // back to the usual time tells that it is no longer what holds them.
            pace.open_for > (usual + bound) / 2 && pace.asked > pace.ended
        } else {
            let is_late = pace.open_for > bound;
            let grows_at = holds_since(
                &mut self.growing_since,
                now,
                is_late && pace.grows(settings),
            );
            let late_at = holds_since(&mut self.late_since, now, is_late);
            grows_at.is_some_and(|at| now >= at + settings.overload_after_growth)
                || late_at.is_some_and(|at| now >= at + settings.overload_after_late)
        };
        if is_overloaded {
            self.limited_until = Some(now + settings.limit_duration);
        }
        was_limited || is_overloaded
    }
}

/// Which new flows a service has room for, by what this entry sees of its own
/// flows there. See `docs/design/placement.md#more-than-can-be-served`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    classes: BTreeMap<Priority, Class>,
    asked: SlidingWindow<()>,
    /// How long each flow was open that ended.
    ended: SlidingWindow<Duration>,
    pace: Option<Pace>,
    /// When `pace` is worked out anew; at first when a whole window was seen.
    stale_at: Option<Instant>,
    /// How long flows are usually open.
    usual: Option<Duration>,
    /// How many flows the service was seen to work off within a window.
    capacity: f64,
}

impl Admission {
    pub(crate) fn opened(&mut self, priority: Priority) {
        self.classes.entry(priority).or_default().open += 1;
    }

    pub(crate) fn withdrawn(&mut self, priority: Priority) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.open = class.open.saturating_sub(1);
        }
    }

    pub(crate) fn ended(
        &mut self,
        now: Instant,
        priority: Priority,
        open_for: Duration,
        max_samples: usize,
    ) {
        self.withdrawn(priority);
        self.ended.push(now, open_for, max_samples);
    }

    /// Returns how long a flow of the service is open at the moment, when enough
    /// have ended to tell. Under overload it is long for all upstreams, so that
    /// one with a long queue is none that is slower than its like.
    pub(crate) fn open_for(&self) -> Option<Duration> {
        let now = self.pace.map(|pace| pace.open_for);
        let now = now.filter(|now| *now != REFUSED)?;
        self.usual.map(|usual| usual.max(now))
    }

    /// Returns why there is no room for one more flow, if there is none.
    ///
    /// A service is overloaded when its flows are open for longer than they
    /// should be, and more are asked for than end or it lasts: a queue that only
    /// has to drain, as after an outage, is no overload. Then as many are let in
    /// as the service works off within the time that they should take (Little's
    /// law), those of higher priority first.
    pub(crate) fn shortage(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        settings: &AdmissionSettings,
    ) -> Option<Overload> {
        self.asked.push(now, (), settings.max_samples);
        self.refresh(now, settings);
        let pace = self.pace?;
        let usual = self.usual.unwrap_or_default();
        let bound = bound(request.latency_target, usual, settings);
        let class = self.classes.entry(request.priority).or_default();
        if !class.is_limited(now, &pace, bound, usual, settings) {
            return None;
        }
        let before = self.classes.range(..=request.priority);
        let competing_flows = before.map(|(_, class)| class.open).sum();
        // The part that is alike for all entries lets one with few flows gain on
        // those with many.
        let windows = (usual + bound).as_secs_f64() / 2.0 / settings.sample_window.as_secs_f64();
        let flow_limit = settings.spare_flows + (self.capacity * windows) as u32;
        (competing_flows >= flow_limit).then_some(Overload {
            competing_flows,
            flow_limit,
            median_duration: pace.open_for,
        })
    }

    /// Works out the pace anew when it is due.
    fn refresh(&mut self, now: Instant, settings: &AdmissionSettings) {
        if now < *self.stale_at.get_or_insert(now + settings.sample_window) {
            return;
        }
        self.stale_at = Some(now + settings.update_interval);
        self.asked.evict_expired(now, settings.sample_window);
        self.ended.evict_expired(now, settings.sample_window);
        self.pace = self.measure(now, settings);
        let ended = self.pace.map_or(0.0, |pace| pace.ended);
        self.capacity = ended.max(self.capacity * (1.0 - settings.capacity_decay));
        self.usual = self.pace.map_or(self.usual, |pace| {
            let usual = self.usual.unwrap_or(pace.open_for);
            Some(pace.drift(usual, settings))
        });
    }

    fn measure(&self, now: Instant, settings: &AdmissionSettings) -> Option<Pace> {
        if self.ended.len() < settings.min_samples {
            return None;
        }
        let usual = self.usual.unwrap_or_default();
        let short = usual.mul_f64(settings.refused_baseline_factor);
        // What ends far too early was refused: that is no sign of speed.
        let counted = |open_for| {
            if open_for < short { REFUSED } else { open_for }
        };
        let mut open_for: Vec<Duration> = self.ended.events().map(counted).collect();
        let worked_on = open_for.iter().filter(|time| **time < REFUSED).count();
        let middle = open_for.len() / 2;
        let (_, median, _) = open_for.select_nth_unstable(middle);
        let window = settings.sample_window;
        let part_worked_on = worked_on as f64 / self.ended.len() as f64;
        Some(Pace {
            asked: self.asked.estimated_count(now, window),
            ended: self.ended.estimated_count(now, window) * part_worked_on,
            open_for: *median,
        })
    }
}

/// Returns how long flows should be open at most.
fn bound(latency_target: Duration, usual: Duration, settings: &AdmissionSettings) -> Duration {
    let slow = usual.mul_f64(settings.late_baseline_factor);
    slow.max(latency_target.mul_f64(settings.late_target_factor))
}

/// Returns since when something holds without a break, if it does now.
fn holds_since(since: &mut Option<Instant>, now: Instant, holds: bool) -> Option<Instant> {
    *since = holds.then(|| since.unwrap_or(now));
    *since
}
