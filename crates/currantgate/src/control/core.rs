//! One replica with its disk, its peers and the requests that wait.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

use currantgate_config::{ControlSettings, Prefix, Site};
use currantgate_control::{
    ApplyRequest, Output, ReplaceRequest, Replica, RequestId, Revision, Secret, StorageError,
    VoterId,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};

use super::call::{Envelope, NodeStatus, Reply};
use super::peer::Peer;
use super::publishing::Publishing;
use super::writer::Writes;

/// One replica with its disk, its peers and the requests that wait.
pub(super) struct Core {
    replica: Replica,
    writes: Writes,
    publishing: Rc<RefCell<Publishing>>,
    listen: SocketAddr,
    secret: Secret,
    allow: Vec<Prefix>,
    peers: IndexMap<VoterId, Peer>,
    /// Where others said that they listen, for those who are no voters yet.
    heard_from: IndexMap<VoterId, SocketAddr>,
    waiting: IndexMap<RequestId, oneshot::Sender<Reply>>,
    next_request: RequestId,
    pub(super) wake: Rc<Notify>,
}

impl Core {
    pub(super) fn new(
        settings: &ControlSettings,
        listen: SocketAddr,
        replica: Replica,
        writes: Writes,
        publishing: Rc<RefCell<Publishing>>,
    ) -> Self {
        Self {
            replica,
            writes,
            publishing,
            listen,
            secret: *settings.key.bytes(),
            allow: settings.allow.clone(),
            peers: IndexMap::new(),
            heard_from: IndexMap::new(),
            waiting: IndexMap::new(),
            next_request: 0,
            wake: Rc::new(Notify::new()),
        }
    }

    /// Tells whether a connection from `address` is taken.
    pub(super) fn is_allowed(&self, address: IpAddr) -> bool {
        let status = self.replica.status(Instant::now());
        let is_voter = status.members.iter().any(|(_, a)| a.ip() == address);
        is_voter
            || address == self.listen.ip()
            || self.allow.iter().any(|prefix| prefix.contains(address))
    }

    pub(super) fn receive(&mut self, envelope: Envelope) {
        if envelope.to != self.replica.id() || envelope.from == self.replica.id() {
            log::warn!(
                "a message from control VM {} at {} is meant for {}: check the addresses",
                envelope.from,
                envelope.reply_to,
                envelope.to
            );
            return;
        }
        self.heard_from.insert(envelope.from, envelope.reply_to);
        let now = Instant::now();
        self.replica.receive(now, envelope.from, envelope.message);
        self.flush(now);
    }

    pub(super) fn apply(&mut self, request: ApplyRequest) -> oneshot::Receiver<Reply> {
        if let Err(e) = Site::parse(&request.text, "the applied file") {
            let (tx, rx) = oneshot::channel();
            // The receiver is returned below, so it takes the answer.
            let _ = tx.send(Reply::WrongFile(e.to_string().into()));
            return rx;
        }
        let now = Instant::now();
        let (id, rx) = self.register();
        self.replica.apply(now, id, request);
        self.flush(now);
        rx
    }

    pub(super) fn replace(&mut self, request: ReplaceRequest) -> oneshot::Receiver<Reply> {
        let now = Instant::now();
        let (id, rx) = self.register();
        self.replica.replace(now, id, request);
        self.flush(now);
        rx
    }

    fn register(&mut self) -> (RequestId, oneshot::Receiver<Reply>) {
        let (tx, rx) = oneshot::channel();
        self.next_request += 1;
        self.waiting.insert(self.next_request, tx);
        (self.next_request, rx)
    }

    pub(super) fn read(&self) -> Reply {
        Reply::Read(self.replica.read(Instant::now()))
    }

    pub(super) fn base_of(&self, revision: Revision) -> Reply {
        Reply::Base(self.replica.base_of(revision))
    }

    pub(super) fn status(&self) -> Reply {
        let consensus = self.replica.status(Instant::now());
        let publishing = self.publishing.borrow();
        Reply::Status(Box::new(NodeStatus {
            accepted: consensus.accepted,
            consensus: Some(consensus),
            reach: publishing.reach(),
            subscribers: publishing.subscribers(),
        }))
    }

    pub(super) fn confirm(
        &mut self,
        written: Result<u64, StorageError>,
    ) -> Result<(), StorageError> {
        let now = Instant::now();
        self.replica.persisted(now, written?);
        self.flush(now);
        Ok(())
    }

    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        self.replica.tick(now);
        self.flush(now);
    }

    pub(super) fn next_deadline(&self) -> Instant {
        self.replica.next_deadline()
    }

    pub(super) fn flush(&mut self, now: Instant) {
        while let Some(output) = self.replica.poll_output() {
            match output {
                Output::Persist { id, batch } => {
                    // The writer is only gone after an error that stops the daemon.
                    let _ = self.writes.send((id, batch));
                }
                Output::Send { to, message } => self.send(to, message),
                Output::Applied { request, answer } => {
                    self.answer(request, Reply::Apply(answer));
                }
                Output::Replaced { request, answer } => {
                    self.answer(request, Reply::Replace(answer));
                }
                Output::Committed(change) => {
                    log::info!("revision {} is accepted", change.as_base());
                    self.publishing.borrow_mut().publish(now, change);
                }
            }
        }
        self.wake.notify_one();
    }

    fn answer(&mut self, request: RequestId, reply: Reply) {
        if let Some(tx) = self.waiting.swap_remove(&request) {
            // The operator may have hung up meanwhile.
            let _ = tx.send(reply);
        }
    }

    fn send(&mut self, to: VoterId, message: currantgate_control::Message) {
        let heard = self.heard_from.get(&to).copied();
        let Some(address) = self.replica.address_of(to).or(heard) else {
            return;
        };
        if self
            .peers
            .get(&to)
            .is_none_or(|peer| peer.address != address)
        {
            self.peers.insert(to, Peer::start(address, self.secret));
        }
        let envelope = Envelope {
            from: self.replica.id(),
            to,
            reply_to: self.listen,
            message,
        };
        self.peers[&to].send(envelope);
    }
}
