//! Start, response and failure of attempts.

use std::time::Instant;

use currantgate_config::UpstreamId;

use super::Dispatcher;
use crate::attempt::{Attempt, AttemptStage, Failure};
use crate::connection::ConnectionState;
use crate::decaying_average::DecayingAverage;
use crate::request::RequestStage;
use crate::{AttemptId, NotRunReason, Output, Refusal, RequestId, ResponseKind, UnknownReason};

/// Number of samples over which the mean times of a service are taken.
const MEAN_WINDOW: f64 = 64.0;

impl Dispatcher {
    /// Assigns a slot of the upstream to `request`, and sends it if the connection is open.
    pub(super) fn start_attempt(&mut self, now: Instant, request: RequestId, upstream: UpstreamId) {
        self.last_attempt += 1;
        let id = self.last_attempt;
        let connection = self.ensure_connection(now, upstream);
        let attempt = Attempt {
            request,
            upstream,
            connection,
            stage: AttemptStage::Connecting,
        };
        self.attempts.insert(id, attempt);
        self.requests[&request].stage = RequestStage::Running(id);
        let state = &mut self.upstreams[&upstream];
        state.circuit.on_start();
        state.attempts.insert(id);
        if matches!(state.connection, ConnectionState::Open(_)) {
            self.send_attempt(now, id);
        }
    }

    /// Sends an attempt whose connection is open.
    pub(super) fn send_attempt(&mut self, now: Instant, id: AttemptId) {
        let attempt = &mut self.attempts[&id];
        attempt.stage = AttemptStage::Sent(now);
        let attempt = *attempt;
        let request = &mut self.requests[&attempt.request];
        request.sent += 1;
        if request.sent == 1 {
            self.services[&request.service]
                .retry_budget
                .deposit(&self.settings);
        }
        let upstream = &mut self.upstreams[&attempt.upstream];
        if let (ConnectionState::Open(connection), 1) =
            (&mut upstream.connection, upstream.attempts.len())
        {
            connection.restart_keepalive(now, &self.settings);
        }
        self.outputs.push_back(Output::Send {
            request: attempt.request,
            attempt: id,
            upstream: attempt.upstream,
            connection: attempt.connection,
            deadline: request.deadline,
        });
    }

    pub(super) fn on_response_head(&mut self, now: Instant, id: AttemptId, kind: ResponseKind) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let AttemptStage::Sent(sent) = attempt.stage else {
            return;
        };
        attempt.stage = AttemptStage::Responding(sent);
        let attempt = *attempt;
        let request = &self.requests[&attempt.request];
        self.deadlines.remove(&(request.deadline, attempt.request));
        let service = &mut self.services[&request.service];
        let elapsed = now.saturating_duration_since(sent);
        let upstream = &mut self.upstreams[&attempt.upstream];
        match kind {
            ResponseKind::Served => {
                service
                    .response_time
                    .observe_mean(now, elapsed, MEAN_WINDOW);
                upstream.latency.observe_peak(now, elapsed);
                upstream.limit.on_success(&self.settings);
                if upstream.circuit.on_success() {
                    upstream.limit.reset();
                }
            }
            ResponseKind::Failed => {
                upstream.circuit.on_failure(now, &self.settings);
                upstream.limit.start_cooldown(now, &self.settings);
            }
        }
        self.record_response(now, &attempt);
        self.outputs.push_back(Output::ForwardResponse {
            request: attempt.request,
            attempt: id,
        });
    }

    pub(super) fn on_response_end(&mut self, now: Instant, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let AttemptStage::Responding(sent) = attempt.stage else {
            return;
        };
        self.record_response(now, &attempt);
        let service = self.requests[&attempt.request].service;
        let slot_hold_time: &mut DecayingAverage = &mut self.services[&service].slot_hold_time;
        slot_hold_time.observe_mean(now, now.saturating_duration_since(sent), MEAN_WINDOW);
        self.release_slot(id);
        self.settle(
            attempt.request,
            Output::EndResponse {
                request: attempt.request,
            },
        );
        self.dispatch_queued(now, service);
    }

    /// Handles the failure of one attempt; a graceful close of its connection is not
    /// counted against the upstream.
    pub(super) fn on_attempt_failed(&mut self, now: Instant, id: AttemptId, failure: Failure) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let service = self.requests[&attempt.request].service;
        let failure = match failure {
            Failure::NotProcessed if self.is_graceful_close(&attempt) => Failure::GracefulClose,
            _ => failure,
        };
        self.record_failure(now, &attempt, failure);
        self.finish_failed(now, id, failure);
        self.dispatch_queued(now, service);
    }

    /// Returns whether an attempt's connection accepts no new streams although the
    /// upstream is healthy: it has carried a response or other attempts are open on it.
    fn is_graceful_close(&self, attempt: &Attempt) -> bool {
        let current = self.upstreams[&attempt.upstream].connection.id() == Some(attempt.connection);
        let record = self.connections.get(&attempt.connection);
        let answered = record.is_some_and(|record| record.answered);
        let others = self.attempts_on(attempt.upstream, attempt.connection).len() > 1;
        !current && (answered || others)
    }

    /// Records a failure in the circuit and the concurrency limit of the upstream.
    fn record_failure(&mut self, now: Instant, attempt: &Attempt, failure: Failure) {
        let upstream = &mut self.upstreams[&attempt.upstream];
        match failure {
            Failure::GracefulClose => {}
            Failure::NotProcessed => {
                upstream.circuit.on_failure(now, &self.settings);
                let running = upstream.attempts.len();
                upstream.limit.on_refusal(now, running, &self.settings);
            }
            Failure::Reset | Failure::ConnectionLost => {
                upstream.circuit.on_failure(now, &self.settings);
                upstream.limit.start_cooldown(now, &self.settings);
            }
        }
    }

    /// Frees the slot of a failed attempt, and queues its request again or settles it.
    pub(super) fn finish_failed(&mut self, now: Instant, id: AttemptId, failure: Failure) {
        let Some(attempt) = self.release_slot(id) else {
            return;
        };
        let request = attempt.request;
        match attempt.stage {
            AttemptStage::Connecting => self.enqueue(now, request),
            AttemptStage::Sent(_) => self.retry_or_reject(now, request, failure),
            AttemptStage::Responding(_) => self.settle(request, Output::AbortResponse { request }),
        }
    }

    /// Queues a request again after the failure of a sent attempt if that is safe and
    /// within the attempt limit and the retry budget; otherwise rejects it at once.
    fn retry_or_reject(&mut self, now: Instant, id: RequestId, failure: Failure) {
        let request = &mut self.requests[&id];
        request.may_have_run |= !failure.proves_not_processed();
        let is_graceful = failure == Failure::GracefulClose;
        request.graceful_closes += u32::from(is_graceful);
        let allowed = request.may_retry()
            && request.has_body
            && request.sent - request.graceful_closes < self.settings.max_attempts
            && (is_graceful || self.services[&request.service].retry_budget.try_withdraw());
        if allowed {
            self.enqueue(now, id);
        } else if request.may_have_run {
            let reason = match failure {
                Failure::ConnectionLost => UnknownReason::ConnectionLost,
                _ => UnknownReason::Reset,
            };
            self.reject(now, id, Refusal::OutcomeUnknown(reason));
        } else {
            self.reject_unassigned(now, id, NotRunReason::Refused);
        }
    }

    /// Removes an attempt from all tables, which frees its slot.
    pub(super) fn release_slot(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&id)?;
        self.upstreams[&attempt.upstream].attempts.swap_remove(&id);
        self.close_if_unused(attempt.upstream, attempt.connection);
        Some(attempt)
    }
}
