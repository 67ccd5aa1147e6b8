//! How requests end.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Dispatcher;
use crate::attempt::AttemptStage;
use crate::request::RequestStage;
use crate::{AttemptId, NotRunReason, Output, Refusal, RequestId, UnknownReason};

/// How much longer than others of its service an answer takes to be overdue.
const OVERDUE_FACTOR: f64 = 4.0;

impl Dispatcher {
    /// Settles a request with its one final output.
    pub(super) fn settle(&mut self, id: RequestId, output: Output) {
        if self.forget(id) {
            self.outputs.push_back(output);
        }
    }

    /// Tells the caller at once that there is no answer.
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

    /// Rejects a request that no attempt holds: as not run, unless an earlier
    /// attempt may have run it.
    pub(super) fn give_up(&mut self, now: Instant, id: RequestId, reason: NotRunReason) {
        let refusal = match (self.requests[&id].may_have_run, reason) {
            (false, _) => Refusal::NotRun(reason),
            (true, NotRunReason::Expired) => Refusal::OutcomeUnknown(UnknownReason::Expired),
            (true, _) => Refusal::OutcomeUnknown(UnknownReason::Reset),
        };
        self.reject(now, id, refusal);
    }

    /// Notes that a request can't be sent again, and ends it if it waits for that.
    pub(super) fn forget_body(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.has_body = false;
        let (stage, sent) = (request.stage, request.sent);
        match stage {
            _ if sent == 0 => {}
            RequestStage::Queued => self.give_up(now, id, NotRunReason::Refused),
            RequestStage::Running(attempt) => {
                if self.attempts[&attempt].stage == AttemptStage::Connecting {
                    self.abandon(attempt);
                    self.give_up(now, id, NotRunReason::Refused);
                }
            }
        }
    }

    pub(super) fn cancel(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        if let RequestStage::Running(attempt) = request.stage {
            self.abandon(attempt);
        }
        self.forget(id);
        self.dispatch_queued(now, request.service);
    }

    /// Ends all requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let request = &mut self.requests[&id];
            if let RequestStage::Running(attempt) = request.stage {
                let sent = self.attempts[&attempt].stage != AttemptStage::Connecting;
                request.may_have_run |= sent;
                self.note_expired(now, attempt);
                self.abandon(attempt);
            }
            self.give_up(now, id, NotRunReason::Expired);
        }
    }

    /// Learns from an answer that did not come in time.
    fn note_expired(&mut self, now: Instant, id: AttemptId) {
        let attempt = self.attempts[&id];
        let AttemptStage::Sent(sent) = attempt.stage else {
            return;
        };
        let waited = now.saturating_duration_since(sent);
        let upstream = &mut self.upstreams[&attempt.upstream];
        upstream.latency.observe_peak(now, waited);
        let usual = self.services[&upstream.service]
            .response_time
            .seconds_at(now);
        if waited.as_secs_f64() > usual * OVERDUE_FACTOR {
            upstream.circuit.on_failure(now, &self.settings);
            self.record_overdue(&attempt);
        }
    }

    /// Frees an attempt's slot and tells the upstream to stop working on it.
    fn abandon(&mut self, id: AttemptId) {
        let Some(attempt) = self.release_slot(id) else {
            return;
        };
        if attempt.stage != AttemptStage::Connecting {
            self.outputs.push_back(Output::Cancel { attempt: id });
        }
    }

    /// Takes a request out of all tables; tells whether it was there.
    fn forget(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.swap_remove(&id) else {
            return false;
        };
        self.deadlines.remove(&(request.deadline, id));
        if let Some(service) = self.services.get_mut(&request.service) {
            service.queue.remove(request.deadline, id);
        }
        true
    }

    /// Returns when the caller may ask again: once the queue of now is served
    /// or a failing upstream is probed, spread at random over half as long
    /// again so that callers don't come back all at once.
    fn retry_after(&mut self, now: Instant, id: RequestId) -> Duration {
        let service = self.requests[&id].service;
        let mut wait = self.settings.min_retry_after;
        if let Some(state) = self.services.get(&service) {
            wait = wait.max(self.expected_wait(now, service, state.queue.len()));
            let pauses = state.upstreams.iter().map(|id| {
                let until = self.upstreams[id].circuit.open_until().unwrap_or(now);
                until.saturating_duration_since(now)
            });
            wait = wait.max(pauses.min().unwrap_or_default());
        }
        wait.mul_f64(self.rng.random_range(1.0..1.5))
    }
}
