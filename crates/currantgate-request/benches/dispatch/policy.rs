//! The dispatcher and two baselines behind one interface.

use std::collections::HashMap;
use std::time::Instant;

use currantgate_request::*;

use crate::sim::{Arrival, SLOTS, UPSTREAMS};

const SERVICE: u32 = 1;

/// What a policy wants done.
pub(crate) enum Act {
    Send {
        request: u64,
        attempt: u64,
        upstream: usize,
    },
    Cancel {
        attempt: u64,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Refused,
    Reset,
    Answered,
}

pub(crate) trait Policy {
    fn name(&self) -> &'static str;
    fn arrive(&mut self, now: Instant, arrival: &Arrival, acts: &mut Vec<Act>);
    fn ended(&mut self, now: Instant, attempt: u64, end: End, acts: &mut Vec<Act>);
    fn next_deadline(&self) -> Option<Instant>;
    fn tick(&mut self, now: Instant, acts: &mut Vec<Act>);
}

/// The dispatcher, with connections that open at once and answer each PING.
pub(crate) struct Ours(Dispatcher);

impl Ours {
    pub(crate) fn new(now: Instant, cold: Option<usize>) -> Self {
        let mut dispatcher = Dispatcher::new(Settings::default());
        let view = |i| UpstreamView {
            id: i as u64,
            slots: SLOTS as u32,
            warming: cold == Some(i),
        };
        let upstreams = (0..UPSTREAMS).map(view).collect();
        dispatcher.handle(
            now,
            Input::Upstreams {
                service: SERVICE,
                upstreams,
            },
        );
        Self(dispatcher)
    }

    fn act(&mut self, now: Instant, acts: &mut Vec<Act>) {
        while let Some(output) = self.0.poll_output() {
            match output {
                Output::Open { connection, .. } => {
                    self.0.handle(now, Input::Connected { connection });
                }
                Output::Ping { connection } => self.0.handle(now, Input::Pong { connection }),
                Output::Send {
                    request,
                    attempt,
                    upstream,
                    ..
                } => acts.push(Act::Send {
                    request,
                    attempt,
                    upstream: upstream as usize,
                }),
                Output::Cancel { attempt } => acts.push(Act::Cancel { attempt }),
                Output::ForwardResponse { .. }
                | Output::EndResponse { .. }
                | Output::AbortResponse { .. }
                | Output::Reject { .. }
                | Output::Close { .. } => {}
            }
        }
    }
}

impl Policy for Ours {
    fn name(&self) -> &'static str {
        "currantgate"
    }

    fn arrive(&mut self, now: Instant, arrival: &Arrival, acts: &mut Vec<Act>) {
        let repeatability = match arrival.repeatable {
            true => Repeatability::Repeatable,
            false => Repeatability::Once,
        };
        let input = Input::Arrived {
            request: arrival.request,
            service: SERVICE,
            deadline: arrival.deadline,
            repeatability,
        };
        self.0.handle(now, input);
        self.act(now, acts);
    }

    fn ended(&mut self, now: Instant, attempt: u64, end: End, acts: &mut Vec<Act>) {
        match end {
            End::Refused => self.0.handle(now, Input::NotProcessed { attempt }),
            End::Reset => self.0.handle(now, Input::Reset { attempt }),
            End::Answered => {
                let kind = ResponseKind::Served;
                self.0.handle(now, Input::ResponseHead { attempt, kind });
                self.0.handle(now, Input::ResponseEnd { attempt });
            }
        }
        self.act(now, acts);
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.0.next_deadline()
    }

    fn tick(&mut self, now: Instant, acts: &mut Vec<Act>) {
        self.0.tick(now);
        self.act(now, acts);
    }
}

/// How a baseline chooses an upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// Each in turn; any failure is tried again at once, up to three times.
    RoundRobin,
    /// The fewest open requests; refusals are tried again once.
    LeastConnections,
}

/// A baseline without admission, deadlines or circuits.
pub(crate) struct Baseline {
    choice: Choice,
    open: [usize; UPSTREAMS],
    attempts: HashMap<u64, (u64, usize, u32)>,
    last: u64,
    turn: usize,
}

impl Baseline {
    pub(crate) fn new(choice: Choice) -> Self {
        Self {
            choice,
            open: [0; UPSTREAMS],
            attempts: HashMap::new(),
            last: 0,
            turn: 0,
        }
    }

    fn send(&mut self, request: u64, tries: u32, acts: &mut Vec<Act>) {
        self.turn = (self.turn + 1) % UPSTREAMS;
        let load = |i: &usize| self.open[*i];
        let in_turn = (0..UPSTREAMS).map(|i| (i + self.turn) % UPSTREAMS);
        let upstream = match self.choice {
            Choice::RoundRobin => self.turn,
            Choice::LeastConnections => in_turn.min_by_key(load).unwrap_or(0),
        };
        self.last += 1;
        self.open[upstream] += 1;
        self.attempts.insert(self.last, (request, upstream, tries));
        acts.push(Act::Send {
            request,
            attempt: self.last,
            upstream,
        });
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.choice {
            Choice::RoundRobin => "round robin",
            Choice::LeastConnections => "least conn.",
        }
    }

    fn arrive(&mut self, _: Instant, arrival: &Arrival, acts: &mut Vec<Act>) {
        self.send(arrival.request, 1, acts);
    }

    fn ended(&mut self, _: Instant, attempt: u64, end: End, acts: &mut Vec<Act>) {
        let Some((request, upstream, tries)) = self.attempts.remove(&attempt) else {
            return;
        };
        self.open[upstream] -= 1;
        let again = match self.choice {
            Choice::RoundRobin => end != End::Answered && tries < 4,
            Choice::LeastConnections => end == End::Refused && tries < 2,
        };
        if again {
            self.send(request, tries + 1, acts);
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        None
    }

    fn tick(&mut self, _: Instant, _: &mut Vec<Act>) {}
}
