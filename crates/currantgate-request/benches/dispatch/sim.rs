//! Simulation of upstreams and callers in virtual time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::policy::{AttemptEnd, Command, Policy};

/// Number of upstreams of the service.
pub(crate) const UPSTREAMS: usize = 15;

/// Number of slots that each upstream announces.
pub(crate) const SLOTS: usize = 3;

/// Maximum number of requests that an upstream queues before it refuses more.
const MAX_QUEUED: usize = 100;

/// Time from sending an attempt to its refusal or reset.
const FAILURE_DELAY: Duration = Duration::from_millis(2);

/// Mean time in which a healthy upstream processes a request.
pub(crate) const MEAN_WORK: Duration = Duration::from_millis(20);

/// Arrival of a caller's request.
pub(crate) struct Arrival {
    pub(crate) request: u64,
    pub(crate) deadline: Instant,
    pub(crate) repeatable: bool,
}

/// Behaviour of an upstream.
#[derive(Clone, Copy)]
pub(crate) struct Behaviour {
    /// Actual number of requests that it processes concurrently.
    pub(crate) slots: usize,
    /// Factor over the processing time of a healthy upstream.
    pub(crate) slowness: f64,
    /// Time after the start at which the slowness ends.
    pub(crate) slow_until: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: SLOTS,
            slowness: 1.0,
            slow_until: Duration::MAX,
        }
    }
}

/// Parameters of one run.
pub(crate) struct Scenario {
    pub(crate) upstreams: [Behaviour; UPSTREAMS],
    /// Request rate, per second.
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) timeout: Duration,
    /// Period from the start in which upstreams process each request and then reset it.
    pub(crate) outage: Option<(Duration, Duration)>,
    pub(crate) seed: u64,
}

/// Results of a run.
pub(crate) struct Report {
    /// Microseconds beyond the processing time of a healthy upstream; a request
    /// without a response in time counts with its whole timeout.
    pub(crate) wait: Histogram<u64>,
    /// Responses in time, per second.
    pub(crate) goodput: f64,
    /// Mean number of attempts of the requests that were sent during the outage.
    pub(crate) attempts_in_outage: f64,
    /// Number of requests that are not repeatable and were processed more than once.
    pub(crate) duplicated: usize,
}

enum Event {
    Arrive,
    Finish { upstream: usize, attempt: u64 },
    Fail { attempt: u64, end: AttemptEnd },
    Tick,
}

struct Upstream {
    behaviour: Behaviour,
    running: Vec<u64>,
    queue: VecDeque<u64>,
}

struct Caller {
    arrived: Instant,
    deadline: Instant,
    repeatable: bool,
    work: Duration,
    runs: u32,
    sent_in_outage: u32,
    responded_at: Option<Instant>,
}

