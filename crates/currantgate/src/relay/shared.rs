//! What all tasks of a relay share.

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
use crate::entry::announce::AnnounceRequest;

/// What the dispatcher wants done for one request.
pub(crate) enum Order {
    /// Send the request on a connection.
    Send(Send),
    /// Pass the attempt's answer on.
    Answer,
    /// End the caller's stream: it has the whole answer.
    Done,
    /// Reset the caller's stream: the answer broke off.
    Truncated,
    /// Tell the caller that there is no answer.
    Reject(Refusal, Option<Duration>),
}

/// One attempt to make.
pub(crate) struct Send {
    pub(crate) attempt: AttemptId,
    pub(crate) connection: ConnectionId,
    pub(crate) sender: SendRequest<Bytes>,
    pub(crate) deadline: Instant,
}

/// One connection to an upstream.
struct Link {
    sender: Option<SendRequest<Bytes>>,
    ping: Rc<Notify>,
    task: JoinHandle<()>,
}

/// What all tasks of a relay share; they run on one thread.
pub(crate) struct Shared {
    core: RefCell<Core>,
    links: RefCell<IndexMap<ConnectionId, Link>>,
    orders: RefCell<IndexMap<RequestId, mpsc::UnboundedSender<Order>>>,
    last_request: Cell<RequestId>,
    /// Wakes the timer when a deadline may have moved.
    timer: Notify,
    /// Wakes who waits for work to end.
    pub(crate) ended: Notify,
    /// Callers' connections and relayed TCP connections that are open.
    pub(crate) open: Cell<usize>,
    pub(crate) metrics: RelayMetrics,
    pub(crate) trace: TraceContext,
    pub(crate) dispatch: DispatchSettings,
}

impl Shared {
    pub(crate) fn new(core: Core, metrics: RelayMetrics, dispatch: DispatchSettings) -> Self {
        Self {
            core: RefCell::new(core),
            links: RefCell::default(),
            orders: RefCell::default(),
            last_request: Cell::new(0),
            timer: Notify::new(),
            ended: Notify::new(),
            open: Cell::new(0),
            metrics,
            trace: TraceContext::default(),
            dispatch,
        }
    }

    /// Returns a new request's id and the orders that will come for it.
    pub(crate) fn register(&self) -> (RequestId, mpsc::UnboundedReceiver<Order>) {
        let id = self.last_request.get() + 1;
        self.last_request.set(id);
        let (tx, rx) = mpsc::unbounded_channel();
        self.orders.borrow_mut().insert(id, tx);
        (id, rx)
    }

    /// Lets a settled request go.
    pub(crate) fn unregister(&self, id: RequestId) {
        self.orders.borrow_mut().swap_remove(&id);
        self.ended.notify_waiters();
    }

    /// Hands an input to the dispatcher and carries out what it wants.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        self.core.borrow_mut().handle(Instant::now(), input);
        self.carry_out();
        self.timer.notify_one();
    }

    /// Takes what an upstream asks for.
    pub(crate) fn announce(self: &Rc<Self>, request: AnnounceRequest) {
        self.core.borrow_mut().announce(Instant::now(), request);
        self.carry_out();
        self.timer.notify_one();
    }

    /// Tells the state machines of a new revision of the site file.
    pub(crate) fn set_site(self: &Rc<Self>, site: &Site) {
        self.core.borrow_mut().set_site(Instant::now(), site);
        self.carry_out();
        self.timer.notify_one();
    }

    /// Runs the timers of the state machines.
    pub(crate) async fn keep_time(self: Rc<Self>) {
        loop {
            self.core.borrow_mut().tick(Instant::now());
            self.carry_out();
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

    /// Keeps the sending side of a connection that is open.
    pub(crate) fn opened(&self, connection: ConnectionId, sender: SendRequest<Bytes>) {
        if let Some(link) = self.links.borrow_mut().get_mut(&connection) {
            link.sender = Some(sender);
        }
    }

    fn carry_out(self: &Rc<Self>) {
        loop {
            let output = self.core.borrow_mut().poll_output();
            let Some(output) = output else { break };
            self.carry_out_one(output);
        }
        let unsettled = self.core.borrow().unsettled();
        self.metrics
            .open
            .set(i64::try_from(unsettled).unwrap_or(i64::MAX));
    }

    fn carry_out_one(self: &Rc<Self>, output: Output) {
        match output {
            Output::Open {
                connection,
                upstream,
            } => self.open_link(connection, upstream),
            Output::Send {
                request,
                attempt,
                connection,
                deadline,
                ..
            } => self.send(request, attempt, connection, deadline),
            // The order that settles the request follows and ends the attempt.
            Output::Cancel { .. } => {}
            Output::ForwardResponse { request, .. } => self.order(request, Order::Answer),
            Output::EndResponse { request } => self.order(request, Order::Done),
            Output::AbortResponse { request } => self.order(request, Order::Truncated),
            Output::Reject {
                request,
                refusal,
                retry_after,
            } => self.order(request, Order::Reject(refusal, retry_after)),
            Output::Ping { connection } => {
                if let Some(link) = self.links.borrow().get(&connection) {
                    link.ping.notify_one();
                }
            }
            Output::Close { connection } => {
                if let Some(link) = self.links.borrow_mut().swap_remove(&connection) {
                    link.task.abort();
                }
            }
        }
    }

    fn open_link(self: &Rc<Self>, connection: ConnectionId, upstream: u64) {
        let address = self.core.borrow().address(upstream);
        let ping = Rc::new(Notify::new());
        let run = upstream::run(Rc::clone(self), connection, address, Rc::clone(&ping));
        let link = Link {
            sender: None,
            ping,
            task: actix_rt::spawn(run),
        };
        self.links.borrow_mut().insert(connection, link);
    }

    fn send(
        &self,
        request: RequestId,
        attempt: AttemptId,
        connection: ConnectionId,
        deadline: Instant,
    ) {
        let links = self.links.borrow();
        let sender = links.get(&connection).and_then(|link| link.sender.clone());
        let sender = sender.expect("the dispatcher sends on open connections only");
        self.metrics.attempts.inc();
        let send = Send {
            attempt,
            connection,
            sender,
            deadline,
        };
        self.order(request, Order::Send(send));
    }

    fn order(&self, request: RequestId, order: Order) {
        if let Some(tx) = self.orders.borrow().get(&request) {
            // A caller that has just gone no longer takes orders.
            let _ = tx.send(order);
        }
    }
}
