//! Number of recent arrivals by time.

use std::time::{Duration, Instant};

/// Length of one bin.
const BIN: Duration = Duration::from_millis(50);

/// Number of bins: they hold the period of the published figures and their delay.
const BINS: usize = 32;

/// Fewest bins from which a rate is computed.
const MIN_KNOWN_BINS: usize = 4;

/// Arrivals of the last 1.6 seconds in bins of 50 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalHistory {
    bins: [u32; BINS],
    /// Start of the newest bin, and its index.
    newest: Option<(Instant, usize)>,
    /// Time of the first arrival, before which nothing is known.
    first: Option<Instant>,
}

impl ArrivalHistory {
    /// Counts an arrival.
    pub(crate) fn record(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        let index = self.advance(now);
        self.bins[index] = self.bins[index].saturating_add(1);
    }

    /// Moves on to the bin of `now`, and returns its index.
    fn advance(&mut self, now: Instant) -> usize {
        let (mut start, mut index) = self.newest.unwrap_or((now, 0));
        let steps = now.saturating_duration_since(start).as_millis() / BIN.as_millis();
        if steps >= BINS as u128 {
            self.bins = [0; BINS];
            start = now;
        } else {
            for _ in 0..steps {
                index = (index + 1) % BINS;
                self.bins[index] = 0;
                start += BIN;
            }
        }
        self.newest = Some((start, index));
        index
    }

    /// Returns the number of arrivals a second over `window` that ended `ago` before
    /// now, or over the part of it since the first arrival; nothing when that part is too
    /// short. The incomplete newest bin is left out.
    pub(crate) fn rate(&mut self, now: Instant, ago: Duration, window: Duration) -> Option<f64> {
        let newest = self.advance(now);
        let bins = |time: Duration| (time.as_millis() / BIN.as_millis()) as usize;
        let known = bins(now.saturating_duration_since(self.first?));
        let first = 1 + bins(ago);
        let last = (first + bins(window)).min(BINS).min(known);
        if last < first + MIN_KNOWN_BINS {
            return None;
        }
        let sum: u32 = (first..last)
            .map(|back| self.bins[(newest + BINS - back) % BINS])
            .sum();
        Some(f64::from(sum) / (BIN.as_secs_f64() * (last - first) as f64))
    }
}
