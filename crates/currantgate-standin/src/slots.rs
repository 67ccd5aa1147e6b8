//! Concurrency limit of an upstream.

use std::time::{Duration, Instant};

/// The slots for concurrent requests; further requests are queued.
#[derive(Debug)]
pub(crate) struct Slots {
    free_at: Vec<Instant>,
}

impl Slots {
    /// Creates `count` slots that are free at `now`.
    pub(crate) fn new(now: Instant, count: u32) -> Self {
        Self {
            free_at: vec![now; count as usize],
        }
    }

    /// Schedules a request on the slot that is free first and returns the time
    /// at which it completes.
    pub(crate) fn schedule(&mut self, now: Instant, duration: Duration) -> Instant {
        let Some(free_at) = self.free_at.iter_mut().min() else {
            return now + duration;
        };
        *free_at = now.max(*free_at) + duration;
        *free_at
    }
}
