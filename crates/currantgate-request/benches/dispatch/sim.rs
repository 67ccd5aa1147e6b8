//! Upstreams and callers in virtual time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::policy::{Act, End, Policy};

/// Upstreams of the service.
pub(crate) const UPSTREAMS: usize = 15;

/// Slots that each upstream announces.
pub(crate) const SLOTS: usize = 3;

/// Requests that an upstream lets wait before it refuses.
const BACKLOG: usize = 100;

/// Time that a refusal or reset takes.
const FAILURE_DELAY: Duration = Duration::from_millis(2);

/// The mean time that a healthy upstream works on a request.
pub(crate) const WORK: Duration = Duration::from_millis(20);

/// One request of a caller.
pub(crate) struct Arrival {
    pub(crate) request: u64,
    pub(crate) deadline: Instant,
    pub(crate) repeatable: bool,
}

/// How an upstream behaves.
#[derive(Clone, Copy)]
pub(crate) struct Behaviour {
    /// Requests that it truly works on at once.
    pub(crate) slots: usize,
    /// How many times longer than a healthy one it works.
    pub(crate) slowness: f64,
    /// How long after the start the slowness lasts.
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

/// One run.
pub(crate) struct Scenario {
    pub(crate) upstreams: [Behaviour; UPSTREAMS],
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) length: Duration,
    pub(crate) patience: Duration,
    /// While it lasts, upstreams run each request and then break it off.
    pub(crate) outage: Option<(Duration, Duration)>,
    pub(crate) seed: u64,
}

/// What a run gave.
pub(crate) struct Report {
    /// Microseconds beyond a healthy upstream's work, for answers in time;
    /// callers without an answer count with their whole patience.
    pub(crate) wait: Histogram<u64>,
    /// Answers in time a second.
    pub(crate) goodput: f64,
    /// Attempts of each request that was sent at all during the outage.
    pub(crate) attempts_in_outage: f64,
    /// Requests that may not be repeated and ran more than once.
    pub(crate) doubled: usize,
}

enum Event {
    Arrive,
    Finish { upstream: usize, attempt: u64 },
    Fail { attempt: u64, end: End },
    Tick,
}

struct Upstream {
    behaviour: Behaviour,
    running: Vec<u64>,
    backlog: VecDeque<u64>,
}

struct Caller {
    arrived: Instant,
    deadline: Instant,
    repeatable: bool,
    work: Duration,
    runs: u32,
    sent_in_outage: u32,
    answered: Option<Instant>,
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
            backlog: VecDeque::new(),
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
        let mut acts = Vec::new();
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Arrive => self.arrive(policy, &mut acts),
                Event::Finish { upstream, attempt } => {
                    self.finish(upstream, attempt, policy, &mut acts);
                }
                Event::Fail { attempt, end } => policy.ended(at, attempt, end, &mut acts),
                Event::Tick => {
                    self.tick = None;
                    policy.tick(at, &mut acts);
                }
            }
            for act in acts.drain(..) {
                self.act(&act);
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

    fn arrive(&mut self, policy: &mut dyn Policy, acts: &mut Vec<Act>) {
        let arrival = Arrival {
            request: self.callers.len() as u64,
            deadline: self.now + self.scenario.patience,
            repeatable: self.rng.random_bool(0.5),
        };
        self.callers.push(Caller {
            arrived: self.now,
            deadline: arrival.deadline,
            repeatable: arrival.repeatable,
            work: WORK.mul_f64(self.rng.random_range(0.5..1.5)),
            runs: 0,
            sent_in_outage: 0,
            answered: None,
        });
        policy.arrive(self.now, &arrival, acts);
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.scenario.rate;
        let gap = Duration::from_secs_f64(gap);
        if self.now + gap < self.start + self.scenario.length {
            self.schedule(gap, Event::Arrive);
        }
    }

    fn in_outage(&self) -> bool {
        let elapsed = self.now - self.start;
        let within = |(from, to): (Duration, Duration)| from <= elapsed && elapsed < to;
        self.scenario.outage.is_some_and(within)
    }

    fn act(&mut self, act: &Act) {
        match *act {
            Act::Send {
                request,
                attempt,
                upstream,
            } => self.take(request, attempt, upstream),
            Act::Cancel { attempt } => self.cancel(attempt),
        }
    }

    fn take(&mut self, request: u64, attempt: u64, i: usize) {
        self.attempts.insert(attempt, (request, i));
        if self.in_outage() {
            self.callers[request as usize].runs += 1;
            self.callers[request as usize].sent_in_outage += 1;
            let end = End::Reset;
            self.schedule(FAILURE_DELAY, Event::Fail { attempt, end });
        } else if self.upstreams[i].running.len() < self.upstreams[i].behaviour.slots {
            self.work(i, attempt);
        } else if self.upstreams[i].backlog.len() < BACKLOG {
            self.upstreams[i].backlog.push_back(attempt);
        } else {
            let end = End::Refused;
            self.schedule(FAILURE_DELAY, Event::Fail { attempt, end });
        }
    }

    fn work(&mut self, i: usize, attempt: u64) {
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

    fn finish(&mut self, i: usize, attempt: u64, policy: &mut dyn Policy, acts: &mut Vec<Act>) {
        if !self.free(i, attempt) {
            return;
        }
        let caller = &mut self.callers[self.attempts[&attempt].0 as usize];
        caller.answered.get_or_insert(self.now);
        policy.ended(self.now, attempt, End::Answered, acts);
    }

    fn cancel(&mut self, attempt: u64) {
        let (_, i) = self.attempts[&attempt];
        self.upstreams[i]
            .backlog
            .retain(|waiting| *waiting != attempt);
        self.free(i, attempt);
    }

    /// Frees the slot that the attempt holds and starts what waits for one.
    fn free(&mut self, i: usize, attempt: u64) -> bool {
        let before = self.upstreams[i].running.len();
        self.upstreams[i]
            .running
            .retain(|running| *running != attempt);
        let freed = self.upstreams[i].running.len() < before;
        if freed && let Some(next) = self.upstreams[i].backlog.pop_front() {
            self.work(i, next);
        }
        freed
    }

    fn report(self) -> Report {
        let mut wait = Histogram::new(3).expect("three digits are within what it takes");
        let mut good = 0;
        let (mut sends, mut sent) = (0, 0);
        let mut doubled = 0;
        for caller in &self.callers {
            let answered = caller.answered.filter(|at| *at <= caller.deadline);
            good += usize::from(answered.is_some());
            let took = answered.unwrap_or(caller.deadline) - caller.arrived;
            let waited = took.saturating_sub(caller.work).as_micros() as u64;
            wait.record(waited).expect("the histogram grows");
            sends += caller.sent_in_outage;
            sent += u32::from(caller.sent_in_outage > 0);
            doubled += usize::from(!caller.repeatable && caller.runs > 1);
        }
        Report {
            wait,
            goodput: good as f64 / self.scenario.length.as_secs_f64(),
            attempts_in_outage: f64::from(sends) / f64::from(sent.max(1)),
            doubled,
        }
    }
}
