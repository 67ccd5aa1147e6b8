//! The dispatcher state machine.

mod admission;
mod attempts;
mod completion;
mod connections;
mod upstreams;

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use currantgate_config::{ServiceId, UpstreamId};
use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::attempt::{Attempt, Failure};
use crate::connection::ConnectionRecord;
use crate::request::Request;
use crate::service::Service;
use crate::upstream::Upstream;
use crate::{AttemptId, ConnectionId, Input, Output, RequestId, Settings};

/// Decides to which upstream, when and how often each request is sent.
///
/// The driver passes each [`Input`] to [`Dispatcher::handle`] as it happens, calls
/// [`Dispatcher::tick`] at [`Dispatcher::next_deadline`], and after both carries
/// out what [`Dispatcher::poll_output`] returns until it is empty.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: ChaCha8Rng,
    requests: IndexMap<RequestId, Request>,
    attempts: IndexMap<AttemptId, Attempt>,
    connections: IndexMap<ConnectionId, ConnectionRecord>,
    upstreams: IndexMap<UpstreamId, Upstream>,
    services: IndexMap<ServiceId, Service>,
    /// Deadlines of the requests whose response has not begun.
    deadlines: BTreeSet<(Instant, RequestId)>,
    outputs: VecDeque<Output>,
    last_attempt: AttemptId,
    last_connection: ConnectionId,
    draining: bool,
}

impl Dispatcher {
    /// Returns a dispatcher without upstreams.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            connections: IndexMap::new(),
            upstreams: IndexMap::new(),
            services: IndexMap::new(),
            deadlines: BTreeSet::new(),
            outputs: VecDeque::new(),
            last_attempt: 0,
            last_connection: 0,
            draining: false,
        }
    }

    /// Handles one input that happened at `now`.
    ///
    /// Requests whose deadline has passed are rejected first, so that they are not
    /// sent when the timer is late.
    pub fn handle(&mut self, now: Instant, input: Input) {
        self.expire_requests(now);
        match input {
            Input::Arrived {
                request,
                service,
                deadline,
                repeatability,
            } => self.on_arrival(now, request, service, deadline, repeatability),
            Input::BodyDiscarded { request } => self.on_body_discarded(now, request),
            Input::Cancelled { request } => self.on_cancelled(now, request),
            Input::Upstreams { service, upstreams } => {
                self.set_upstreams(now, service, &upstreams);
            }
            Input::Connected { connection } => self.on_connected(now, connection),
            Input::ConnectFailed { connection } => self.on_connect_failed(now, connection),
            Input::ResponseHead { attempt, kind } => self.on_response_head(now, attempt, kind),
            Input::ResponseEnd { attempt } => self.on_response_end(now, attempt),
            Input::NotProcessed { attempt } => {
                self.on_attempt_failed(now, attempt, Failure::NotProcessed);
            }
            Input::Reset { attempt } => self.on_attempt_failed(now, attempt, Failure::Reset),
            Input::GoAway { connection } => self.drain_connection(connection),
            Input::ConnectionLost { connection } => self.on_connection_lost(now, connection),
            Input::Pong { connection } => self.on_pong(now, connection),
            Input::Drain => self.draining = true,
        }
    }

    /// Handles all timers that are due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.expire_requests(now);
        self.check_connections(now);
        let services: Vec<_> = self.services.keys().copied().collect();
        for service in services {
            self.dispatch_queued(now, service);
        }
    }

    /// Returns the instant at which [`Dispatcher::tick`] is next due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let expiry = self.deadlines.first().map(|(deadline, _)| *deadline);
        let connections = self
            .upstreams
            .values()
            .filter_map(Upstream::connection_deadline);
        let resumptions = self
            .services
            .values()
            .filter(|service| service.queue.len() > 0)
            .flat_map(|service| &service.upstreams)
            .filter_map(|id| self.upstreams[id].available_at());
        expiry
            .into_iter()
            .chain(connections)
            .chain(resumptions)
            .min()
    }

    /// Returns the next command for the driver.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the number of requests without a final output.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait in the queues.
    pub fn queued_requests(&self) -> usize {
        self.services.values().map(|s| s.queue.len()).sum()
    }

    /// Returns the number of slots of `upstream` that attempts hold.
    pub fn slots_in_use(&self, upstream: UpstreamId) -> usize {
        self.upstreams
            .get(&upstream)
            .map_or(0, |upstream| upstream.attempts.len())
    }
}
