//! The flows and requests of an upstream, without I/O.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::UpstreamSettings;
use crate::download::{Download, Due};
use crate::segment::Segment;
use crate::served_flow::{Action, FlowId, ServedFlow};
use crate::slots::Slots;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// Time at which the request completes.
    pub(crate) completes_at: Instant,
    caller: SocketAddrV4,
    flow: FlowId,
    request: Vec<u8>,
}

/// The flows and requests of an upstream.
#[derive(Debug)]
pub(crate) struct Server {
    /// Number of flows established.
    pub(crate) accepted: u64,
    /// Number of packets received for another service.
    pub(crate) misrouted: u64,
    settings: UpstreamSettings,
    flows: IndexMap<SocketAddrV4, ServedFlow>,
    last_flow_id: FlowId,
    slots: Slots,
    started: Instant,
    warm_at: Instant,
    rng: ChaCha8Rng,
}

impl Server {
    /// Creates a server without flows.
    pub(crate) fn new(now: Instant, settings: &UpstreamSettings) -> Self {
        Self {
            accepted: 0,
            misrouted: 0,
            flows: IndexMap::new(),
            last_flow_id: 0,
            slots: Slots::new(now, settings.slots),
            started: now,
            warm_at: now + Duration::from_millis(settings.warmup_ms),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings: settings.clone(),
        }
    }

    /// Drops all flows and requests and starts the warm-up again.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.flows.clear();
        self.slots = Slots::new(now, self.settings.slots);
        self.started = now;
        self.warm_at = now + Duration::from_millis(self.settings.warmup_ms);
    }

    /// Returns the number of open flows.
    pub(crate) fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| flow.is_open()).count()
    }

    /// Returns whether the server is still warming up.
    pub(crate) fn is_warming(&self, now: Instant) -> bool {
        now < self.warm_at
    }

    /// Processes a segment; returns the reply and the request that it starts, if any.
    pub(crate) fn process(
        &mut self,
        now: Instant,
        segment: &Segment,
    ) -> (Option<Segment>, Option<PendingRequest>) {
        if segment.to != self.settings.service_address {
            self.misrouted += 1;
            return (None, None);
        }
        let reused = |flow: &ServedFlow| flow.is_closed() || flow.is_expired(now);
        if segment.flags.syn && self.flows.get(&segment.from).is_none_or(reused) {
            return (Some(self.open(now, segment)), None);
        }
        let Some(flow) = self.flows.get_mut(&segment.from) else {
            let reset = (!segment.flags.rst).then(|| segment.reset());
            return (reset, None);
        };
        let was_open = flow.is_open() || flow.is_closed();
        let action = flow.process(now, segment);
        if !was_open && flow.is_open() {
            self.accepted += 1;
        }
        match action {
            Action::Ignore => (None, None),
            Action::Send(answer) => (Some(answer), None),
            Action::Process(request) => (None, Some(self.schedule(now, segment.from, request))),
            Action::Remove => {
                self.flows.swap_remove(&segment.from);
                (None, None)
            }
        }
    }

    /// Returns the response to a completed request, or `None` if its flow has
    /// ended or the response is a download.
    pub(crate) fn finish(&mut self, pending: &PendingRequest) -> Option<Segment> {
        let flow = self.flows.get_mut(&pending.caller)?;
        if flow.id != pending.flow || !flow.is_open() {
            return None;
        }
        flow.download = Download::parse(pending.completes_at, &pending.request);
        if flow.download.is_some() {
            return None;
        }
        let payload = [self.settings.response_prefix().as_bytes(), &pending.request].concat();
        Some(flow.send(payload))
    }

    /// Removes expired flows and returns the chunks of downloads that are due.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Segment> {
        self.flows.retain(|_, flow| !flow.is_expired(now));
        let response_prefix = self.settings.response_prefix();
        let due = |flow: &mut ServedFlow| match flow.download.as_mut()?.poll(now)? {
            Due::Chunk(chunk) => Some(flow.send(format!("{response_prefix}chunk {chunk}").into())),
            Due::Retransmit => Some(flow.last_sent().clone()),
        };
        self.flows.values_mut().filter_map(due).collect()
    }

    fn open(&mut self, now: Instant, segment: &Segment) -> Segment {
        self.last_flow_id += 1;
        let flow = ServedFlow::open(now, self.last_flow_id, self.rng.random(), segment);
        let answer = flow.last_sent().clone();
        self.flows.insert(segment.from, flow);
        answer
    }

    fn schedule(&mut self, now: Instant, caller: SocketAddrV4, request: Vec<u8>) -> PendingRequest {
        let request_duration = self.request_duration(now);
        PendingRequest {
            completes_at: self.slots.schedule(now, request_duration),
            caller,
            flow: self.flows[&caller].id,
            request,
        }
    }

    /// Returns the duration of a request, which decreases linearly during the
    /// warm-up.
    fn request_duration(&self, now: Instant) -> Duration {
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
