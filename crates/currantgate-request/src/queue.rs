//! Requests that wait for a slot, the earliest deadline first.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::RequestId;

/// Requests that wait for a slot, the earliest deadline first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeSet<(Instant, RequestId)>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn insert(&mut self, deadline: Instant, request: RequestId) {
        self.waiting.insert((deadline, request));
    }

    /// Takes a request out, if it waits.
    pub(crate) fn remove(&mut self, deadline: Instant, request: RequestId) {
        self.waiting.remove(&(deadline, request));
    }

    /// Returns the request with the earliest deadline.
    pub(crate) fn first(&self) -> Option<(Instant, RequestId)> {
        self.waiting.first().copied()
    }

    /// Returns all waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.waiting.iter().map(|(_, request)| *request)
    }

    /// Counts the requests that would go before one with `deadline`.
    pub(crate) fn ahead_of(&self, deadline: Instant) -> usize {
        self.waiting.range(..(deadline, RequestId::MAX)).count()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
