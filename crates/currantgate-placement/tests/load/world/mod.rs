//! Entries that place flows on upstreams with queues, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use currantgate_placement::{
    Placement, PlacementRequest, PlacementSettings, Refusal, Suspect, SuspicionChange, Target,
    TargetKey,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, LogNormal};

mod report;
mod request;
mod scene;

pub(crate) use report::Report;
pub(crate) use scene::{Policy, Scene};

use report::Outcome;
use request::{Kind, Request, SAFE, UNSAFE, UNSAFE_SHARE, WORK_MS, WORK_SPREAD};

/// After how long a caller repeats a first packet that is not answered, and
/// when it gives the try up.
const REPEAT_MS: [f64; 3] = [0.0, 200.0, 600.0];
const GIVE_UP_MS: f64 = 1_400.0;

/// After how long an upstream refuses what waits there.
const SHED_AFTER_MS: f64 = 200.0;

/// The mean pause before a caller's first retry; it doubles.
const RETRY_PAUSE_MS: f64 = 100.0;

/// How many failure domains entries and upstreams stand in by turns, as at the
/// users', and the way there and back between two of them.
const DOMAINS: usize = 4;
const HOP_MS: f64 = 2.8;

/// How many requests are played.
const REQUESTS: u32 = 40_000;

#[derive(Debug, Default)]
struct Upstream {
    busy: u32,
    waiting: VecDeque<Request>,
    flows: usize,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Try { request: Request, copies: usize },
    Done(Request),
}

/// Plays a scene with one way of placing flows.
pub(crate) fn play(scene: &Scene, policy: Policy) -> Report {
    World::new(scene.clone(), policy).play()
}

struct World {
    scene: Scene,
    policy: Policy,
    start: Instant,
    length_ms: f64,
    rng: ChaCha8Rng,
    entries: Vec<Placement>,
    upstreams: Vec<Upstream>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: Vec<Option<Event>>,
    report: Report,
}

impl World {
    fn new(scene: Scene, policy: Policy) -> Self {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(scene.seed);
        let length_ms = f64::from(REQUESTS) / arrivals_per_ms(&scene);
        let warm_at = start + millis(length_ms / 4.0);
        let target = |n: usize, entry: usize| Target {
            key: n as TargetKey,
            service: "booking".into(),
            domain: format!("{}", n % DOMAINS).into(),
            is_local: n % DOMAINS == entry % DOMAINS,
            slots: scene.slots,
            warm_at: if n < scene.cold { warm_at } else { start },
            is_reporting: true,
        };
        let entry = |entry| {
            let mut settings = PlacementSettings {
                seed: rng.random(),
                ..PlacementSettings::default()
            };
            if policy != Policy::Admission {
                let never = Duration::from_secs(24 * 60 * 60);
                settings.admission.overload_after_growth = never;
                settings.admission.overload_after_late = never;
            }
            let mut placement = Placement::new(settings);
            placement.set_targets((0..scene.upstreams).map(|n| target(n, entry)));
            placement
        };
        let entries = (0..scene.entries).map(entry).collect();
        let upstreams = if policy == Policy::OneQueue {
            1
        } else {
            scene.upstreams
        };
        Self {
            policy,
            start,
            length_ms,
            rng,
            entries,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            events: BinaryHeap::new(),
            queued: Vec::new(),
            report: Report::default(),
            scene,
        }
    }

    fn play(mut self) -> Report {
        self.schedule_arrivals();
        while let Some(Reverse((micros, index))) = self.events.pop() {
            let now_ms = micros as f64 / 1_000.0;
            match self.queued[index as usize].take() {
                Some(Event::Try { request, copies }) => self.attempt(now_ms, request, copies),
                Some(Event::Done(request)) => self.finish(now_ms, request),
                None => {}
            }
        }
        self.report
    }

    fn schedule_arrivals(&mut self) {
        let gap = Exp::new(arrivals_per_ms(&self.scene)).expect("the rate is positive");
        let deviation = (1.0 + WORK_SPREAD * WORK_SPREAD).ln();
        let spread = LogNormal::new(-deviation / 2.0, deviation.sqrt());
        let spread = spread.expect("the spread is finite");
        let mut now_ms = 0.0;
        while now_ms < self.length_ms {
            let is_burst = self.middle_third().contains(&now_ms);
            let faster = if is_burst { self.scene.burst } else { 1.0 };
            now_ms += gap.sample(&mut self.rng) / faster;
            let kind = if self.rng.random_bool(UNSAFE_SHARE) {
                UNSAFE
            } else {
                SAFE
            };
            let entry = self.rng.random_range(0..self.scene.entries);
            let request = Request {
                kind,
                begun_ms: now_ms,
                work_ms: kind.work_ms * spread.sample(&mut self.rng),
                entry,
                domain: entry % DOMAINS,
                key: 0,
                retries: 0,
                try_ms: now_ms,
                sent_ms: now_ms,
                is_cold: false,
            };
            self.note(&request, |outcome| outcome.asked += 1);
            self.schedule(now_ms, Event::Try { request, copies: 0 });
        }
    }

