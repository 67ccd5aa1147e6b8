//! The dispatcher and two baselines behind one interface.

use std::collections::HashMap;
use std::time::Instant;

use currantgate_request::*;

use crate::sim::{Arrival, SLOTS, UPSTREAMS};

const SERVICE: u32 = 1;

/// Command of a policy.
pub(crate) enum Command {
    Send {
        request: u64,
        attempt: u64,
        upstream: usize,
    },
    Cancel {
        attempt: u64,
    },
}

/// Way in which an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    Refused,
    Reset,
    Responded,
}

pub(crate) trait Policy {
    fn name(&self) -> &'static str;
    fn on_arrival(&mut self, now: Instant, arrival: &Arrival, commands: &mut Vec<Command>);
    fn on_end(&mut self, now: Instant, attempt: u64, end: AttemptEnd, commands: &mut Vec<Command>);
    fn next_deadline(&self) -> Option<Instant>;
    fn tick(&mut self, now: Instant, commands: &mut Vec<Command>);
}

/// The dispatcher, with connections that open at once and acknowledge each PING.
pub(crate) struct DispatcherPolicy(Dispatcher);

impl DispatcherPolicy {
    pub(crate) fn new(now: Instant, warming_upstream: Option<usize>) -> Self {
        let mut dispatcher = Dispatcher::new(Settings::default());
        let view = |i| UpstreamView {
            id: i as u64,
            slots: SLOTS as u32,
            warming: warming_upstream == Some(i),
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

    fn run_commands(&mut self, now: Instant, commands: &mut Vec<Command>) {
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
                } => commands.push(Command::Send {
                    request,
                    attempt,
                    upstream: upstream as usize,
                }),
                Output::Cancel { attempt } => commands.push(Command::Cancel { attempt }),
                Output::ForwardResponse { .. }
                | Output::EndResponse { .. }
                | Output::AbortResponse { .. }
                | Output::Reject { .. }
                | Output::Close { .. } => {}
            }
        }
    }
}

impl Policy for DispatcherPolicy {
    fn name(&self) -> &'static str {
        "currantgate"
    }

    fn on_arrival(&mut self, now: Instant, arrival: &Arrival, commands: &mut Vec<Command>) {
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
        self.run_commands(now, commands);
    }

    fn on_end(&mut self, now: Instant, attempt: u64, end: AttemptEnd, commands: &mut Vec<Command>) {
        match end {
            AttemptEnd::Refused => self.0.handle(now, Input::NotProcessed { attempt }),
            AttemptEnd::Reset => self.0.handle(now, Input::Reset { attempt }),
            AttemptEnd::Responded => {
                let kind = ResponseKind::Served;
                self.0.handle(now, Input::ResponseHead { attempt, kind });
                self.0.handle(now, Input::ResponseEnd { attempt });
            }
        }
        self.run_commands(now, commands);
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.0.next_deadline()
    }

    fn tick(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.0.tick(now);
        self.run_commands(now, commands);
    }
}

/// Load balancing algorithm of a baseline.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Algorithm {
    /// Round robin; any failure is retried at once, up to three times.
    RoundRobin,
    /// Fewest open requests; refusals are retried once.
    LeastConnections,
}

/// Baseline without admission control, deadlines or circuit breakers.
pub(crate) struct Baseline {
    algorithm: Algorithm,
    open: [usize; UPSTREAMS],
    attempts: HashMap<u64, (u64, usize, u32)>,
    last_attempt: u64,
    next_index: usize,
}

impl Baseline {
    pub(crate) fn new(algorithm: Algorithm) -> Self {
        Self {
            algorithm,
            open: [0; UPSTREAMS],
            attempts: HashMap::new(),
            last_attempt: 0,
            next_index: 0,
        }
    }

    fn send(&mut self, request: u64, tries: u32, commands: &mut Vec<Command>) {
        self.next_index = (self.next_index + 1) % UPSTREAMS;
        let load = |i: &usize| self.open[*i];
        let rotated = (0..UPSTREAMS).map(|i| (i + self.next_index) % UPSTREAMS);
        let upstream = match self.algorithm {
            Algorithm::RoundRobin => self.next_index,
            Algorithm::LeastConnections => rotated.min_by_key(load).unwrap_or(0),
        };
        self.last_attempt += 1;
        self.open[upstream] += 1;
        self.attempts
            .insert(self.last_attempt, (request, upstream, tries));
        commands.push(Command::Send {
            request,
            attempt: self.last_attempt,
            upstream,
        });
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.algorithm {
            Algorithm::RoundRobin => "round robin",
            Algorithm::LeastConnections => "least conn.",
        }
    }

    fn on_arrival(&mut self, _: Instant, arrival: &Arrival, commands: &mut Vec<Command>) {
        self.send(arrival.request, 1, commands);
    }

    fn on_end(&mut self, _: Instant, attempt: u64, end: AttemptEnd, commands: &mut Vec<Command>) {
        let Some((request, upstream, tries)) = self.attempts.remove(&attempt) else {
            return;
        };
        self.open[upstream] -= 1;
        let retries = match self.algorithm {
            Algorithm::RoundRobin => end != AttemptEnd::Responded && tries < 4,
            Algorithm::LeastConnections => end == AttemptEnd::Refused && tries < 2,
        };
        if retries {
            self.send(request, tries + 1, commands);
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        None
    }

    fn tick(&mut self, _: Instant, _: &mut Vec<Command>) {}
}
