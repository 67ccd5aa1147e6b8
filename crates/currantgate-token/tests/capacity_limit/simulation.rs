//! A simulation of one entry and its callers in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use currantgate_token::{CapacityLimit, LimitAdmission};

use crate::first_packet;

/// Bytes on the link of the packets of a flow, with headers: first packet, handshake's end,
/// request, acknowledgement of the response, and last packet.
pub(crate) const PACKET_BYTES: [f64; 5] = [100.0, 92.0, 400.0, 92.0, 92.0];
const REQUEST: usize = 2;
const RESET_BYTES: f64 = 80.0;

/// Bytes of packets that fit in the socket's buffer. By default it has 212,992 bytes, of
/// which a small packet uses 768, so that it holds 277 packets of 150 bytes.
const BUFFER_BYTES: f64 = 41_500.0;

/// Processor time of an entry to read and to send a packet.
pub(crate) const READ_TIME: Duration = Duration::from_micros(8);
pub(crate) const SEND_TIME: Duration = Duration::from_micros(10);

/// Time in which the process gets one slice of the processor. Then it is paused.
const PERIOD: Duration = Duration::from_millis(100);

/// Packets that the receive queue holds.
const MAX_QUEUED: usize = 1_300;

/// One-way delay to callers.
const CALLER_DELAY: Duration = Duration::from_millis(3);

/// Time from a first packet or a request at the upstream to the caller's next packets.
const HANDSHAKE: Duration = Duration::from_millis(4);
const SERVICE_TIME: Duration = Duration::from_millis(33);

/// Times after the first copy at which a caller sends others of an unconfirmed packet.
const RETRANSMISSIONS: [u64; 3] = [0, 200, 600];

/// Time after which a caller abandons an attempt.
const ATTEMPT_TIME: Duration = Duration::from_millis(1_400);

/// Attempts of a request, each after a refusal of the one before.
const MAX_ATTEMPTS: u32 = 3;

/// Index of a flow and of its packet, and the number of earlier copies.
type Packet = (usize, usize, u32);

struct Flow {
    request: usize,
    attempt: u32,
    started: Duration,
    is_refused: bool,
    /// Packets that were forwarded. The entry has a record of the flow from the first one on.
    delivered: [bool; PACKET_BYTES.len()],
}

#[derive(Default)]
pub(crate) struct Simulation {
    /// Part of a core that the process gets in each period.
    pub(crate) part: f64,
    /// Bytes per second of the link.
    pub(crate) link: f64,
    limit: Option<(Instant, CapacityLimit)>,
    /// When the process is stopped, and for how long.
    pub(crate) stop: Option<(Duration, Duration)>,
    now: Duration,
    period_end: Duration,
    remaining: Duration,
    /// When all packets in the socket's buffer will have passed the link.
    empty_at: Duration,
    /// After a refused packet, tokio refuses all others until the system reports that half
    /// of the buffer is free.
    is_blocked: bool,
    arrivals: BinaryHeap<Reverse<(Duration, Packet)>>,
    queue: VecDeque<Packet>,
    flows: Vec<Flow>,
    /// When each request was started and answered.
    pub(crate) requests: Vec<(Duration, Option<Duration>)>,
    /// Times of all first packets, and whether they were taken.
    pub(crate) first_packets: Vec<(Duration, bool)>,
}

impl Simulation {
    pub(crate) fn new(part: f64, link: f64, limit: Option<(Instant, CapacityLimit)>) -> Self {
        Self {
            part,
            link,
            limit,
            ..Self::default()
        }
    }

    pub(crate) fn add_request(&mut self, started: Duration) {
        self.requests.push((started, None));
        self.open_flow(started, self.requests.len() - 1, 1);
    }

    fn open_flow(&mut self, started: Duration, request: usize, attempt: u32) {
        self.flows.push(Flow {
            request,
            attempt,
            started,
            is_refused: false,
            delivered: [false; PACKET_BYTES.len()],
        });
        self.send(started, self.flows.len() - 1, 0);
    }

    /// Sends the copies of a caller's packet. Those that are not needed are ignored later.
    fn send(&mut self, at: Duration, flow: usize, step: usize) {
        let abandoned_at = self.flows[flow].started + ATTEMPT_TIME;
        for (copy, after) in (0..).zip(RETRANSMISSIONS) {
            let sent = at + Duration::from_millis(after);
            if sent < abandoned_at {
                let arrival = (sent + CALLER_DELAY, (flow, step, copy));
                self.arrivals.push(Reverse(arrival));
            }
        }
    }