    fn note(&mut self, request: &Request, note: impl Fn(&mut Outcome)) {
        let second = (request.begun_ms / 1_000.0) as usize;
        if self.report.by_second.len() <= second {
            self.report.by_second.resize(second + 1, Outcome::default());
        }
        note(&mut self.report.by_second[second]);
        note(&mut self.report.by_domain[request.domain]);
        note(if request.kind.is_idempotent {
            &mut self.report.safe
        } else {
            &mut self.report.unsafe_
        });
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let index = self.queued.len() as u64;
        self.queued.push(Some(event));
        self.events.push(Reverse(((at_ms * 1_000.0) as u64, index)));
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + millis(ms)
    }

    fn places(&self) -> bool {
        matches!(self.policy, Policy::LeastLoad | Policy::Admission)
    }

    /// Sends a first packet, or a copy of it when the one before is unanswered.
    fn attempt(&mut self, now_ms: f64, mut request: Request, copies: usize) {
        if self.is_in_outage(now_ms) {
            return self.repeat(request, copies);
        }
        match self.choose(now_ms, &request, copies) {
            Ok(key) => request.key = key,
            Err(Refusal::Overloaded(_)) => {
                self.note(&request, |outcome| outcome.refused += 1);
                return self.retry(now_ms, request);
            }
            Err(Refusal::NoUpstream) => unreachable!("there are upstreams"),
        }
        request.sent_ms = now_ms;
        let is_lost = self.scene.loss > 0.0 && self.rng.random_bool(self.scene.loss);
        self.report.lost += u32::from(is_lost);
        if is_lost || self.is_dark(now_ms, request.key) {
            return self.repeat(request, copies);
        }
        if self.places() {
            let now = self.at(now_ms);
            self.entries[request.entry].record_answer(now, request.key);
        }
        self.arrive(now_ms, request);
    }

    fn choose(
        &mut self,
        now_ms: f64,
        request: &Request,
        copies: usize,
    ) -> Result<TargetKey, Refusal> {
        match self.policy {
            Policy::OneQueue => Ok(0),
            Policy::Hash => Ok(self.rng.random_range(0..self.scene.upstreams) as TargetKey),
            Policy::LeastLoad | Policy::Admission => {
                let (now, sent) = (self.at(now_ms), self.at(request.sent_ms));
                let was_placed = copies > 0 && !self.is_in_outage(request.sent_ms);
                let tried = was_placed.then_some(request.key);
                let placement = &mut self.entries[request.entry];
                if let Some(before) = tried {
                    placement.record_no_answer(now, before, request.priority(), sent);
                    let doubts = placement.take_suspicion_changes();
                    self.count_doubts(now_ms, &doubts);
                }
                let placement = &mut self.entries[request.entry];
                let placement_request = PlacementRequest {
                    service: "booking",
                    priority: request.priority(),
                    latency_target: millis(request.kind.aim_ms),
                    may_refuse: copies == 0,
                    tried: tried.as_slice(),
                };
                placement
                    .place(now, &placement_request)
                    .map(|placed| placed.key)
            }
        }
    }

    fn count_doubts(&mut self, now_ms: f64, doubts: &[SuspicionChange]) {
        for doubt in doubts.iter().filter(|doubt| doubt.until.is_some()) {
            match doubt.suspect {
                Suspect::Upstream(key) if self.is_dark(now_ms, key) => {}
                Suspect::Upstream(_) => self.report.false_doubts += 1,
                Suspect::Domain(_) if self.scene.loses_domain => {}
                Suspect::Domain(_) => self.report.false_domain_doubts += 1,
            }
        }
    }

    fn is_in_outage(&self, ms: f64) -> bool {
        let (from, to) = self.scene.outage_ms;
        (from..to).contains(&ms)
    }

    /// Lets the caller repeat a first packet, or ask anew after the last one.
    fn repeat(&mut self, request: Request, copies: usize) {
        let copies = copies + 1;
        match REPEAT_MS.get(copies) {
            Some(wait) => {
                let at_ms = request.try_ms + wait;
                self.schedule(at_ms, Event::Try { request, copies });
            }
            None => self.retry(request.try_ms + GIVE_UP_MS, request),
        }
    }

