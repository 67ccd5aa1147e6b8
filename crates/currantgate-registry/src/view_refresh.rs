//! How often an entry works its view of the upstreams into its routing.

use std::time::{Duration, Instant};

/// The shortest time between two rounds: small against the seconds in which a
/// drain must be known.
const SHORTEST: Duration = Duration::from_millis(50);

/// Time for each upstream: a round takes about 1 us for each, so that rounds
/// take at most a hundredth of a core, a fifth of the smallest entry VM.
const FOR_EACH_UPSTREAM: Duration = Duration::from_micros(100);

/// How much longer a round waits that only time asks for.
const WITHOUT_NEWS: u32 = 5;

/// The longest time without a round, below the life of an unconfirmed upstream.
const LONGEST: Duration = Duration::from_millis(1_500);

/// Tells when the next round is due: news come one by one after a restart of
/// all, and a round for each would leave no time for packets.
#[derive(Debug)]
pub struct ViewRefreshTimer {
    has_news: bool,
    with_news_at: Instant,
    without_news_at: Instant,
}

impl ViewRefreshTimer {
    /// Starts with a round that is due.
    pub fn new(now: Instant) -> Self {
        Self {
            has_news: true,
            with_news_at: now,
            without_news_at: now,
        }
    }

    /// Notes that something was told of upstreams.
    pub fn mark_changed(&mut self) {
        self.has_news = true;
    }

    /// Tells whether a round is due.
    pub fn is_due(&self, now: Instant) -> bool {
        (self.has_news && now >= self.with_news_at) || now >= self.without_news_at
    }

    /// Notes a round over so many upstreams.
    pub fn record_refresh(&mut self, now: Instant, upstreams: usize) {
        let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
        let pause = (SHORTEST + FOR_EACH_UPSTREAM.saturating_mul(count)).min(LONGEST);
        self.has_news = false;
        self.with_news_at = now + pause;
        self.without_news_at = now + (pause * WITHOUT_NEWS).min(LONGEST);
    }
}