    /// Runs the entry until no packet is left.
    pub(crate) fn run(&mut self) {
        loop {
            if let Some((_, time)) = self.stop.take_if(|(at, _)| self.now >= *at) {
                self.now += time;
            }
            if self.now >= self.period_end || self.remaining.is_zero() {
                self.now = self.now.max(self.period_end);
                self.period_end = self.now + PERIOD;
                self.remaining = PERIOD.mul_f64(self.part);
            }
            self.receive();
            self.spend(READ_TIME);
            if let Some(packet) = self.queue.pop_front() {
                self.tell(CapacityLimit::record_packet);
                self.handle(packet);
                continue;
            }
            self.tell(CapacityLimit::record_empty);
            let Some(Reverse((at, _))) = self.arrivals.peek() else {
                return;
            };
            self.now = self.now.max(*at);
        }
    }

    fn spend(&mut self, time: Duration) {
        self.now += time;
        self.remaining = self.remaining.saturating_sub(time);
    }

    fn tell(&mut self, record: impl FnOnce(&mut CapacityLimit, Instant)) {
        if let Some((start, limit)) = &mut self.limit {
            record(limit, *start + self.now);
        }
    }

    fn receive(&mut self) {
        while let Some(Reverse((at, packet))) = self.arrivals.peek().copied()
            && at <= self.now
        {
            self.arrivals.pop();
            let (flow, step, copy) = packet;
            let flow = &self.flows[flow];
            let is_needed = copy == 0 || !flow.is_refused && !flow.delivered[step];
            if is_needed && self.queue.len() < MAX_QUEUED {
                self.queue.push_back(packet);
            }
        }
    }

    fn handle(&mut self, (flow, step, copy): Packet) {
        if step > 0 {
            return self.forward(flow, step);
        }
        let caller = u32::try_from(flow).unwrap_or_default();
        let admission = match &mut self.limit {
            Some((start, limit)) if !self.flows[flow].delivered[0] => {
                limit.admit(*start + self.now, &first_packet(caller, copy))
            }
            _ => LimitAdmission::Admit,
        };
        let is_taken = admission == LimitAdmission::Admit;
        self.first_packets.push((self.now, is_taken));
        match admission {
            LimitAdmission::Admit => self.forward(flow, step),
            LimitAdmission::Refuse => self.reset(flow),
            LimitAdmission::Drop => {}
        }
    }

    fn forward(&mut self, flow: usize, step: usize) {
        let Some(at) = self.transmit(PACKET_BYTES[step]) else {
            return;
        };
        if std::mem::replace(&mut self.flows[flow].delivered[step], true) {
            return;
        }
        if step == 0 {
            self.send(at + HANDSHAKE, flow, 1);
            self.send(at + HANDSHAKE, flow, REQUEST);
        } else if step == REQUEST {
            let answered = at + SERVICE_TIME;
            self.requests[self.flows[flow].request].1 = Some(answered);
            self.send(answered, flow, 3);
            self.send(answered, flow, 4);
        }
    }

    fn reset(&mut self, flow: usize) {
        let Some(at) = self.transmit(RESET_BYTES) else {
            return;
        };
        let refused = &mut self.flows[flow];
        refused.is_refused = true;
        if refused.attempt < MAX_ATTEMPTS {
            let (request, attempt) = (refused.request, refused.attempt + 1);
            self.open_flow(at + CALLER_DELAY, request, attempt);
        }
    }

    /// Puts a packet in the link's buffer; returns when it has passed the link.
    fn transmit(&mut self, bytes: f64) -> Option<Duration> {
        self.spend(SEND_TIME);
        let queued = self.empty_at.saturating_sub(self.now).as_secs_f64() * self.link;
        let is_still_blocked = self.is_blocked && queued > BUFFER_BYTES / 2.0;
        self.is_blocked = is_still_blocked || queued + bytes > BUFFER_BYTES;
        if self.is_blocked {
            self.tell(CapacityLimit::record_full);
            return None;
        }
        self.tell(|limit, _| limit.record_sent());
        self.empty_at = self.now + Duration::from_secs_f64((queued + bytes) / self.link);
        Some(self.empty_at)
    }
}
