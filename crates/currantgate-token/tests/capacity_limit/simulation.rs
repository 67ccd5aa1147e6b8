//! A simulation of one entry and its callers in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use currantgate_token::{CapacityLimit, FirstPacket, FlowId, LimitAdmission};

use crate::link::Link;
use crate::processor::Processor;

/// Bytes on the link of the packets of a flow, with headers: first packet, handshake's end,
/// request, acknowledgement of the response, and last packet.
pub(crate) const PACKET_BYTES: [f64; 5] = [100.0, 92.0, 400.0, 92.0, 92.0];
const REQUEST: usize = 2;
const RESET_BYTES: f64 = 80.0;

/// Processor time of an entry to read and to send a packet.
pub(crate) const READ_TIME: Duration = Duration::from_micros(8);
pub(crate) const SEND_TIME: Duration = Duration::from_micros(10);

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
    /// Whether the entry has a record of the flow.
    is_tracked: bool,
    delivered: [bool; PACKET_BYTES.len()],
}

/// When a request was started and answered.
pub(crate) struct Request {
    pub(crate) started: Duration,
    pub(crate) answered: Option<Duration>,
}

pub(crate) struct Simulation {
    start: Instant,
    arrivals: BinaryHeap<Reverse<(Duration, Packet)>>,
    queue: VecDeque<Packet>,
    flows: Vec<Flow>,
    processor: Processor,
    link: Link,
    limit: Option<CapacityLimit>,
    pub(crate) requests: Vec<Request>,
    /// Times of all first packets, and whether they were taken.
    pub(crate) first_packets: Vec<(Duration, bool)>,
    pub(crate) resets: usize,
    pub(crate) sends: usize,
}

impl Simulation {
    pub(crate) fn new(
        start: Instant,
        processor: Processor,
        link: Link,
        limit: Option<CapacityLimit>,
    ) -> Self {
        Self {
            start,
            arrivals: BinaryHeap::new(),
            queue: VecDeque::new(),
            flows: Vec::new(),
            processor,
            link,
            limit,
            requests: Vec::new(),
            first_packets: Vec::new(),
            resets: 0,
            sends: 0,
        }
    }

    pub(crate) fn add_request(&mut self, started: Duration) {
        self.requests.push(Request {
            started,
            answered: None,
        });
        self.open_flow(started, self.requests.len() - 1, 1);
    }

    fn open_flow(&mut self, started: Duration, request: usize, attempt: u32) {
        self.flows.push(Flow {
            request,
            attempt,
            started,
            is_refused: false,
            is_tracked: false,
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
        let mut now = Duration::ZERO;
        loop {
            now = self.processor.next_run(now);
            self.receive(now);
            now = self.processor.run(now, READ_TIME);
            if let Some(packet) = self.queue.pop_front() {
                now = self.handle(now, packet);
                continue;
            }
            if let Some(limit) = &mut self.limit {
                limit.record_empty(self.start + now);
            }
            let Some(Reverse((at, _))) = self.arrivals.peek() else {
                return;
            };
            now = now.max(*at);
        }
    }

    fn receive(&mut self, now: Duration) {
        while let Some(Reverse((at, (flow, step, copy)))) = self.arrivals.peek().copied()
            && at <= now
        {
            self.arrivals.pop();
            let Flow {
                is_refused,
                delivered,
                ..
            } = self.flows[flow];
            let is_needed = copy == 0 || !is_refused && !delivered[step];
            if is_needed && self.queue.len() < MAX_QUEUED {
                self.queue.push_back((flow, step, copy));
            }
        }
    }

    /// Handles a packet that was read; returns when the entry is done with it.
    fn handle(&mut self, now: Duration, (flow, step, copy): Packet) -> Duration {
        if let Some(limit) = &mut self.limit {
            limit.record_packet(self.start + now);
        }
        if step > 0 {
            return self.forward(now, flow, step);
        }
        let admission = self.admit(now, flow, copy);
        let is_taken = admission == LimitAdmission::Take;
        self.first_packets.push((now, is_taken));
        match admission {
            LimitAdmission::Take => self.forward(now, flow, step),
            LimitAdmission::Refuse => self.reset(now, flow),
            LimitAdmission::Drop => now,
        }
    }

    fn admit(&mut self, now: Duration, flow: usize, copy: u32) -> LimitAdmission {
        match &mut self.limit {
            Some(limit) if !self.flows[flow].is_tracked => {
                let port = u16::try_from(flow % 60_000).unwrap_or_default();
                let network = u32::try_from(flow / 60_000).unwrap_or_default();
                let packet = FirstPacket {
                    flow: FlowId {
                        caller: SocketAddrV4::new(network.into(), port),
                        service: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443),
                    },
                    retransmissions: copy,
                };
                limit.admit(self.start + now, &packet)
            }
            _ => LimitAdmission::Take,
        }
    }

    fn forward(&mut self, now: Duration, flow: usize, step: usize) -> Duration {
        let done = self.processor.run(now, SEND_TIME);
        let passed = self.transmit(done, PACKET_BYTES[step]);
        if step == 0 {
            self.flows[flow].is_tracked |= passed.is_some();
        }
        if let Some(at) = passed
            && !self.flows[flow].delivered[step]
        {
            self.flows[flow].delivered[step] = true;
            if step == 0 {
                self.send(at + HANDSHAKE, flow, 1);
                self.send(at + HANDSHAKE, flow, REQUEST);
            } else if step == REQUEST {
                let answered = at + SERVICE_TIME;
                self.requests[self.flows[flow].request].answered = Some(answered);
                self.send(answered, flow, 3);
                self.send(answered, flow, 4);
            }
        }
        done
    }

    fn reset(&mut self, now: Duration, flow: usize) -> Duration {
        let done = self.processor.run(now, SEND_TIME);
        self.resets += 1;
        if let Some(at) = self.transmit(done, RESET_BYTES) {
            let refused = &mut self.flows[flow];
            refused.is_refused = true;
            let (request, attempt) = (refused.request, refused.attempt);
            if attempt < MAX_ATTEMPTS {
                self.open_flow(at + CALLER_DELAY, request, attempt + 1);
            }
        }
        done
    }

    /// Puts a packet in the link's buffer; returns when it has passed the link.
    fn transmit(&mut self, now: Duration, bytes: f64) -> Option<Duration> {
        let passed = self.link.send(now, bytes);
        self.sends += usize::from(passed.is_some());
        match (&mut self.limit, passed) {
            (Some(limit), Some(_)) => limit.record_sent(),
            (Some(limit), None) => limit.record_full(self.start + now),
            (None, _) => {}
        }
        passed
    }
}
