//! Entries that place flows on upstreams with queues, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use currantgate_placement::{Key, Placement, PlacementSettings, Target};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, LogNormal};

/// How new flows are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// A hash of the flow: any upstream, whatever its load.
    Hash,
    /// This crate: each entry by the flows that it sees itself.
    LeastLoad,
    /// One queue for all slots, which no placement can better.
    OneQueue,
}

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    /// Requests that wait at an upstream; further ones are refused there.
    pub(crate) queue: usize,
    /// Offered work over the work that all slots can do.
    pub(crate) load: f64,
    /// How many upstreams are twice as slow for the first quarter and say so.
    pub(crate) cold: usize,
    /// How many upstreams answer nothing, and don't say so.
    pub(crate) dark: usize,
    pub(crate) seed: u64,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    /// Answered before the caller gave up.
    pub(crate) served: u32,
}

/// The work of a request: the mean and the spread of the users' bookings.
const WORK_MS: f64 = 58.0;
const WORK_SPREAD: f64 = 0.5;

/// Within which time an answer is of full worth, and how long callers wait.
const AIM_MS: f64 = 250.0;
const PATIENCE_MS: f64 = 1_500.0;

/// After how long a caller repeats a first packet that is not answered.
const REPEAT_MS: [f64; 3] = [0.0, 200.0, 600.0];

/// How many requests are played.
const REQUESTS: u32 = 40_000;

#[derive(Clone, Copy, Debug)]
struct Request {
    begun_ms: f64,
    work_ms: f64,
    entry: usize,
    key: Key,
}

#[derive(Debug, Default)]
struct Upstream {
    busy: u32,
    waiting: VecDeque<Request>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Try { request: Request, copies: usize },
    Done(Request),
}

pub(crate) struct World {
    scene: Scene,
    policy: Policy,
    start: Instant,
    rng: ChaCha8Rng,
    entries: Vec<Placement>,
    upstreams: Vec<Upstream>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: Vec<Option<Event>>,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(scene: Scene, policy: Policy) -> Self {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(scene.seed);
        let upstreams = if policy == Policy::OneQueue {
            1
        } else {
            scene.upstreams
        };
        let length_ms = f64::from(REQUESTS) / arrivals_per_ms(&scene);
        let warm_at = start + millis(length_ms / 4.0);
        let targets = |_| {
            (0..scene.upstreams).map(|n| Target {
                key: n as Key,
                service: "booking".into(),
                domain: format!("{}", n % 4).into(),
                is_near: true,
                slots: scene.slots,
                warm_at: if n < scene.cold { warm_at } else { start },
                is_heard: true,
            })
        };
        let entries = (0..scene.entries).map(|entry| {
            let settings = PlacementSettings {
                seed: rng.random(),
                ..PlacementSettings::default()
            };
            let mut placement = Placement::new(settings);
            placement.set_targets(targets(entry));
            placement
        });
        let entries = entries.collect();
        Self {
            scene,
            policy,
            start,
            rng,
            entries,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            events: BinaryHeap::new(),
            queued: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        self.schedule_arrivals();
        while let Some(Reverse((micros, index))) = self.events.pop() {
            let now_ms = micros as f64 / 1_000.0;
            match self.queued[index as usize].take() {
                Some(Event::Try { request, copies }) => self.attempt(now_ms, request, copies),
                Some(Event::Done(request)) => self.finish(now_ms, request),
                None => {}
            }
        }
        self.outcome
    }

    fn schedule_arrivals(&mut self) {
        let gap = Exp::new(arrivals_per_ms(&self.scene)).expect("the rate is positive");
        let deviation = (1.0 + WORK_SPREAD * WORK_SPREAD).ln();
        let work = LogNormal::new(WORK_MS.ln() - deviation / 2.0, deviation.sqrt());
        let work = work.expect("the spread is finite");
        let mut now_ms = 0.0;
        for _ in 0..REQUESTS {
            now_ms += gap.sample(&mut self.rng);
            let request = Request {
                begun_ms: now_ms,
                work_ms: work.sample(&mut self.rng),
                entry: self.rng.random_range(0..self.scene.entries),
                key: 0,
            };
            self.schedule(now_ms, Event::Try { request, copies: 0 });
        }
        self.outcome.asked = REQUESTS;
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let index = self.queued.len() as u64;
        self.queued.push(Some(event));
        self.events.push(Reverse(((at_ms * 1_000.0) as u64, index)));
    }

    /// Sends a first packet, or a copy of it when the one before is unanswered.
    fn attempt(&mut self, now_ms: f64, mut request: Request, copies: usize) {
        let now = self.start + millis(now_ms);
        let tried = (copies > 0).then_some(request.key);
        request.key = match self.policy {
            Policy::OneQueue => 0,
            Policy::Hash => self.rng.random_range(0..self.scene.upstreams) as Key,
            Policy::LeastLoad => {
                let placement = &mut self.entries[request.entry];
                if let Some(before) = tried {
                    let sent = now - millis(REPEAT_MS[copies] - REPEAT_MS[copies - 1]);
                    placement.unanswered(now, before, sent);
                }
                let placed = placement.place(now, "booking", tried.as_slice());
                placed.expect("there are upstreams").key
            }
        };
        let is_dark = self.policy != Policy::OneQueue
            && (request.key as usize) >= self.scene.upstreams - self.scene.dark;
        if is_dark {
            if let Some(wait) = REPEAT_MS.get(copies + 1) {
                let event = Event::Try {
                    request,
                    copies: copies + 1,
                };
                self.schedule(request.begun_ms + wait, event);
            }
            return;
        }
        self.answer_first(now, request);
        self.arrive(now_ms, request);
    }

    fn answer_first(&mut self, now: Instant, request: Request) {
        if self.policy == Policy::LeastLoad {
            self.entries[request.entry].answered(now, request.key);
        }
    }

    fn arrive(&mut self, now_ms: f64, request: Request) {
        let (slots, queue) = self.room();
        let upstream = &mut self.upstreams[request.key as usize];
        if upstream.busy < slots {
            upstream.busy += 1;
            self.start_work(now_ms, request);
        } else if upstream.waiting.len() < queue {
            upstream.waiting.push_back(request);
        } else {
            self.end_flow(request);
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
            Policy::Hash | Policy::LeastLoad => (slots, queue),
        }
    }

    fn start_work(&mut self, now_ms: f64, request: Request) {
        let length_ms = f64::from(REQUESTS) / arrivals_per_ms(&self.scene);
        let is_cold = self.policy != Policy::OneQueue
            && (request.key as usize) < self.scene.cold
            && now_ms < length_ms / 4.0;
        let work_ms = if is_cold {
            2.0 * request.work_ms
        } else {
            request.work_ms
        };
        self.schedule(now_ms + work_ms, Event::Done(request));
    }

    fn finish(&mut self, now_ms: f64, request: Request) {
        let took_ms = now_ms - request.begun_ms;
        self.outcome.in_aim += u32::from(took_ms <= AIM_MS);
        self.outcome.served += u32::from(took_ms <= PATIENCE_MS);
        self.end_flow(request);
        let upstream = &mut self.upstreams[request.key as usize];
        match upstream.waiting.pop_front() {
            Some(next) => self.start_work(now_ms, next),
            None => upstream.busy -= 1,
        }
    }

    fn end_flow(&mut self, request: Request) {
        if self.policy == Policy::LeastLoad {
            self.entries[request.entry].ended(request.key);
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
