//! A caller that holds many TCP flows open.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use tokio::net::UdpSocket;

use crate::segment::{Flags, Segment};
use crate::{StandinError, Tally};

/// The first sequence number that a caller uses.
const FIRST_SEQ: u32 = 1;

/// How often flows are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Silence after which a segment is sent again.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(400);

/// Times a segment is sent before its flow counts as broken.
const MAX_SENDS: u32 = 8;

/// The first port that flows are opened from.
const FIRST_PORT: u16 = 1_024;

/// The largest datagram that UDP can carry.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// What a stand-in caller is told at the start.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The address that its packets come from.
    pub ip: Ipv4Addr,
    /// Where the fabric takes its packets.
    pub fabric: SocketAddr,
    /// The service it calls.
    pub service: Box<str>,
    /// The service's address.
    pub service_address: SocketAddrV4,
    /// Flows it opens in a second.
    pub flows_per_second: u32,
    /// Flows it opens in all; at most 60,000.
    pub flows: u32,
    /// Requests that each flow sends before it ends.
    pub requests: u32,
    /// Milliseconds between an answer and the next request.
    pub pause_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            ip: Ipv4Addr::LOCALHOST,
            fabric: ([127, 0, 0, 1], 0).into(),
            service: "".into(),
            service_address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            flows_per_second: 100,
            flows: 100,
            requests: 10,
            pause_ms: 1_000,
        }
    }
}

/// A running stand-in caller.
pub struct Caller {
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    settings: CallerSettings,
    socket: UdpSocket,
    flows: RefCell<HashMap<u16, Flow>>,
    tally: RefCell<Tally>,
}

#[derive(Debug)]
struct Flow {
    stage: Stage,
    seq: u32,
    ack: u32,
    answered: u32,
    sends: u32,
    next_send: Instant,
    answered_by: Option<Box<[u8]>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Asking,
    Closing,
}

impl Caller {
    /// Starts a caller, which opens flows at once.
    ///
    /// # Errors
    ///
    /// Returns an error when its socket can't be bound.
    pub async fn start(settings: CallerSettings) -> Result<Self, StandinError> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .map_err(|e| StandinError::Socket("caller", e))?;
        let shared = Rc::new(Shared {
            settings,
            socket,
            flows: RefCell::default(),
            tally: RefCell::default(),
        });
        let tasks = vec![
            actix_rt::spawn(take_answers(Rc::clone(&shared))),
            actix_rt::spawn(open_and_ask(Rc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns what the caller has seen so far.
    pub fn tally(&self) -> Tally {
        *self.shared.tally.borrow()
    }

    /// Returns how many flows are open.
    pub fn open_flows(&self) -> usize {
        self.shared.flows.borrow().len()
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn open_and_ask(shared: Rc<Shared>) {
    let start = Instant::now();
    loop {
        let now = Instant::now();
        shared.open_due(now, now - start);
        shared.send_due(now);
        actix_rt::time::sleep(TICK).await;
    }
}

async fn take_answers(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        if let Some(segment) = Segment::decode(&buf[..len]) {
            shared.take_answer(Instant::now(), &segment);
        }
    }
}

impl Shared {
    fn open_due(&self, now: Instant, elapsed: Duration) {
        let due = elapsed.as_secs_f64() * f64::from(self.settings.flows_per_second);
        let due = (due as u64).min(u64::from(self.settings.flows));
        while self.tally.borrow().opened < due {
            let opened = self.tally.borrow().opened;
            let port = FIRST_PORT + u16::try_from(opened).unwrap_or(u16::MAX - FIRST_PORT);
            self.flows.borrow_mut().insert(
                port,
                Flow {
                    stage: Stage::Opening,
                    seq: FIRST_SEQ,
                    ack: 0,
                    answered: 0,
                    sends: 0,
                    next_send: now,
                    answered_by: None,
                },
            );
            self.tally.borrow_mut().opened += 1;
        }
    }

    fn send_due(&self, now: Instant) {
        let mut given_up = Vec::new();
        for (port, flow) in self.flows.borrow_mut().iter_mut() {
            if flow.next_send > now {
                continue;
            }
            if flow.sends == MAX_SENDS {
                given_up.push(*port);
                continue;
            }
            flow.sends += 1;
            flow.next_send = now + RETRANSMIT_AFTER;
            self.send(&self.segment(*port, flow));
        }
        for port in given_up {
            self.end(port, |tally| tally.broken += 1);
        }
    }

    fn segment(&self, port: u16, flow: &Flow) -> Segment {
        let ack = flow.stage != Stage::Opening;
        let payload = match flow.stage {
            Stage::Asking => format!("request {}", flow.answered).into_bytes(),
            Stage::Opening | Stage::Closing => Vec::new(),
        };
        Segment {
            from: SocketAddrV4::new(self.settings.ip, port),
            to: self.settings.service_address,
            seq: flow.seq,
            ack: flow.ack,
            flags: Flags {
                syn: flow.stage == Stage::Opening,
                ack,
                fin: flow.stage == Stage::Closing,
                rst: false,
            },
            payload,
        }
    }

    fn send(&self, segment: &Segment) {
        // A full socket loses the packet, as a full link would.
        let _ = self
            .socket
            .try_send_to(&segment.encode(), self.settings.fabric);
    }

    fn take_answer(&self, now: Instant, segment: &Segment) {
        let port = segment.to.port();
        let Some(stage) = self.flows.borrow().get(&port).map(|flow| flow.stage) else {
            return;
        };
        if segment.flags.rst {
            self.end(port, |tally| match stage {
                Stage::Opening => tally.refused += 1,
                Stage::Asking | Stage::Closing => tally.broken += 1,
            });
            return;
        }
        match stage {
            Stage::Opening if segment.flags.syn => self.establish(now, port, segment),
            Stage::Asking if !segment.payload.is_empty() => self.take_payload(now, port, segment),
            Stage::Closing if segment.flags.fin => self.end(port, |tally| tally.finished += 1),
            Stage::Opening | Stage::Asking | Stage::Closing => {}
        }
    }

    fn establish(&self, now: Instant, port: u16, segment: &Segment) {
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        flow.stage = Stage::Asking;
        flow.seq = segment.ack;
        flow.ack = segment.next_seq();
        flow.sends = 0;
        flow.next_send = now;
        self.tally.borrow_mut().established += 1;
    }

    fn take_payload(&self, now: Instant, port: u16, segment: &Segment) {
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        let request = format!("request {}", flow.answered).into_bytes();
        let Some(by) = segment.payload.strip_suffix(request.as_slice()) else {
            // A late answer to a request that was already answered.
            return;
        };
        let asked = format!("{}/", self.settings.service);
        if !by.starts_with(asked.as_bytes()) {
            self.tally.borrow_mut().misrouted += 1;
        }
        flow.answered_by.get_or_insert_with(|| by.into());
        flow.answered += 1;
        flow.seq = segment.ack;
        flow.ack = segment.next_seq();
        flow.sends = 0;
        flow.next_send = now + Duration::from_millis(self.settings.pause_ms);
        if flow.answered == self.settings.requests {
            flow.stage = Stage::Closing;
        }
    }

    fn end(&self, port: u16, count: impl FnOnce(&mut Tally)) {
        self.flows.borrow_mut().remove(&port);
        count(&mut self.tally.borrow_mut());
    }
}
