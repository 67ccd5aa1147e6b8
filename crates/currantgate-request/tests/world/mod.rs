//! A caller, upstreams and connections that know what truly ran, and check
//! each output of the dispatcher against it.

use std::time::{Duration, Instant};

use currantgate_request::*;
use indexmap::{IndexMap, IndexSet};

/// The service that all requests are for.
pub(crate) const SERVICE: u32 = 7;

/// Slots of each upstream.
pub(crate) const SLOTS: u32 = 2;

/// Upstreams that may be in the view.
pub(crate) const UPSTREAMS: u64 = 4;

/// One thing that happens; numbers pick among what is there at the time.
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
    LateAnswer(usize),
    BodyDiscarded(usize),
    Cancel(usize),
    Lose(usize),
    GoAway(usize),
    Pong(usize),
    View(u8),
    Advance(u64),
    /// Time passes, but the timer is late.
    Stall(u64),
    Drain,
}

#[derive(Debug)]
struct Attempt {
    request: RequestId,
    upstream: u64,
    connection: ConnectionId,
    proven_not_run: bool,
    headed: bool,
    ended: bool,
    over: bool,
}

#[derive(Debug)]
struct Request {
    repeatable: bool,
    after_drain: bool,
    body_gone: bool,
    settled: bool,
    answered_by: Option<AttemptId>,
}

