//! Keeps retries within a share of first attempts.

use crate::Settings;

/// Keeps retries within a share of first attempts, so that an outage is not
/// answered with a multiple of its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            tokens: settings.retry_burst,
        }
    }

    /// Notes a first attempt, which pays for a share of a retry.
    pub(crate) fn earn(&mut self, settings: &Settings) {
        self.tokens = (self.tokens + settings.retry_share).min(settings.retry_burst);
    }

    /// Takes one retry, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
