//! Priorities of the last flows of a service.

use std::collections::VecDeque;

use crate::Priority;

/// Number of priorities that are kept: about those of a third of a second at an entry of a
/// large fleet at its limit.
const MAX_PRIORITIES: usize = 32;

/// Priorities of the last flows that were placed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentPriorities {
    priorities: VecDeque<Priority>,
}

impl RecentPriorities {
    /// Adds the priority of a placed flow.
    pub(crate) fn push(&mut self, priority: Priority) {
        if self.priorities.len() >= MAX_PRIORITIES {
            self.priorities.pop_front();
        }
        self.priorities.push_back(priority);
    }

    /// Returns the part of the flows that have a higher priority than the given one.
    pub(crate) fn share_above(&self, priority: Priority) -> f64 {
        let above = self.priorities.iter().filter(|p| **p < priority).count();
        above as f64 / self.priorities.len().max(1) as f64
    }
}
