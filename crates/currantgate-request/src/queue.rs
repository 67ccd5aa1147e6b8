//! Queue of requests in the order of their deadlines.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::RequestId;

/// Queue of the requests that wait for a slot, ordered by deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    by_deadline: BTreeSet<(Instant, RequestId)>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn insert(&mut self, deadline: Instant, request: RequestId) {
        self.by_deadline.insert((deadline, request));
    }

    /// Removes a request, if it is queued.
    pub(crate) fn remove(&mut self, deadline: Instant, request: RequestId) {
        self.by_deadline.remove(&(deadline, request));
    }

    /// Returns the request with the earliest deadline.
    pub(crate) fn first(&self) -> Option<(Instant, RequestId)> {
        self.by_deadline.first().copied()
    }

    /// Returns all queued requests, the earliest deadline first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.by_deadline.iter().map(|(_, request)| *request)
    }

    /// Returns how many queued requests would be dispatched before one with `deadline`.
    pub(crate) fn ahead_of(&self, deadline: Instant) -> usize {
        self.by_deadline.range(..(deadline, RequestId::MAX)).count()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.by_deadline.len()
    }
}