pub(crate) struct World {
    dispatcher: Dispatcher,
    now: Instant,
    requests: IndexMap<RequestId, Request>,
    attempts: IndexMap<AttemptId, Attempt>,
    connections: IndexMap<ConnectionId, (u64, bool)>,
    view: IndexSet<u64>,
    draining: bool,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let settings = Settings {
            seed,
            max_queued: 8,
            ..Settings::default()
        };
        let mut world = Self {
            dispatcher: Dispatcher::new(settings),
            now: Instant::now(),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            connections: IndexMap::new(),
            view: IndexSet::new(),
            draining: false,
        };
        world.step(Step::View(0b1111));
        world
    }

    pub(crate) fn step(&mut self, step: Step) {
        // Has what expired meanwhile ended, before the step picks among the rest.
        self.feed(Input::Pong { connection: 0 });
        if let Some(input) = self.input(step) {
            self.feed(input);
        }
        self.check_slots();
    }

    /// Lets time pass and ends all answers until nothing should be left.
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
            "a settled request still waits"
        );
        for upstream in 0..UPSTREAMS {
            assert_eq!(self.dispatcher.slots_in_use(upstream), 0, "a slot leaked");
        }
        assert!(self.requests.values().all(|request| request.settled));
    }

    fn input(&mut self, step: Step) -> Option<Input> {
        Some(match step {
            Step::Arrive {
                repeatable,
                deadline_ms,
            } => self.arrive(repeatable, deadline_ms),
            Step::Connect(i) => {
                let connection = self.pick_connection(i, false)?;
                self.connections[&connection].1 = true;
                Input::Connected { connection }
            }
            Step::ConnectFail(i) => {
                let connection = self.pick_connection(i, false)?;
                self.connections.swap_remove(&connection);
                Input::ConnectFailed { connection }
            }
            Step::Refuse(i) => {
                let attempt = self.pick(i, |a| !a.over && !a.headed)?;
                self.attempts[&attempt].proven_not_run = true;
                self.attempts[&attempt].over = true;
                Input::NotProcessed { attempt }
            }
            Step::Reset(i) => {
                let attempt = self.pick(i, |a| !a.over)?;
                self.attempts[&attempt].over = true;
                Input::Reset { attempt }
            }
            Step::Head(i) | Step::FailedHead(i) => {
                let attempt = self.pick(i, |a| !a.over && !a.headed)?;
                self.attempts[&attempt].headed = true;
                let kind = match step {
                    Step::Head(_) => ResponseKind::Served,
                    _ => ResponseKind::Failed,
                };
                Input::ResponseHead { attempt, kind }
            }
            Step::End(i) => {
                let attempt = self.pick(i, |a| !a.over && a.headed)?;
                self.attempts[&attempt].ended = true;
                self.attempts[&attempt].over = true;
                Input::ResponseEnd { attempt }
            }
            Step::LateAnswer(i) => {
                let attempt = self.pick(i, |a| a.over)?;
                self.feed(Input::ResponseHead {
                    attempt,
                    kind: ResponseKind::Served,
                });
                Input::ResponseEnd { attempt }
            }
            Step::BodyDiscarded(i) => {
                let request = self.pick_request(i)?;
                self.requests[&request].body_gone = true;
                Input::BodyDiscarded { request }
            }
            Step::Cancel(i) => {
                let request = self.pick_request(i)?;
                self.settle(request);
                Input::Cancelled { request }
            }
            Step::Lose(i) => {
                let connection = self.pick_connection(i, true)?;
                self.drop_connection(connection);
                Input::ConnectionLost { connection }
            }
            Step::GoAway(i) => Input::GoAway {
                connection: self.pick_connection(i, true)?,
            },
            Step::Pong(i) => Input::Pong {
                connection: self.pick_connection(i, true)?,
            },
            Step::View(mask) => self.set_view(mask),
            Step::Advance(ms) => {
                self.now += Duration::from_millis(ms);
                self.dispatcher.tick(self.now);
                self.drain_outputs();
                let next = self.dispatcher.next_deadline();
                assert!(next.is_none_or(|next| next > self.now), "tick left work");
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
            body_gone: false,
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

    fn set_view(&mut self, mask: u8) -> Input {
        self.view = (0..UPSTREAMS).filter(|i| mask & (1 << i) != 0).collect();
        let view = |id: &u64| UpstreamView {
            id: *id,
            slots: SLOTS,
            warming: id.is_multiple_of(2),
        };
        Input::Upstreams {
            service: SERVICE,
            upstreams: self.view.iter().map(view).collect(),
        }
    }

    fn feed(&mut self, input: Input) {
        self.dispatcher.handle(self.now, input);
        self.drain_outputs();
    }

    fn drain_outputs(&mut self) {
        while let Some(output) = self.dispatcher.poll_output() {
            self.check(output);
        }
    }

    fn check(&mut self, output: Output) {
        match output {
            Output::Open {
                connection,
                upstream,
            } => {
                let previous = self.connections.insert(connection, (upstream, false));
                assert!(previous.is_none(), "a connection's id was used again");
            }
            Output::Send { .. } => self.check_send(output),
            Output::Cancel { attempt } => self.attempts[&attempt].over = true,
            Output::ForwardResponse { request, attempt } => {
                assert_eq!(self.attempts[&attempt].request, request, "a crossed answer");
                assert!(self.attempts[&attempt].headed && !self.requests[&request].settled);
                let previous = self.requests[&request].answered_by.replace(attempt);
                assert!(previous.is_none(), "a second answer was begun");
            }
            Output::EndResponse { request } => {
                let attempt = self.requests[&request].answered_by;
                let attempt = attempt.expect("done without an answer");
                assert!(self.attempts[&attempt].ended, "a part was passed as whole");
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
        assert!(first || !record.body_gone, "sent again without its body");
        assert!(!record.after_drain, "new work after the drain");
        assert!(deadline > self.now, "expired work was sent");
        assert!(self.view.contains(&upstream), "work for a leaving upstream");
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
            headed: false,
            ended: false,
            over: false,
        };
        let previous = self.attempts.insert(attempt, record);
        assert!(previous.is_none(), "an attempt's id was used again");
    }

    fn check_reject(&mut self, request: RequestId, refusal: Refusal) {
        assert!(self.requests[&request].answered_by.is_none());
        let mut sent = self.attempts.values().filter(|a| a.request == request);
        let not_run = sent.all(|a| a.proven_not_run);
        match refusal {
            Refusal::NotRun(_) => assert!(not_run, "`not run` without proof"),
            Refusal::OutcomeUnknown(_) => assert!(!not_run, "proof was there"),
        }
        self.settle(request);
    }

    fn check_slots(&self) {
        for upstream in 0..UPSTREAMS {
            let mine = |a: &&Attempt| a.upstream == upstream && !a.over;
            let open = self.attempts.values().filter(mine).count();
            let held = self.dispatcher.slots_in_use(upstream);
            assert!(held <= SLOTS as usize, "more work than slots");
            assert!(open <= held, "a running attempt holds no slot");
            let unsent = held - open;
            let leaving = !self.view.contains(&upstream);
            assert!(!leaving || unsent == 0, "unsent work at a leaving upstream");
        }
    }

    fn settle(&mut self, request: RequestId) {
        let settled = std::mem::replace(&mut self.requests[&request].settled, true);
        assert!(!settled, "a request was settled twice");
    }

    fn drop_connection(&mut self, connection: ConnectionId) {
        self.connections.swap_remove(&connection);
        for attempt in self.attempts.values_mut() {
            attempt.over |= attempt.connection == connection;
        }
    }

    fn pick(&self, i: usize, wanted: impl Fn(&Attempt) -> bool) -> Option<AttemptId> {
        let matching: Vec<_> = self.attempts.iter().filter(|(_, a)| wanted(a)).collect();
        matching.get(i % matching.len().max(1)).map(|(id, _)| **id)
    }

    fn pick_request(&self, i: usize) -> Option<RequestId> {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.settled).collect();
        open.get(i % open.len().max(1)).map(|(id, _)| **id)
    }

    fn pick_connection(&self, i: usize, open: bool) -> Option<ConnectionId> {
        let matching: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, c)| c.1 == open)
            .collect();
        matching.get(i % matching.len().max(1)).map(|(id, _)| **id)
    }
}
