//! Model of callers, upstreams and connections that tracks what was processed and
//! checks each output of the dispatcher against it.

use std::time::{Duration, Instant};

use currantgate_request::*;
use indexmap::{IndexMap, IndexSet};

/// Service that all requests are for.
pub(crate) const SERVICE: u32 = 7;

/// Number of slots of each upstream.
pub(crate) const SLOTS: u32 = 2;

/// Number of upstreams that may be listed.
pub(crate) const UPSTREAMS: u64 = 4;

/// One event; an index selects among the objects that exist at that time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Arrive {
        repeatable: bool,
        deadline_ms: u64,
    },
    Connect(usize),
    ConnectFail(usize),
    Refuse(usize),
    Reset(usize),
    Head(usize),
    FailedHead(usize),
    End(usize),
    LateResponse(usize),
    BodyDiscarded(usize),
    Cancel(usize),
    LoseConnection(usize),
    GoAway(usize),
    Pong(usize),
    SetUpstreams(u8),
    Advance(u64),
    /// Time passes without a call of the timer.
    Stall(u64),
    Drain,
}

#[derive(Debug)]
struct Attempt {
    request: RequestId,
    upstream: u64,
    connection: ConnectionId,
    proven_not_run: bool,
    head_received: bool,
    end_received: bool,
    finished: bool,
}

#[derive(Debug)]
struct Request {
    repeatable: bool,
    after_drain: bool,
    body_discarded: bool,
    settled: bool,
    answered_by: Option<AttemptId>,
}

pub(crate) struct CheckedDispatcher {
    dispatcher: Dispatcher,
    now: Instant,
    requests: IndexMap<RequestId, Request>,
    attempts: IndexMap<AttemptId, Attempt>,
    connections: IndexMap<ConnectionId, (u64, bool)>,
    listed: IndexSet<u64>,
    draining: bool,
}

