//! The time at which an upstream counts as warm.

use std::time::{Duration, Instant};

use currantgate_registry::Upstream;
use currantgate_token::ServiceWarmup;

/// Time for which an upstream still counts as cold after its warm-up by this VM's clock.
/// It covers clocks that differ by 1 % over half a minute, and the tolerance with which
/// control VMs pass on changes.
const COLD_MARGIN: Duration = Duration::from_millis(500);

/// Returns when an upstream counts as warm. `warmup` is that of its service, if the new
/// flows of cold upstreams are limited, and `returned_at` the end of its failure domain's
/// last evacuation.
///
/// An upstream that became cold shortly before the end of the evacuation may report that up
/// to a report interval later. So all upstreams of the domain count as cold for a while.
pub(super) fn warm_at(
    upstream: &Upstream,
    warmup: Option<&ServiceWarmup>,
    returned_at: Option<Instant>,
) -> Instant {
    let Some(warmup) = warmup else {
        return upstream.warm_at;
    };
    let mut warm_at = upstream.warm_at;
    if !upstream.report.warmup_remaining.is_zero() {
        warm_at += COLD_MARGIN;
    }
    let since_return = returned_at.map(|at| at + warmup.duration + COLD_MARGIN);
    since_return.map_or(warm_at, |at| at.max(warm_at))
}
