//! The limit of resets that an entry sends at its own limit.

use super::CapacityLimitSettings;

/// Most resets that may be saved up, so that they don't fill the link in a row.
const MAX_SAVED: f64 = 16.0;

/// Resets that may be sent, as a part of the packets that were sent.
#[derive(Debug, Default)]
pub(super) struct ResetBudget {
    available: f64,
}

impl ResetBudget {
    pub(super) fn record_sent(&mut self, settings: &CapacityLimitSettings) {
        self.available = (self.available + settings.resets_per_send).min(MAX_SAVED);
    }

    /// Uses a reset if one is available.
    pub(super) fn try_use(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}