impl CheckedDispatcher {
    pub(crate) fn new(seed: u64) -> Self {
        let settings = Settings {
            seed,
            max_queued: 8,
            ..Settings::default()
        };
        let mut checked = Self {
            dispatcher: Dispatcher::new(settings),
            now: Instant::now(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            connections: IndexMap::new(),
            listed: IndexSet::new(),
            draining: false,
        };
        checked.step(Step::SetUpstreams(0b1111));
        checked
    }

    pub(crate) fn step(&mut self, step: Step) {
        // Expires requests first, so that the step selects among pending ones only.
        self.handle_input(Input::Pong { connection: 0 });
        if let Some(input) = self.input_of(step) {
            self.handle_input(input);
        }
        self.check_slots();
    }

    /// Advances time and completes all responses until every request must be settled.
    pub(crate) fn finish(&mut self) {
        for _ in 0..100 {
            self.step(Step::Advance(1_000));
            for _ in 0..UPSTREAMS * u64::from(SLOTS) {
                self.step(Step::End(0));
            }
        }
        assert_eq!(
            self.dispatcher.pending_requests(),
            0,
            "a request was never settled"
        );
        assert_eq!(
            self.dispatcher.queued_requests(),
            0,
            "a settled request is still queued"
        );
        for upstream in 0..UPSTREAMS {
            assert_eq!(self.dispatcher.slots_in_use(upstream), 0, "a slot leaked");
        }
        assert!(self.requests.values().all(|request| request.settled));
    }

    fn input_of(&mut self, step: Step) -> Option<Input> {
        Some(match step {
            Step::Arrive {
                repeatable,
                deadline_ms,
            } => self.arrive(repeatable, deadline_ms),
            Step::Connect(i) => {
                let connection = self.select_connection(i, false)?;
                self.connections[&connection].1 = true;
                Input::Connected { connection }
            }
            Step::ConnectFail(i) => {
                let connection = self.select_connection(i, false)?;
                self.connections.swap_remove(&connection);
                Input::ConnectFailed { connection }
            }
            Step::Refuse(i) => {
                let attempt = self.select_attempt(i, |a| !a.finished && !a.head_received)?;
                self.attempts[&attempt].proven_not_run = true;
                self.attempts[&attempt].finished = true;
                Input::NotProcessed { attempt }
            }
            Step::Reset(i) => {
                let attempt = self.select_attempt(i, |a| !a.finished)?;
                self.attempts[&attempt].finished = true;
                Input::Reset { attempt }
            }
            Step::Head(i) | Step::FailedHead(i) => {
                let attempt = self.select_attempt(i, |a| !a.finished && !a.head_received)?;
                self.attempts[&attempt].head_received = true;
                let kind = match step {
                    Step::Head(_) => ResponseKind::Served,
                    _ => ResponseKind::Failed,
                };
                Input::ResponseHead { attempt, kind }
            }
            Step::End(i) => {
                let attempt = self.select_attempt(i, |a| !a.finished && a.head_received)?;
                self.attempts[&attempt].end_received = true;
                self.attempts[&attempt].finished = true;
                Input::ResponseEnd { attempt }
            }
            Step::LateResponse(i) => {
                let attempt = self.select_attempt(i, |a| a.finished)?;
                self.handle_input(Input::ResponseHead {
                    attempt,
                    kind: ResponseKind::Served,
                });
                Input::ResponseEnd { attempt }
            }
            Step::BodyDiscarded(i) => {
                let request = self.select_request(i)?;
                self.requests[&request].body_discarded = true;
                Input::BodyDiscarded { request }
            }
            Step::Cancel(i) => {
                let request = self.select_request(i)?;
                self.settle(request);
                Input::Cancelled { request }
            }
            Step::LoseConnection(i) => {
                let connection = self.select_connection(i, true)?;
                self.drop_connection(connection);
                Input::ConnectionLost { connection }
            }
            Step::GoAway(i) => Input::GoAway {
                connection: self.select_connection(i, true)?,
            },
            Step::Pong(i) => Input::Pong {
                connection: self.select_connection(i, true)?,
            },
            Step::SetUpstreams(mask) => self.set_upstreams(mask),
            Step::Advance(ms) => {
                self.now += Duration::from_millis(ms);
                self.dispatcher.tick(self.now);
                self.check_outputs();
                let next = self.dispatcher.next_deadline();
                assert!(
                    next.is_none_or(|next| next > self.now),
                    "tick left a due timer"
                );
                return None;
            }
            Step::Stall(ms) => {
                self.now += Duration::from_millis(ms);
                return None;
            }
            Step::Drain => {
                self.draining = true;
                Input::Drain
            }
        })
    }

    fn arrive(&mut self, repeatable: bool, deadline_ms: u64) -> Input {
        let request = self.requests.len() as RequestId;
        let record = Request {
            repeatable,
            after_drain: self.draining,
            body_discarded: false,
            settled: false,
            answered_by: None,
        };
        self.requests.insert(request, record);
        Input::Arrived {
            request,
            service: SERVICE,
            deadline: self.now + Duration::from_millis(deadline_ms),
            repeatability: match repeatable {
                true => Repeatability::Repeatable,
                false => Repeatability::Once,
            },
        }
    }

    fn set_upstreams(&mut self, mask: u8) -> Input {
        self.listed = (0..UPSTREAMS).filter(|i| mask & (1 << i) != 0).collect();
        let view = |id: &u64| UpstreamView {
            id: *id,
            slots: SLOTS,
            warming: id.is_multiple_of(2),
        };
        Input::Upstreams {
            service: SERVICE,
            upstreams: self.listed.iter().map(view).collect(),
        }
    }

    fn handle_input(&mut self, input: Input) {
        self.dispatcher.handle(self.now, input);
        self.check_outputs();
    }

    fn check_outputs(&mut self) {
        while let Some(output) = self.dispatcher.poll_output() {
            self.check_output(output);
        }
    }

    fn check_output(&mut self, output: Output) {
        match output {
            Output::Open {
                connection,
                upstream,
            } => {
                let previous = self.connections.insert(connection, (upstream, false));
                assert!(previous.is_none(), "a connection id was reused");
            }
            Output::Send { .. } => self.check_send(output),
            Output::Cancel { attempt } => self.attempts[&attempt].finished = true,
            Output::ForwardResponse { request, attempt } => {
                assert_eq!(
                    self.attempts[&attempt].request, request,
                    "the response of another request"
                );
                assert!(self.attempts[&attempt].head_received && !self.requests[&request].settled);
                let previous = self.requests[&request].answered_by.replace(attempt);
                assert!(previous.is_none(), "a second response was begun");
            }
            Output::EndResponse { request } => {
                let attempt = self.requests[&request].answered_by;
                let attempt = attempt.expect("ended without a response");
                assert!(
                    self.attempts[&attempt].end_received,
                    "an incomplete response was ended as complete"
                );
                self.settle(request);
            }
            Output::AbortResponse { request } => {
                assert!(self.requests[&request].answered_by.is_some());
                self.settle(request);
            }
            Output::Reject {
                request, refusal, ..
            } => self.check_reject(request, refusal),
            Output::Ping { connection } => assert!(self.connections[&connection].1),
            Output::Close { connection } => self.drop_connection(connection),
        }
    }

    fn check_send(&mut self, output: Output) {
        let Output::Send {
            request,
            attempt,
            upstream,
            connection,
            deadline,
        } = output
        else {
            unreachable!("only called for what is sent");
        };
        let record = &self.requests[&request];
        assert!(!record.settled, "a settled request was sent");
        let first = self.attempts.values().all(|a| a.request != request);
        assert!(
            first || !record.body_discarded,
            "sent again without its body"
        );
        assert!(
            !record.after_drain,
            "a new request was sent during the drain"
        );
        assert!(deadline > self.now, "an expired request was sent");
        assert!(
            self.listed.contains(&upstream),
            "an attempt at a draining upstream"
        );
        assert_eq!(self.connections[&connection], (upstream, true));
        let earlier = self.attempts.values().filter(|a| a.request == request);
        let may_have_run = earlier.filter(|a| !a.proven_not_run).count();
        assert!(
            record.repeatable || may_have_run == 0,
            "a second possible run"
        );
        let record = Attempt {
            request,
            upstream,
            connection,
            proven_not_run: false,
            head_received: false,
            end_received: false,
            finished: false,
        };
        let previous = self.attempts.insert(attempt, record);
        assert!(previous.is_none(), "an attempt id was reused");
    }

    fn check_reject(&mut self, request: RequestId, refusal: Refusal) {
        assert!(self.requests[&request].answered_by.is_none());
        let mut sent = self.attempts.values().filter(|a| a.request == request);
        let not_run = sent.all(|a| a.proven_not_run);
        match refusal {
            Refusal::NotRun(_) => assert!(not_run, "`not run` without proof"),
            Refusal::OutcomeUnknown(_) => assert!(!not_run, "`unknown` in spite of proof"),
        }
        self.settle(request);
    }

    fn check_slots(&self) {
        for upstream in 0..UPSTREAMS {
            let open_at_upstream = |a: &&Attempt| a.upstream == upstream && !a.finished;
            let open = self.attempts.values().filter(open_at_upstream).count();
            let held = self.dispatcher.slots_in_use(upstream);
            assert!(held <= SLOTS as usize, "more attempts than slots");
            assert!(open <= held, "a running attempt holds no slot");
            let unsent = held - open;
            let draining = !self.listed.contains(&upstream);
            assert!(
                !draining || unsent == 0,
                "an unsent attempt at a draining upstream"
            );
        }
    }

    fn settle(&mut self, request: RequestId) {
        let settled = std::mem::replace(&mut self.requests[&request].settled, true);
        assert!(!settled, "a request was settled twice");
    }

    fn drop_connection(&mut self, connection: ConnectionId) {
        self.connections.swap_remove(&connection);
        for attempt in self.attempts.values_mut() {
            attempt.finished |= attempt.connection == connection;
        }
    }

    fn select_attempt(&self, i: usize, matches: impl Fn(&Attempt) -> bool) -> Option<AttemptId> {
        let matching: Vec<_> = self.attempts.iter().filter(|(_, a)| matches(a)).collect();
        matching.get(i % matching.len().max(1)).map(|(id, _)| **id)
    }

    fn select_request(&self, i: usize) -> Option<RequestId> {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.settled).collect();
        open.get(i % open.len().max(1)).map(|(id, _)| **id)
    }

    fn select_connection(&self, i: usize, open: bool) -> Option<ConnectionId> {
        let matching: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, c)| c.1 == open)
            .collect();
        matching.get(i % matching.len().max(1)).map(|(id, _)| **id)
    }
}
