//! The warm-up of a service's upstreams.

use std::time::{Duration, Instant};

/// Time for which an upstream still counts as cold after its warm-up by this VM's clock,
/// beside [`CLOCK_DRIFT`]: the tolerance of 100 ms with which control VMs pass on changes,
/// and as much for varying delays.
const COLD_MARGIN: Duration = Duration::from_millis(200);

/// Part of a time by which two clocks may measure it differently: 1 %.
const CLOCK_DRIFT: f64 = 0.01;

/// What the configuration says about the cold upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceWarmup {
    /// Time that an upstream takes to warm up, if it is known.
    pub duration: Option<Duration>,
    /// New flows per second that a cold upstream bears.
    pub flows_per_second: f64,
}

impl ServiceWarmup {
    /// Returns when an upstream counts as warm, given the end of the warm-up that it has
    /// reported, if any, with the time that was left then, and the end of the last
    /// evacuation of its failure domain.
    ///
    /// An upstream that became cold shortly before the end of the evacuation may report
    /// that up to a report interval later. So all upstreams of the domain count as cold
    /// until one that started at the end would be warm, if the duration is known.
    pub fn warm_at(
        &self,
        reported: Option<(Instant, Duration)>,
        returned_at: Option<Instant>,
    ) -> Option<Instant> {
        let returned = returned_at.zip(self.duration);
        let returned = returned.map(|(at, duration)| (at + duration, duration));
        let ends = [reported, returned].into_iter().flatten();
        ends.map(|(end, length)| end + length.mul_f64(CLOCK_DRIFT) + COLD_MARGIN)
            .max()
    }
}
