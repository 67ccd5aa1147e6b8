//! The log of how an entry divides its new flows among failure domains.

use std::time::{Duration, Instant};

use currantgate_log::{RateLimit, RateLimiter};
use indexmap::IndexMap;

use super::service_load::ServiceLoad;

/// Part of an entry's new flows that must move between domains for a line.
const NOTICEABLE_SHIFT: f64 = 0.05;

/// Rate of lines: under load that changes all the time, every entry of the fleet would
/// otherwise write a line at each of its updates.
const RATE_LIMIT: RateLimit = RateLimit {
    lines: 2,
    interval: Duration::from_secs(1),
};

/// The weights of a service's domains, or nothing while shares are not used.
type Weights = Option<IndexMap<Box<str>, f64>>;

/// Logs the shares of each service when they change noticeably.
#[derive(Debug)]
pub(super) struct SharesLog {
    limiter: RateLimiter,
    /// Weights in the last line about each service.
    logged: IndexMap<Box<str>, Weights>,
}

impl SharesLog {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limiter: RateLimiter::new(RATE_LIMIT, now),
            logged: IndexMap::new(),
        }
    }

    /// Logs a service's shares if they differ noticeably from those in its last line.
    pub(super) fn log_if_changed(
        &mut self,
        now: Instant,
        load: &ServiceLoad,
        age: Option<Duration>,
    ) {
        let weights = weights_of(load);
        let before = self.logged.get(&load.service).unwrap_or(&None);
        if !is_shifted(before, &weights) {
            return;
        }
        // A line that is left out is not recorded, so that a later update logs the shift.
        let Some(left_out) = self.limiter.try_acquire(now) else {
            return;
        };
        let message = if weights.is_some() {
            "new flows are divided by shared demand"
        } else {
            "new flows are placed by the entry's own flows alone"
        };
        log::info!(
            event = "shares",
            service = &*load.service,
            demand = load.describe(|l| format!("{:.1}", l.demand_slots)),
            slots = load.describe(|l| l.slots.to_string()),
            weights = load.describe(|l| format!("{:.2}", l.weight.unwrap_or_default())),
            demand_age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            left_out = left_out;
            "{message}"
        );
        self.logged.insert(load.service.clone(), weights);
    }
}

fn weights_of(load: &ServiceLoad) -> Weights {
    let domains = load.domains.iter();
    let weights = domains.filter_map(|(domain, load)| Some((domain.clone(), load.weight?)));
    let weights: IndexMap<_, _> = weights.collect();
    (!weights.is_empty()).then_some(weights)
}

/// Returns whether a noticeable part of the flows moves to other domains.
fn is_shifted(before: &Weights, after: &Weights) -> bool {
    match (before, after) {
        (None, None) => false,
        (Some(before), Some(after)) => {
            let gained = after.iter().map(|(domain, weight)| {
                (weight - before.get(domain).copied().unwrap_or_default()).max(0.0)
            });
            gained.sum::<f64>() >= NOTICEABLE_SHIFT
        }
        _ => true,
    }
}