pub(crate) struct Sim<'a> {
    scenario: &'a Scenario,
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    upstreams: Vec<Upstream>,
    callers: Vec<Caller>,
    attempts: HashMap<u64, (u64, usize)>,
    tick: Option<Instant>,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(scenario: &'a Scenario, start: Instant) -> Self {
        let upstream = |behaviour: &Behaviour| Upstream {
            behaviour: *behaviour,
            running: Vec::new(),
            queue: VecDeque::new(),
        };
        Self {
            scenario,
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            events: BTreeMap::new(),
            sequence: 0,
            upstreams: scenario.upstreams.iter().map(upstream).collect(),
            callers: Vec::new(),
            attempts: HashMap::new(),
            tick: None,
        }
    }

    pub(crate) fn run(mut self, policy: &mut dyn Policy) -> Report {
        self.schedule(Duration::ZERO, Event::Arrive);
        let mut commands = Vec::new();
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Arrive => self.on_arrival(policy, &mut commands),
                Event::Finish { upstream, attempt } => {
                    self.on_finish(upstream, attempt, policy, &mut commands);
                }
                Event::Fail { attempt, end } => policy.on_end(at, attempt, end, &mut commands),
                Event::Tick => {
                    self.tick = None;
                    policy.tick(at, &mut commands);
                }
            }
            for command in commands.drain(..) {
                self.execute(&command);
            }
            self.schedule_tick(policy);
        }
        self.report()
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn schedule_tick(&mut self, policy: &dyn Policy) {
        let Some(next) = policy.next_deadline() else {
            return;
        };
        if self.tick.is_none_or(|tick| next < tick) {
            self.tick = Some(next);
            self.schedule(next.saturating_duration_since(self.now), Event::Tick);
        }
    }

    fn on_arrival(&mut self, policy: &mut dyn Policy, commands: &mut Vec<Command>) {
        let arrival = Arrival {
            request: self.callers.len() as u64,
            deadline: self.now + self.scenario.timeout,
            repeatable: self.rng.random_bool(0.5),
        };
        self.callers.push(Caller {
            arrived: self.now,
            deadline: arrival.deadline,
            repeatable: arrival.repeatable,
            work: MEAN_WORK.mul_f64(self.rng.random_range(0.5..1.5)),
            runs: 0,
            sent_in_outage: 0,
            responded_at: None,
        });
        policy.on_arrival(self.now, &arrival, commands);
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.scenario.rate;
        let gap = Duration::from_secs_f64(gap);
        if self.now + gap < self.start + self.scenario.duration {
            self.schedule(gap, Event::Arrive);
        }
    }

    fn in_outage(&self) -> bool {
        let elapsed = self.now - self.start;
        let within = |(from, to): (Duration, Duration)| from <= elapsed && elapsed < to;
        self.scenario.outage.is_some_and(within)
    }

    fn execute(&mut self, command: &Command) {
        match *command {
            Command::Send {
                request,
                attempt,
                upstream,
            } => self.receive(request, attempt, upstream),
            Command::Cancel { attempt } => self.cancel(attempt),
        }
    }

    fn receive(&mut self, request: u64, attempt: u64, i: usize) {
        self.attempts.insert(attempt, (request, i));
        if self.in_outage() {
            self.callers[request as usize].runs += 1;
            self.callers[request as usize].sent_in_outage += 1;
            let end = AttemptEnd::Reset;
            self.schedule(FAILURE_DELAY, Event::Fail { attempt, end });
        } else if self.upstreams[i].running.len() < self.upstreams[i].behaviour.slots {
            self.process(i, attempt);
        } else if self.upstreams[i].queue.len() < MAX_QUEUED {
            self.upstreams[i].queue.push_back(attempt);
        } else {
            let end = AttemptEnd::Refused;
            self.schedule(FAILURE_DELAY, Event::Fail { attempt, end });
        }
    }

    fn process(&mut self, i: usize, attempt: u64) {
        let behaviour = self.upstreams[i].behaviour;
        self.upstreams[i].running.push(attempt);
        let caller = &mut self.callers[self.attempts[&attempt].0 as usize];
        caller.runs += 1;
        let slow = self.now - self.start < behaviour.slow_until;
        let factor = if slow { behaviour.slowness } else { 1.0 };
        let work = caller.work.mul_f64(factor);
        let upstream = i;
        self.schedule(work, Event::Finish { upstream, attempt });
    }

    fn on_finish(
        &mut self,
        i: usize,
        attempt: u64,
        policy: &mut dyn Policy,
        commands: &mut Vec<Command>,
    ) {
        if !self.release_slot(i, attempt) {
            return;
        }
        let caller = &mut self.callers[self.attempts[&attempt].0 as usize];
        caller.responded_at.get_or_insert(self.now);
        policy.on_end(self.now, attempt, AttemptEnd::Responded, commands);
    }

    fn cancel(&mut self, attempt: u64) {
        let (_, i) = self.attempts[&attempt];
        self.upstreams[i]
            .queue
            .retain(|waiting| *waiting != attempt);
        self.release_slot(i, attempt);
    }

    /// Frees the slot of an attempt and starts the next queued one; returns whether the
    /// attempt held a slot.
    fn release_slot(&mut self, i: usize, attempt: u64) -> bool {
        let before = self.upstreams[i].running.len();
        self.upstreams[i]
            .running
            .retain(|running| *running != attempt);
        let freed = self.upstreams[i].running.len() < before;
        if freed && let Some(next) = self.upstreams[i].queue.pop_front() {
            self.process(i, next);
        }
        freed
    }

    fn report(self) -> Report {
        let mut wait = Histogram::new(3).expect("three digits are within what it takes");
        let mut in_time = 0;
        let (mut sends, mut sent) = (0, 0);
        let mut duplicated = 0;
        for caller in &self.callers {
            let responded_at = caller.responded_at.filter(|at| *at <= caller.deadline);
            in_time += usize::from(responded_at.is_some());
            let took = responded_at.unwrap_or(caller.deadline) - caller.arrived;
            let waited = took.saturating_sub(caller.work).as_micros() as u64;
            wait.record(waited).expect("the histogram grows");
            sends += caller.sent_in_outage;
            sent += u32::from(caller.sent_in_outage > 0);
            duplicated += usize::from(!caller.repeatable && caller.runs > 1);
        }
        Report {
            wait,
            goodput: in_time as f64 / self.scenario.duration.as_secs_f64(),
            attempts_in_outage: f64::from(sends) / f64::from(sent.max(1)),
            duplicated,
        }
    }
}
