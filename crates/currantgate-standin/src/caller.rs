//! A caller that holds many TCP flows open.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use tokio::net::UdpSocket;

use crate::caller_flow::{Action, CallerFlow, Event};
use crate::caller_settings::MAX_FLOWS;
use crate::segment::Segment;
use crate::{CallerReport, CallerSettings, CallerStats, StandinError};

/// Interval at which flows are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Source port of the first flow; each flow has the next one.
const FIRST_SOURCE_PORT: u16 = 1_024;

/// Maximum size of a UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Upper bound of the histogram of times to a first response, in microseconds.
const MAX_RESPONSE_TIME_MICROS: u64 = 60_000_000;

/// A running stand-in caller.
pub struct Caller {
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    settings: CallerSettings,
    socket: UdpSocket,
    flows: RefCell<IndexMap<u16, CallerFlow>>,
    stats: RefCell<CallerStats>,
    first_answer_times: RefCell<Histogram<u64>>,
}

impl Caller {
    /// Starts a caller, which begins to open flows immediately.
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
            stats: RefCell::default(),
            first_answer_times: RefCell::new(new_histogram()),
        });
        let tasks = vec![
            actix_rt::spawn(receive_segments(Rc::clone(&shared))),
            actix_rt::spawn(poll_flows(Rc::clone(&shared))),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> CallerStats {
        *self.shared.stats.borrow()
    }

    /// Returns the histogram of the times from opening a flow to its first
    /// response, in microseconds.
    pub fn first_answer_times(&self) -> Histogram<u64> {
        self.shared.first_answer_times.borrow().clone()
    }

    /// Returns a report of the counters and response times so far.
    pub fn report(&self) -> CallerReport {
        CallerReport::new(self.stats(), &self.first_answer_times())
    }

    /// Returns whether all configured flows were opened and have ended.
    pub fn is_done(&self) -> bool {
        let opened = self.stats().opened;
        opened == u64::from(self.shared.settings.flows) && self.open_flows() == 0
    }

    /// Returns the number of open flows.
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

/// Returns an empty histogram of microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RESPONSE_TIME_MICROS, 3).expect("the bounds are valid")
}

async fn poll_flows(shared: Rc<Shared>) {
    let start = Instant::now();
    loop {
        let now = Instant::now();
        shared.open_due(now, now - start);
        shared.send_due(now);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn receive_segments(shared: Rc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        if let Some(segment) = Segment::decode(&buf[..len]) {
            shared.process_segment(Instant::now(), &segment);
        }
    }
}

impl Shared {
    fn open_due(&self, now: Instant, elapsed: Duration) {
        let due = elapsed.as_secs_f64() * f64::from(self.settings.flows_per_second);
        let flows = self.settings.flows.min(MAX_FLOWS);
        let due = (due as u64).min(u64::from(flows));
        let mut stats = self.stats.borrow_mut();
        while stats.opened < due {
            let nth = u16::try_from(stats.opened).unwrap_or(u16::MAX);
            let is_download = self.settings.listen_every > 0
                && u32::from(nth).is_multiple_of(self.settings.listen_every);
            let flow = CallerFlow::open(now, is_download);
            self.flows
                .borrow_mut()
                .insert(FIRST_SOURCE_PORT.saturating_add(nth), flow);
            stats.opened += 1;
        }
    }

    fn send_due(&self, now: Instant) {
        let mut stats = self.stats.borrow_mut();
        self.flows.borrow_mut().retain(|port, flow| {
            match flow.poll(now) {
                Action::None => return true,
                Action::Send => {
                    self.send(&flow.segment(&self.settings, *port));
                    return true;
                }
                Action::Abandon { established: true } => {
                    stats.broken += 1;
                    stats.silent += 1;
                }
                Action::Abandon { established: false } => stats.unanswered += 1,
            }
            false
        });
    }

    fn process_segment(&self, now: Instant, segment: &Segment) {
        if segment.from != self.settings.service_address {
            self.stats.borrow_mut().misrouted += 1;
            return;
        }
        let port = segment.to.port();
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&port) else {
            if !segment.flags.rst {
                self.send(&segment.reset());
            }
            return;
        };
        let event = flow.process(now, &self.settings, segment);
        if event.needs_acknowledgement() {
            self.send(&flow.acknowledgement(&self.settings, port));
        }
        if event == Event::Stale {
            self.send(&segment.reset());
        }
        if let Event::Response { first: true, .. } = event {
            let micros = u64::try_from((now - flow.opened_at).as_micros()).unwrap_or(u64::MAX);
            self.first_answer_times
                .borrow_mut()
                .saturating_record(micros);
        }
        if event.ends_flow() {
            flows.swap_remove(&port);
        }
        self.count(event);
    }

    fn count(&self, event: Event) {
        let mut stats = self.stats.borrow_mut();
        match event {
            Event::Established => stats.established += 1,
            Event::Finished => stats.finished += 1,
            Event::Refused => stats.refused += 1,
            Event::Reset => stats.broken += 1,
            Event::Response {
                from_requested_service: false,
                ..
            } => stats.misrouted += 1,
            Event::Response { .. } | Event::Stale | Event::None => {}
        }
    }

    fn send(&self, segment: &Segment) {
        // The packet is dropped if the send buffer is full, as on a congested link.
        let _ = self
            .socket
            .try_send_to(&segment.encode(), self.settings.fabric);
    }
}
