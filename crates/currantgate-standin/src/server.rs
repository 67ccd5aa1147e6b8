//! The flows and the work of one upstream, without any I/O.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::UpstreamSettings;
use crate::download::{Download, Due};
use crate::segment::Segment;
use crate::served_flow::{FlowNumber, Reaction, ServedFlow};
use crate::slots::Slots;

/// A request that an upstream works on.
#[derive(Debug)]
pub(crate) struct Job {
    /// When the work is done.
    pub(crate) done_at: Instant,
    caller: SocketAddrV4,
    flow: FlowNumber,
    request: Vec<u8>,
}

/// The flows and the work of one upstream.
#[derive(Debug)]
pub(crate) struct Server {
    /// Flows that were established.
    pub(crate) accepted: u64,
    /// Packets for another service.
    pub(crate) misrouted: u64,
    settings: UpstreamSettings,
    flows: IndexMap<SocketAddrV4, ServedFlow>,
    opened: FlowNumber,
    slots: Slots,
    started: Instant,
    warm_at: Instant,
    rng: ChaCha8Rng,
}

impl Server {
    /// Returns a server without flows.
    pub(crate) fn new(now: Instant, settings: &UpstreamSettings) -> Self {
        Self {
            accepted: 0,
            misrouted: 0,
            flows: IndexMap::new(),
            opened: 0,
            slots: Slots::new(now, settings.slots),
            started: now,
            warm_at: now + Duration::from_millis(settings.warmup_ms),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings: settings.clone(),
        }
    }

    /// Forgets all flows and work.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.flows.clear();
        self.slots = Slots::new(now, self.settings.slots);
        self.started = now;
        self.warm_at = now + Duration::from_millis(self.settings.warmup_ms);
    }

    /// Returns how many flows are open.
    pub(crate) fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| flow.is_open()).count()
    }

    /// Tells whether the server is still slow from its start.
    pub(crate) fn is_warming(&self, now: Instant) -> bool {
        now < self.warm_at
    }

    /// Takes a segment; returns an answer and the work that it brings.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        segment: &Segment,
    ) -> (Option<Segment>, Option<Job>) {
        if segment.to != self.settings.service_address {
            self.misrouted += 1;
            return (None, None);
        }
        let reused = |flow: &ServedFlow| flow.is_closed() || flow.is_over(now);
        if segment.flags.syn && self.flows.get(&segment.from).is_none_or(reused) {
            return (Some(self.open(now, segment)), None);
        }
        let Some(flow) = self.flows.get_mut(&segment.from) else {
            let reset = (!segment.flags.rst).then(|| segment.reset());
            return (reset, None);
        };
        let was_open = flow.is_open() || flow.is_closed();
        let reaction = flow.take(now, segment);
        if !was_open && flow.is_open() {
            self.accepted += 1;
        }
        match reaction {
            Reaction::Ignore => (None, None),
            Reaction::Send(answer) => (Some(answer), None),
            Reaction::Serve(request) => (None, Some(self.book(now, segment.from, request))),
            Reaction::Forget => {
                self.flows.swap_remove(&segment.from);
                (None, None)
            }
        }
    }

    /// Returns the answer to a request whose work is done, unless its flow
    /// has gone meanwhile.
    pub(crate) fn finish(&mut self, job: &Job) -> Option<Segment> {
        let flow = self.flows.get_mut(&job.caller)?;
        if flow.number != job.flow || !flow.is_open() {
            return None;
        }
        flow.download = Download::parse(job.done_at, &job.request);
        if flow.download.is_some() {
            return None;
        }
        let payload = [self.settings.signature().as_bytes(), &job.request].concat();
        Some(flow.send(payload))
    }

    /// Lets go of flows that are over; returns the chunks that are due.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Segment> {
        self.flows.retain(|_, flow| !flow.is_over(now));
        let signature = self.settings.signature();
        let due = |flow: &mut ServedFlow| match flow.download.as_mut()?.poll(now)? {
            Due::Chunk(chunk) => Some(flow.send(format!("{signature}chunk {chunk}").into())),
            Due::Again => Some(flow.last().clone()),
        };
        self.flows.values_mut().filter_map(due).collect()
    }

    fn open(&mut self, now: Instant, segment: &Segment) -> Segment {
        self.opened += 1;
        let flow = ServedFlow::open(now, self.opened, self.rng.random(), segment);
        let answer = flow.last().clone();
        self.flows.insert(segment.from, flow);
        answer
    }

    fn book(&mut self, now: Instant, caller: SocketAddrV4, request: Vec<u8>) -> Job {
        let work = self.work(now);
        Job {
            done_at: self.slots.book(now, work),
            caller,
            flow: self.flows[&caller].number,
            request,
        }
    }

    /// Returns how long a request takes, which shrinks while the server warms.
    fn work(&self, now: Instant) -> Duration {
        let warm = Duration::from_millis(self.settings.service_ms);
        let warmup = self.warm_at - self.started;
        let left = self.warm_at.saturating_duration_since(now);
        if left.is_zero() {
            return warm;
        }
        let cold = f64::from(self.settings.cold_slowdown - 1);
        warm.mul_f64(1.0 + cold * left.as_secs_f64() / warmup.as_secs_f64())
    }
}
