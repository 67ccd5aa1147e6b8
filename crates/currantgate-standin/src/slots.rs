//! How many requests an upstream works on at once.

use std::time::{Duration, Instant};

/// The slots of an upstream; requests beyond them wait in line.
#[derive(Debug)]
pub(crate) struct Slots {
    free_at: Vec<Instant>,
}

impl Slots {
    /// Returns `count` slots that are free at `now`.
    pub(crate) fn new(now: Instant, count: u32) -> Self {
        Self {
            free_at: vec![now; count as usize],
        }
    }

    /// Books the slot that is free first and returns when the work is done.
    pub(crate) fn book(&mut self, now: Instant, work: Duration) -> Instant {
        let Some(free_at) = self.free_at.iter_mut().min() else {
            return now + work;
        };
        *free_at = now.max(*free_at) + work;
        *free_at
    }
}
