//! State shared by the tasks of a relay.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use currantgate_config::{DispatchSettings, Site};
use currantgate_request::{AttemptId, ConnectionId, Input, Output, Refusal, RequestId};
use h2::client::SendRequest;
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};

use super::core::Core;
use super::metrics::RelayMetrics;
use super::trace_context::TraceContext;
use super::upstream;
use crate::entry::announcement_server::AnnounceRequest;

/// An order of the dispatcher for one request.
pub(crate) enum Order {
    /// Send the request to an upstream.
    Send(SendOrder),
    /// Forward the response of the attempt.
    Forward,
    /// End the caller's stream after a complete response.
    End,
    /// Reset the caller's stream, as the response is incomplete.
    Abort,
    /// Respond with a refusal, and `retry-after` if there is a delay.
    Reject(Refusal, Option<Duration>),
}

/// An attempt to make.
pub(crate) struct SendOrder {
    pub(crate) attempt: AttemptId,
    pub(crate) connection: ConnectionId,
    pub(crate) sender: SendRequest<Bytes>,
    pub(crate) deadline: Instant,
}

/// A connection to an upstream.
struct UpstreamConnection {
    /// The sending side, once the connection is open.
    sender: Option<SendRequest<Bytes>>,
    /// Notified to send a PING.
    ping: Rc<Notify>,
    task: JoinHandle<()>,
}

/// State shared by the tasks of a relay, which run on one thread.
pub(crate) struct Shared {
    core: RefCell<Core>,
    connections: RefCell<IndexMap<ConnectionId, UpstreamConnection>>,
    orders: RefCell<IndexMap<RequestId, mpsc::UnboundedSender<Order>>>,
    last_request: Cell<RequestId>,
    /// Notified when the next deadline may have changed.
    timer: Notify,
    /// Notified when a request is settled or a connection of a caller ends.
    pub(crate) ended: Notify,
    /// Number of open connections of callers.
    pub(crate) open_connections: Cell<usize>,
    pub(crate) metrics: RelayMetrics,
    pub(crate) trace: TraceContext,
    pub(crate) dispatch: DispatchSettings,
}

impl Shared {
    pub(crate) fn new(core: Core, metrics: RelayMetrics, dispatch: DispatchSettings) -> Self {
        Self {
            core: RefCell::new(core),
            connections: RefCell::default(),
            orders: RefCell::default(),
            last_request: Cell::new(0),
            timer: Notify::new(),
            ended: Notify::new(),
            open_connections: Cell::new(0),
            metrics,
            trace: TraceContext::default(),
            dispatch,
        }
    }

    /// Registers a new request; returns its id and the receiver of its orders.
    pub(crate) fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<Order>) {
        let id = self.last_request.get() + 1;
        self.last_request.set(id);
        let (tx, rx) = mpsc::unbounded_channel();
        self.orders.borrow_mut().insert(id, tx);
        (id, rx)
    }

    /// Removes a settled request.
    pub(crate) fn unregister(&self, id: RequestId) {
        self.orders.borrow_mut().swap_remove(&id);
        self.ended.notify_waiters();
    }

    /// Passes an input to the dispatcher and carries out its outputs.
    pub(crate) fn handle(self: &Rc<Self>, input: Input) {
        self.core.borrow_mut().handle(Instant::now(), input);
        self.carry_out_outputs();
        self.timer.notify_one();
    }

    /// Handles an announcement or withdrawal.
    pub(crate) fn handle_announce_request(self: &Rc<Self>, request: AnnounceRequest) {
        self.core
            .borrow_mut()
            .handle_announce_request(Instant::now(), request);
        self.carry_out_outputs();
        self.timer.notify_one();
    }

    /// Applies a new revision of the site file to the state machines.
    pub(crate) fn set_site(self: &Rc<Self>, site: &Site) {
        self.core.borrow_mut().set_site(Instant::now(), site);
        self.carry_out_outputs();
        self.timer.notify_one();
    }

    /// Runs the timers of the state machines.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            self.core.borrow_mut().tick(Instant::now());
            self.carry_out_outputs();
            let deadline = self.core.borrow().next_deadline();
            tokio::select! {
                () = actix_rt::time::sleep_until(deadline.into()) => {}
                () = self.timer.notified() => {}
            }
        }
    }

    /// Looks at the state machines.
    pub(crate) fn core(&self) -> std::cell::Ref<'_, Core> {
        self.core.borrow()
    }

    /// Stores the sending side of a connection that was opened.
    pub(crate) fn set_sender(&self, connection: ConnectionId, sender: SendRequest<Bytes>) {
        if let Some(upstream_connection) = self.connections.borrow_mut().get_mut(&connection) {
            upstream_connection.sender = Some(sender);
        }
    }

    /// Carries out all pending outputs of the dispatcher.
    fn carry_out_outputs(self: &Rc<Self>) {
        loop {
            let output = self.core.borrow_mut().poll_output();
            let Some(output) = output else { break };
            self.carry_out_output(output);
        }
        let pending = self.core.borrow().pending_requests();
        self.metrics
            .open
            .set(i64::try_from(pending).unwrap_or(i64::MAX));
    }

    fn carry_out_output(self: &Rc<Self>, output: Output) {
        match output {
            Output::Open {
                connection,
                upstream,
            } => self.open_connection(connection, upstream),
            Output::Send {
                request,
                attempt,
                connection,
                deadline,
                ..
            } => self.send(request, attempt, connection, deadline),
            // The order that settles the request follows, and ends the attempt.
            Output::Cancel { .. } => {}
            Output::ForwardResponse { request, .. } => self.send_order(request, Order::Forward),
            Output::EndResponse { request } => self.send_order(request, Order::End),
            Output::AbortResponse { request } => self.send_order(request, Order::Abort),
            Output::Reject {
                request,
                refusal,
                retry_after,
            } => self.send_order(request, Order::Reject(refusal, retry_after)),
            Output::Ping { connection } => {
                if let Some(upstream_connection) = self.connections.borrow().get(&connection) {
                    upstream_connection.ping.notify_one();
                }
            }
            Output::Close { connection } => {
                if let Some(upstream_connection) =
                    self.connections.borrow_mut().swap_remove(&connection)
                {
                    upstream_connection.task.abort();
                }
            }
        }
    }

    /// Spawns the task of a connection to an upstream.
    fn open_connection(self: &Rc<Self>, connection: ConnectionId, upstream: u64) {
        let address = self.core.borrow().address(upstream);
        let ping = Rc::new(Notify::new());
        let run = upstream::run(Rc::clone(self), connection, address, Rc::clone(&ping));
        let upstream_connection = UpstreamConnection {
            sender: None,
            ping,
            task: actix_rt::spawn(run),
        };
        self.connections
            .borrow_mut()
            .insert(connection, upstream_connection);
    }

    /// Orders an attempt on an open connection.
    fn send(
        &self,
        request: RequestId,
        attempt: AttemptId,
        connection: ConnectionId,
        deadline: Instant,
    ) {
        let connections = self.connections.borrow();
        let sender = connections.get(&connection).and_then(|c| c.sender.clone());
        let sender = sender.expect("the dispatcher sends on open connections only");
        self.metrics.attempts.inc();
        let send = SendOrder {
            attempt,
            connection,
            sender,
            deadline,
        };
        self.send_order(request, Order::Send(send));
    }

    /// Sends an order to the task of a request.
    fn send_order(&self, request: RequestId, order: Order) {
        if let Some(tx) = self.orders.borrow().get(&request) {
            // Fails if the caller has just cancelled the request.
            let _ = tx.send(order);
        }
    }
}