    /// Lets the caller ask anew after a pause, unless it gives up.
    fn retry(&mut self, now_ms: f64, mut request: Request) {
        let pause = RETRY_PAUSE_MS * f64::from(1 << request.retries);
        let at_ms = now_ms + pause * self.rng.random_range(0.5..1.5);
        let is_late = at_ms > request.begun_ms + request.kind.patience_ms;
        if request.retries >= self.scene.retries || is_late {
            return;
        }
        request.retries += 1;
        request.try_ms = at_ms;
        request.sent_ms = at_ms;
        request.entry = self.rng.random_range(0..self.scene.entries);
        self.schedule(at_ms, Event::Try { request, copies: 0 });
    }

    fn arrive(&mut self, now_ms: f64, mut request: Request) {
        let (slots, queue) = self.room();
        request.is_cold = self.is_cold(now_ms, request.key);
        let upstream = &mut self.upstreams[request.key as usize];
        upstream.flows += 1;
        if request.is_cold {
            self.report.most_at_cold = self.report.most_at_cold.max(upstream.flows);
        }
        if upstream.busy < slots {
            upstream.busy += 1;
            self.start_work(now_ms, request);
        } else if upstream.waiting.len() < queue {
            upstream.waiting.push_back(request);
        } else {
            self.shed(now_ms, request);
        }
    }

    fn room(&self) -> (u32, usize) {
        let Scene {
            slots,
            queue,
            upstreams,
            dark,
            ..
        } = self.scene;
        match self.policy {
            Policy::OneQueue => {
                let lit = upstreams - dark;
                (slots * lit as u32, queue * lit)
            }
            _ => (slots, queue),
        }
    }

    fn is_cold(&self, now_ms: f64, key: TargetKey) -> bool {
        self.policy != Policy::OneQueue
            && (key as usize) < self.scene.cold
            && now_ms < self.length_ms / 4.0
    }

    fn is_dark(&self, now_ms: f64, key: TargetKey) -> bool {
        let key = key as usize;
        let is_lost = self.scene.loses_domain
            && key.is_multiple_of(DOMAINS)
            && self.middle_third().contains(&now_ms);
        self.policy != Policy::OneQueue
            && (is_lost || key >= self.scene.upstreams - self.scene.dark)
    }

    fn middle_third(&self) -> Range<f64> {
        self.length_ms / 3.0..self.length_ms * 2.0 / 3.0
    }

    fn start_work(&mut self, now_ms: f64, request: Request) {
        let is_slow = self.policy != Policy::OneQueue && (request.key as usize) < self.scene.slow;
        let cold = if request.is_cold { 2.0 } else { 1.0 };
        let slower = if is_slow { 4.0 } else { cold };
        let done_ms = now_ms + slower * request.work_ms;
        self.schedule(done_ms, Event::Done(request));
    }

    fn finish(&mut self, now_ms: f64, request: Request) {
        let is_local = request.key as usize % DOMAINS == request.entry % DOMAINS;
        let hop_ms = if is_local || self.policy == Policy::OneQueue {
            0.0
        } else {
            HOP_MS
        };
        let took_ms = now_ms + hop_ms - request.begun_ms;
        let Kind {
            aim_ms,
            patience_ms,
            ..
        } = request.kind;
        self.note(&request, |outcome| {
            outcome.in_aim += u32::from(took_ms <= aim_ms);
            outcome.served += u32::from(took_ms <= patience_ms);
        });
        self.end_flow(now_ms, &request);
        while let Some(next) = self.upstreams[request.key as usize].waiting.pop_front() {
            if now_ms - next.sent_ms <= SHED_AFTER_MS {
                return self.start_work(now_ms, next);
            }
            self.shed(now_ms, next);
        }
        self.upstreams[request.key as usize].busy -= 1;
    }

    /// Refuses a request at its upstream, which says that it has not run.
    fn shed(&mut self, now_ms: f64, request: Request) {
        self.note(&request, |outcome| outcome.shed += 1);
        self.end_flow(now_ms, &request);
        self.retry(now_ms, request);
    }

    fn end_flow(&mut self, now_ms: f64, request: &Request) {
        self.upstreams[request.key as usize].flows -= 1;
        if self.places() {
            let now = self.at(now_ms);
            let open_for = millis(now_ms - request.sent_ms);
            let placement = &mut self.entries[request.entry];
            placement.record_end(now, request.key, request.priority(), open_for);
        }
    }
}

fn arrivals_per_ms(scene: &Scene) -> f64 {
    let slots = scene.slots * (scene.upstreams - scene.dark) as u32;
    scene.load * f64::from(slots) / WORK_MS
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
