//! Final outcome of requests: completion, rejection, timeout and cancellation.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Dispatcher;
use crate::attempt::AttemptStage;
use crate::request::RequestStage;
use crate::{AttemptId, NotRunReason, Output, Refusal, RequestId, UnknownReason};

/// Factor over the mean response time of the service above which a response that
/// has not arrived is overdue.
const OVERDUE_FACTOR: f64 = 4.0;

impl Dispatcher {
    /// Settles a request with its only final output.
    pub(super) fn settle(&mut self, id: RequestId, output: Output) {
        if self.remove_request(id) {
            self.outputs.push_back(output);
        }
    }

    /// Rejects a request, with a retry delay if it did not run.
    pub(super) fn reject(&mut self, now: Instant, id: RequestId, refusal: Refusal) {
        let retry_after = match refusal {
            Refusal::NotRun(_) => Some(self.retry_after(now, id)),
            Refusal::OutcomeUnknown(_) => None,
        };
        let output = Output::Reject {
            request: id,
            refusal,
            retry_after,
        };
        self.settle(id, output);
    }

    /// Rejects a request without a current attempt: as not run, unless an earlier
    /// attempt may have run it.
    pub(super) fn reject_unassigned(&mut self, now: Instant, id: RequestId, reason: NotRunReason) {
        let refusal = match (self.requests[&id].may_have_run, reason) {
            (false, _) => Refusal::NotRun(reason),
            (true, NotRunReason::Expired) => Refusal::OutcomeUnknown(UnknownReason::Expired),
            (true, _) => Refusal::OutcomeUnknown(UnknownReason::Reset),
        };
        self.reject(now, id, refusal);
    }

    /// Records that a request can't be sent again, and rejects it if it waits for a retry.
    pub(super) fn on_body_discarded(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.has_body = false;
        let (stage, sent) = (request.stage, request.sent);
        match stage {
            _ if sent == 0 => {}
            RequestStage::Queued => self.reject_unassigned(now, id, NotRunReason::Refused),
            RequestStage::Running(attempt) => {
                if self.attempts[&attempt].stage == AttemptStage::Connecting {
                    self.cancel_attempt(attempt);
                    self.reject_unassigned(now, id, NotRunReason::Refused);
                }
            }
        }
    }

    pub(super) fn on_cancelled(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        if let RequestStage::Running(attempt) = request.stage {
            self.cancel_attempt(attempt);
        }
        self.remove_request(id);
        self.dispatch_queued(now, request.service);
    }

    /// Cancels and rejects all requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Instant) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let request = &mut self.requests[&id];
            if let RequestStage::Running(attempt) = request.stage {
                let sent = self.attempts[&attempt].stage != AttemptStage::Connecting;
                request.may_have_run |= sent;
                self.record_timeout(now, attempt);
                self.cancel_attempt(attempt);
            }
            self.reject_unassigned(now, id, NotRunReason::Expired);
        }
    }

    /// Records the latency of an attempt that timed out, and a failure if its response
    /// was overdue.
    fn record_timeout(&mut self, now: Instant, id: AttemptId) {
        let attempt = self.attempts[&id];
        let AttemptStage::Sent(sent) = attempt.stage else {
            return;
        };
        let waited = now.saturating_duration_since(sent);
        let upstream = &mut self.upstreams[&attempt.upstream];
        upstream.latency.observe_peak(now, waited);
        let mean = self.services[&upstream.service]
            .response_time
            .seconds_at(now);
        if waited.as_secs_f64() > mean * OVERDUE_FACTOR {
            upstream.circuit.on_failure(now, &self.settings);
            self.record_overdue(&attempt);
        }
    }

    /// Frees the slot of an attempt, and cancels it at the upstream if it was sent.
    fn cancel_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.release_slot(id) else {
            return;
        };
        if attempt.stage != AttemptStage::Connecting {
            self.outputs.push_back(Output::Cancel { attempt: id });
        }
    }

    /// Removes a request from all tables; returns whether it was pending.
    fn remove_request(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.swap_remove(&id) else {
            return false;
        };
        self.deadlines.remove(&(request.deadline, id));
        if let Some(service) = self.services.get_mut(&request.service) {
            service.queue.remove(request.deadline, id);
        }
        true
    }

    /// Returns the delay after which the caller may retry: until the current queue is
    /// expected to be served and, if all circuits are open, the first of them admits a
    /// probe. Random jitter of up to half the delay keeps callers from retrying at the
    /// same time.
    fn retry_after(&mut self, now: Instant, id: RequestId) -> Duration {
        let service = self.requests[&id].service;
        let mut delay = self.settings.min_retry_after;
        if let Some(state) = self.services.get(&service) {
            delay = delay.max(self.expected_wait(now, service, state.queue.len()));
            let backoffs = state.upstreams.iter().map(|id| {
                let until = self.upstreams[id].circuit.open_until().unwrap_or(now);
                until.saturating_duration_since(now)
            });
            delay = delay.max(backoffs.min().unwrap_or_default());
        }
        delay.mul_f64(self.rng.random_range(1.0..1.5))
    }
}
