//! Retry budget of one service.

use crate::Settings;

/// Token bucket that bounds retries to a share of first attempts, so that an
/// outage does not multiply the load on the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full bucket.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            tokens: settings.retry_burst,
        }
    }

    /// Adds the share of a retry that one first attempt allows.
    pub(crate) fn deposit(&mut self, settings: &Settings) {
        self.tokens = (self.tokens + settings.retry_share).min(settings.retry_burst);
    }

    /// Takes one retry from the budget; returns whether the budget allowed it.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
