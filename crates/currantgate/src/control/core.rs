//! One replica with its disk, its peers and the requests that wait.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use currantgate_config::{ControlSettings, Prefix};
use currantgate_control::{
    ApplyAnswer, ApplyRequest, Change, Output, ReplaceRequest, Replica, RequestId, Revision,
    Secret, StorageError, VersionedRequest, VoterId, VoterPlanner,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot, watch};
use tracing::debug_span;

use super::call::{Envelope, NodeStatus, Reply};
use super::daemon::{Extension, FleetStatusSource};
use super::leader_log::LeaderLog;
use super::metrics::ControlMetrics;
use super::peer::Peer;
use super::publishing::Publishing;
use super::writer::Writes;
use crate::TRACE_TARGET;

/// Says what is wrong with a site file, if anything.
pub type FileCheck = Rc<dyn Fn(&str) -> Result<(), Box<str>>>;

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
    metrics: ControlMetrics,
    check: FileCheck,
    /// Replaces lost voters, where no operator does.
    planner: Option<VoterPlanner>,
    committed: watch::Sender<Option<Arc<Change>>>,
    fleet: Option<FleetStatusSource>,
    /// What was last logged of the leader and the voters.
    leader_log: LeaderLog,
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
        metrics: ControlMetrics,
        extension: &Extension,
    ) -> Self {
        let (committed, _) = watch::channel(replica.read(Instant::now()).change);
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
            metrics,
            check: Rc::clone(&extension.check),
            planner: None,
            committed,
            fleet: extension.fleet.clone(),
            leader_log: LeaderLog::default(),
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
        if let Err(problem) = (self.check)(&request.text) {
            return answered(Reply::InvalidFile(problem));
        }
        self.ask(|replica, now, id| replica.apply(now, id, request))
    }

    /// Takes a file that carries its own version.
    pub(super) fn apply_version(&mut self, request: VersionedRequest) -> oneshot::Receiver<Reply> {
        if let Err(problem) = (self.check)(&request.text) {
            return answered(Reply::InvalidFile(problem));
        }
        self.ask(|replica, now, id| replica.apply_version(now, id, request))
    }

    /// Reads what is in force, as a quorum confirms.
    pub(super) fn read_confirmed(&mut self) -> oneshot::Receiver<Reply> {
        self.ask(Replica::read_confirmed)
    }

    /// Lets the VM replace lost voters by itself.
    pub(super) fn set_planner(&mut self, planner: VoterPlanner) {
        self.planner = Some(planner);
    }

    /// Notes that a control VM, voter or not, is alive.
    pub(super) fn record_contact(&mut self, id: VoterId, address: SocketAddr, domain: &str) {
        if let Some(planner) = &mut self.planner {
            planner.record_contact(Instant::now(), id, address, domain);
        }
    }

    /// Returns who leads and where it listens, as far as this VM knows.
    pub(super) fn leader(&self) -> Option<(VoterId, SocketAddr)> {
        let now = Instant::now();
        if !self.replica.is_in_quorum(now) {
            return None;
        }
        let id = self.replica.leader_id()?;
        Some((id, self.replica.peer_address(id)?))
    }

    /// Tells whether this VM is in contact with a quorum.
    pub(super) fn is_in_quorum(&self) -> bool {
        self.replica.is_in_quorum(Instant::now())
    }

    /// Returns the newest committed change, and wakes for each newer one.
    pub(super) fn committed(&self) -> watch::Receiver<Option<Arc<Change>>> {
        self.committed.subscribe()
    }

    /// Stops leading at once, so that another voter is elected soon.
    pub(super) fn step_down(&mut self) {
        let now = Instant::now();
        self.replica.step_down(now);
        self.flush(now);
    }

    /// Takes the next step towards the voters that the site should have.
    fn advance_voter_change(&mut self, now: Instant) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        if !self.replica.has_lease(now) {
            planner.restart_timeouts(now);
            return;
        }
        let status = self.replica.status(now);
        let is_alive = |id| planner.is_alive(now, id);
        if let Some(fresh) = self.replica.joining_voter() {
            if !is_alive(fresh) && self.replica.abandon_catch_up() {
                log::warn!(event = "voters", voter = fresh; "voter fell silent before it could vote");
            }
            return;
        }
        let Some(change) = planner.next_change(now, status.id, &status.members) else {
            return;
        };
        log::info!(
            event = "voters",
            change:? = change,
            term = status.term;
            "the voters are to change"
        );
        let (id, _) = self.register();
        self.replica.change_voters(now, id, change);
        self.flush(now);
    }

    /// Ends connections to control VMs that are no voters any more.
    fn drop_old_peers(&mut self) {
        let replica = &self.replica;
        self.peers
            .retain(|id, _| replica.peer_address(*id).is_some());
    }

    pub(super) fn replace(&mut self, request: ReplaceRequest) -> oneshot::Receiver<Reply> {
        self.ask(|replica, now, id| replica.replace(now, id, request))
    }

    /// Gives the replica a request, and returns where its answer will come.
    fn ask(
        &mut self,
        request: impl FnOnce(&mut Replica, Instant, RequestId),
    ) -> oneshot::Receiver<Reply> {
        let now = Instant::now();
        let (id, rx) = self.register();
        request(&mut self.replica, now, id);
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

    pub(super) fn find_revision(&self, revision: Revision) -> Reply {
        Reply::FoundRevision(self.replica.find_revision(revision))
    }

    pub(super) fn status(&self) -> Reply {
        let consensus = self.replica.status(Instant::now());
        let publishing = self.publishing.borrow();
        Reply::Status(Box::new(NodeStatus {
            accepted: consensus.accepted,
            consensus: Some(consensus),
            rollout: publishing.rollout_status(),
            subscribers: publishing.subscribers(),
            fleet: self.fleet.as_ref().map(|fleet| fleet()),
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
        self.advance_voter_change(now);
        self.drop_old_peers();
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
                    let outcome = outcome(&answer);
                    self.metrics.count_change(outcome);
                    let control = self.replica.id();
                    debug_span!(target: TRACE_TARGET, "apply", control, outcome).in_scope(|| {});
                    self.answer(request, Reply::Apply(answer));
                }
                Output::Replaced { request, answer } => {
                    self.answer(request, Reply::Replace(answer));
                }
                Output::ReadDone { request, answer } => {
                    self.answer(request, Reply::Confirmed(answer));
                }
                Output::Committed(change) => {
                    let revision = change.revision_id();
                    log::info!(event = "revision", revision = revision.revision; "revision is accepted");
                    let control = self.replica.id();
                    debug_span!(target: TRACE_TARGET, "commit", control, %revision).in_scope(|| {});
                    self.committed.send_replace(Some(Arc::clone(&change)));
                    self.publishing.borrow_mut().publish(now, change);
                }
            }
        }
        let reach = self.publishing.borrow().rollout_status();
        let status = self.replica.status(now);
        self.metrics.show(&status, &reach);
        self.leader_log.tell(&status);
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
        let Some(address) = self.replica.peer_address(to).or(heard) else {
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

/// Returns an answer that is there already.
fn answered(reply: Reply) -> oneshot::Receiver<Reply> {
    let (tx, rx) = oneshot::channel();
    // The receiver is returned below, so it takes the answer.
    let _ = tx.send(reply);
    rx
}

/// Names what became of a change, for the metrics.
fn outcome(answer: &ApplyAnswer) -> &'static str {
    match answer {
        ApplyAnswer::Accepted(_) => "accepted",
        ApplyAnswer::AlreadyAccepted(_) => "already_accepted",
        ApplyAnswer::Conflict(_) => "conflict",
        ApplyAnswer::Superseded(_) => "superseded",
        ApplyAnswer::Refused(_) => "refused",
        ApplyAnswer::Unknown => "unknown",
    }
}
