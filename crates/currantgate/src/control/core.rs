//! One replica with its journal, its connections to peers and pending requests.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_config::{ControlSettings, Prefix};
use currantgate_control::{
    ApplyAnswer, ApplyRequest, BatchId, Change, EvacuationAnswer, EvacuationOrder,
    HEARTBEAT_INTERVAL, Members, Message, Output, ReplaceRequest, Replica, RequestId, Revision,
    Secret, Status, StorageError, Term, VersionedRequest, VoterId, VoterPlanner, VoterSpread,
};
use currantgate_registry::NamedServices;
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot, watch};
use tracing::debug_span;

use super::call::{Envelope, NodeStatus, Reply};
use super::daemon::{EvacuatedFlowsSource, EvacuationStatusSource, Extension, FleetStatusSource};
use super::evacuation::{EvacuationReply, LocalEvacuations};
use super::leader_log::LeaderLog;
use super::metrics::ControlMetrics;
use super::peer::Peer;
use super::publishing::Publishing;
use super::spread_log::SpreadLog;
use super::writer::Writes;
use crate::TRACE_TARGET;

/// Validates a site file and returns the services that it names; the error describes the
/// problem.
pub type FileCheck = Rc<dyn Fn(&str) -> Result<NamedServices, Box<str>>>;

/// The time within which a standby must have the log before it becomes a voter: several
/// round trips and syncs of a slow disk, and a part of the time that a stop may take.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The time from which a write to the own disk counts as slow: the interval of heartbeats,
/// many times what a sync of a sound disk takes.
const SLOW_WRITE_TIME: Duration = HEARTBEAT_INTERVAL;

/// How far a VM that stops has passed on its lead and its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandOver {
    /// It still leads.
    Lead,
    /// It is still a voter.
    Vote,
    /// It is still a voter, and no other VM can replace it.
    NoStandby,
    /// It is no voter.
    Released,
}

/// One replica with its journal, its connections to peers and pending requests.
pub(super) struct Core {
    replica: Replica,
    writes: Writes,
    /// The writes that are not confirmed yet, each with the instant of its start.
    unconfirmed: VecDeque<(BatchId, Instant)>,
    publishing: Rc<RefCell<Publishing>>,
    listen: SocketAddr,
    secret: Secret,
    allow: Vec<Prefix>,
    peers: IndexMap<VoterId, Peer>,
    /// Listen addresses given by senders, used for those that are not voters yet.
    reply_addresses: IndexMap<VoterId, SocketAddr>,
    /// Senders of the replies to requests that are not answered yet.
    pending: IndexMap<RequestId, oneshot::Sender<Reply>>,
    metrics: ControlMetrics,
    check: FileCheck,
    /// Plans the replacement of lost voters, where that is automatic.
    planner: Option<VoterPlanner>,
    /// The instant from which a joining voter is given up for another standby.
    catch_up_deadline: Instant,
    committed: watch::Sender<Option<Arc<Change>>>,
    fleet: Option<FleetStatusSource>,
    domains: Option<Vec<Box<str>>>,
    evacuation_status: Option<EvacuationStatusSource>,
    evacuated_flows: Option<EvacuatedFlowsSource>,
    evacuations: watch::Sender<LocalEvacuations>,
    leader_log: LeaderLog,
    spread_log: SpreadLog,
    next_request: RequestId,
    /// Notified when another control VM has refused a connection, as its process has ended.
    pub(super) refused: Rc<Notify>,
    /// Notified when the next deadline may have changed.
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
        let now = Instant::now();
        let (committed, _) = watch::channel(replica.read(now).change);
        let (evacuations, _) = watch::channel(LocalEvacuations::of(&replica, now));
        Self {
            replica,
            writes,
            unconfirmed: VecDeque::new(),
            publishing,
            listen,
            secret: *settings.key.bytes(),
            allow: settings.allow.clone(),
            peers: IndexMap::new(),
            reply_addresses: IndexMap::new(),
            pending: IndexMap::new(),
            metrics,
            check: Rc::clone(&extension.check),
            planner: None,
            catch_up_deadline: now,
            committed,
            fleet: extension.fleet.clone(),
            domains: extension.domains.clone(),
            evacuation_status: extension.evacuations.clone(),
            evacuated_flows: extension.evacuated_flows.clone(),
            evacuations,
            leader_log: LeaderLog::default(),
            spread_log: SpreadLog::default(),
            next_request: 0,
            refused: Rc::new(Notify::new()),
            wake: Rc::new(Notify::new()),
        }
    }

    /// Returns whether connections from `address` are accepted: it is a voter's, this VM's
    /// own, or in the list of allowed prefixes.
    pub(super) fn is_allowed(&self, address: IpAddr) -> bool {
        let status = self.replica.status(Instant::now());
        let is_voter = status.members.iter().any(|(_, a)| a.ip() == address);
        is_voter
            || address == self.listen.ip()
            || self.allow.iter().any(|prefix| prefix.contains(address))
    }

    /// Handles a message of another control VM.
    pub(super) fn receive(&mut self, envelope: Envelope) {
        if envelope.to != self.replica.id() || envelope.from == self.replica.id() {
            log::warn!(
                "a message from control VM {} at {} is addressed to {}: check the addresses",
                envelope.from,
                envelope.reply_to,
                envelope.to
            );
            return;
        }
        self.reply_addresses
            .insert(envelope.from, envelope.reply_to);
        let now = Instant::now();
        if let Some(planner) = &mut self.planner {
            planner.record_message(now, envelope.from);
        }
        let is_departure = matches!(envelope.message, Message::Departure { .. });
        self.replica.receive(now, envelope.from, envelope.message);
        if is_departure {
            self.advance_voter_change(now);
        }
        self.flush(now);
    }

    /// Validates a site file and proposes it.
    pub(super) fn apply(&mut self, request: ApplyRequest) -> oneshot::Receiver<Reply> {
        if let Err(problem) = (self.check)(&request.text) {
            return ready_reply(Reply::InvalidFile(problem));
        }
        self.submit(|replica, now, id| replica.apply(now, id, request))
    }

    /// Validates a file that carries its own version and proposes it.
    pub(super) fn apply_version(&mut self, request: VersionedRequest) -> oneshot::Receiver<Reply> {
        if let Err(problem) = (self.check)(&request.text) {
            return ready_reply(Reply::InvalidFile(problem));
        }
        self.submit(|replica, now, id| replica.apply_version(now, id, request))
    }

    /// Reads the accepted file with confirmation by a quorum.
    pub(super) fn read_confirmed(&mut self) -> oneshot::Receiver<Reply> {
        self.submit(Replica::read_confirmed)
    }

    /// Enables the automatic replacement of lost voters.
    pub(super) fn set_planner(&mut self, planner: VoterPlanner) {
        self.planner = Some(planner);
    }

    /// Records a contact with a control VM, which may be no voter.
    pub(super) fn record_contact(&mut self, id: VoterId, address: SocketAddr, domain: &str) {
        if let Some(planner) = &mut self.planner {
            planner.record_contact(Instant::now(), id, address, domain);
        }
    }

    /// Returns the leader and the address that it listens on, or `None` without contact to
    /// a quorum.
    pub(super) fn leader(&self) -> Option<(VoterId, SocketAddr)> {
        let now = Instant::now();
        if !self.replica.is_in_quorum(now) {
            return None;
        }
        let id = self.replica.leader_id()?;
        Some((id, self.address_of(id)?))
    }

    /// Returns the address of this VM, of a voter, or of another control VM that has sent a
    /// message.
    fn address_of(&self, id: VoterId) -> Option<SocketAddr> {
        if id == self.replica.id() {
            return Some(self.listen);
        }
        let reply_address = self.reply_addresses.get(&id).copied();
        self.replica.peer_address(id).or(reply_address)
    }

    /// Returns whether this VM is in contact with a quorum.
    pub(super) fn is_in_quorum(&self) -> bool {
        self.replica.is_in_quorum(Instant::now())
    }

    /// Returns the term in which this VM holds the leader's lease, if it does.
    pub(super) fn lease_term(&self) -> Option<Term> {
        self.replica.lease_term(Instant::now())
    }

    /// Returns a receiver of the newest committed change.
    pub(super) fn committed(&self) -> watch::Receiver<Option<Arc<Change>>> {
        self.committed.subscribe()
    }

    /// Returns a receiver of the committed evacuations.
    pub(super) fn evacuations(&self) -> watch::Receiver<LocalEvacuations> {
        self.evacuations.subscribe()
    }

    /// Returns the status of the evacuations.
    pub(super) fn evacuation_status(&self) -> Reply {
        let status = self.evacuation_status.as_ref().map(|status| status());
        Reply::Evacuations(status.unwrap_or_default())
    }

    /// Returns the open flows of entries in evacuated domains.
    pub(super) fn evacuated_flows(&self) -> Reply {
        let flows = self.evacuated_flows.as_ref().map(|flows| flows());
        Reply::EvacuatedFlows(flows.unwrap_or_default())
    }

    /// Checks that a failure domain exists and that this VM can have it evacuated now. A
    /// domain that has left the settings while it is evacuated counts as existing, so that
    /// its evacuation can be ended.
    pub(super) fn check_order(&self, order: &EvacuationOrder) -> Result<(), EvacuationReply> {
        let Some(domains) = &self.domains else {
            return Err(EvacuationReply::Unsupported);
        };
        let evacuations = self.replica.evacuations();
        let invalid = |problem: String| EvacuationReply::InvalidOrder(problem.into());
        let limits = evacuations.check_limits(order);
        limits.map_err(|limit| invalid(limit.to_string()))?;
        let domain = &order.domain;
        let is_known =
            domains.is_empty() || domains.contains(domain) || self.replica.may_be_evacuated(domain);
        if domain.is_empty() || !is_known {
            return Err(invalid(format!("there is no failure domain `{domain}`")));
        }
        let refuse = |reason| EvacuationReply::Decided(EvacuationAnswer::Refused(reason));
        self.replica.check_order(Instant::now()).map_err(refuse)
    }

    /// Proposes an order; returns its id with the receiver of the reply.
    pub(super) fn order_evacuation(
        &mut self,
        order: EvacuationOrder,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        let reply = self.submit(|replica, now, id| replica.order_evacuation(now, id, order));
        (self.next_request, reply)
    }

    /// Cancels an order that is not in the log yet, and returns whether it was cancelled.
    pub(super) fn cancel_order(&mut self, id: RequestId) -> bool {
        self.pending.swap_remove(&id);
        self.replica.cancel_order(id)
    }

    /// Records that a connection of another control VM has ended.
    pub(super) fn record_disconnect(&mut self, id: VoterId) {
        if let Some(planner) = &mut self.planner {
            planner.record_disconnect(id);
        }
    }

    /// Gives up leadership, so that another voter is elected soon.
    pub(super) fn step_down(&mut self) {
        let now = Instant::now();
        self.replica.step_down(now);
        self.flush(now);
    }

    /// Passes the lead and the vote of this VM on before its stop, and returns how far that
    /// is. To be repeated until it is complete.
    pub(super) fn hand_over(&mut self) -> HandOver {
        let now = Instant::now();
        let mut hand_over = HandOver::Lead;
        if self.replica.transfer_lead(now) {
            hand_over = self.hand_over_vote(now);
        }
        self.flush(now);
        hand_over
    }

    fn hand_over_vote(&mut self, now: Instant) -> HandOver {
        let members = self.replica.status(now).members;
        let own = self.replica.id();
        let can_replace = |planner: &VoterPlanner| planner.can_replace(now, own, &members);
        self.replica.announce_departure();
        if self.replica.is_released() || !members.contains(own) {
            HandOver::Released
        } else if self.planner.as_ref().is_some_and(can_replace) {
            HandOver::Vote
        } else {
            HandOver::NoStandby
        }
    }

    /// Starts the next planned change of the voters. Abandons one whose joining voter does not
    /// catch up while another one could, or while a vote waits to be removed.
    fn advance_voter_change(&mut self, now: Instant) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        if !self.replica.has_lease(now) {
            planner.restart_timeouts(now);
            self.metrics.set_voter_spread(None);
            return;
        }
        for (id, _) in self.peers.iter().filter(|(_, peer)| peer.is_refused()) {
            planner.record_refusal(*id);
        }
        let oldest_write = self.unconfirmed.front();
        if oldest_write.is_some_and(|(_, start)| now >= *start + SLOW_WRITE_TIME) {
            planner.record_slow_write(now);
        }
        let status = self.replica.status(now);
        let members = &status.members;
        let is_departing = |id| self.replica.is_departing(now, id);
        if let Some(current) = self.replica.voter_change() {
            let joining = current.fresh;
            let is_alive = planner.is_alive(now, joining);
            let is_late = now >= self.catch_up_deadline
                && (planner.has_alternative(now, joining, members)
                    || planner.has_pending_removal(
                        now,
                        status.id,
                        members,
                        &current,
                        is_departing,
                    ));
            if (!is_alive || is_late) && self.replica.abandon_catch_up() {
                planner.avoid(now, joining);
                self.metrics.count_voter_change("abandoned");
                log::warn!(
                    event = "voters",
                    voter = joining,
                    is_alive = is_alive;
                    "a standby did not catch up in time to become a voter"
                );
            }
            return;
        }
        let spread = planner.spread(now, members, is_departing);
        self.metrics.set_voter_spread(Some(spread));
        self.spread_log
            .record(now, spread, &planner.voters_by_domain(members));
        let Some(change) = planner.next_change(now, status.id, members, is_departing) else {
            self.pass_lead_to_younger(now, &status);
            return;
        };
        let reason = planner.reason(now, &change, members, is_departing);
        log::info!(
            event = "voters",
            change:? = change,
            reason = reason,
            spread:% = spread,
            voters_by_domain:? = planner.voters_by_domain(members),
            voter_count = members.ids().count(),
            term = status.term;
            "changing the voters"
        );
        self.metrics.count_voter_change("started");
        self.metrics.count_voter_change_reason(reason);
        self.catch_up_deadline = now + CATCH_UP_TIMEOUT;
        let (id, _) = self.register();
        self.replica.change_voters(now, id, change);
        self.flush(now);
    }

    /// Passes the lead on to a younger voter if the planner finds one that should have it.
    fn pass_lead_to_younger(&mut self, now: Instant, status: &Status) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        let is_departing = |id| self.replica.is_departing(now, id);
        let successor = planner.next_leader(now, status.id, &status.members, is_departing);
        if let Some(successor) = successor
            && self.replica.pass_lead(now, successor)
        {
            planner.count_optional_change(now);
            self.metrics.count_voter_change_reason("lead");
            log::info!(
                event = "leader",
                successor = successor,
                term = status.term;
                "passing the lead on to a younger control VM"
            );
            self.flush(now);
        }
    }

    /// Returns whether the voters outlast what the site tolerates; `None` unless this VM holds
    /// the lease and chooses the voters.
    pub(super) fn voter_spread(&self) -> Option<VoterSpread> {
        let now = Instant::now();
        let planner = self.planner.as_ref()?;
        let members = self.replica.status(now).members;
        let spread = planner.spread(now, &members, |id| self.replica.is_departing(now, id));
        self.replica.has_lease(now).then_some(spread)
    }

    /// Closes connections to control VMs that are no longer voters, and do not lead either.
    fn drop_former_peers(&mut self) {
        let replica = &self.replica;
        let leader = replica.leader_id();
        self.peers
            .retain(|id, _| replica.peer_address(*id).is_some() || leader == Some(*id));
    }

    /// Keeps connections to all other voters open, so that an election need not wait until they
    /// are established: two candidates would split the votes meanwhile.
    fn connect_to_voters(&mut self, members: &Members) {
        let own = self.replica.id();
        if members.contains(own) {
            for (id, address) in members.iter().filter(|(id, _)| *id != own) {
                self.connect(id, address);
            }
        }
        let open = self.peers.values().filter(|peer| peer.is_open()).count();
        self.metrics.set_open_peers(open);
    }

    /// Proposes the replacement of a lost voter.
    pub(super) fn replace(&mut self, request: ReplaceRequest) -> oneshot::Receiver<Reply> {
        self.submit(|replica, now, id| replica.replace(now, id, request))
    }

    /// Submits a request to the replica; returns the receiver of the reply.
    fn submit(
        &mut self,
        request: impl FnOnce(&mut Replica, Instant, RequestId),
    ) -> oneshot::Receiver<Reply> {
        let now = Instant::now();
        let (id, rx) = self.register();
        request(&mut self.replica, now, id);
        self.flush(now);
        rx
    }

    /// Assigns an id to a request; returns it with the receiver of the reply.
    fn register(&mut self) -> (RequestId, oneshot::Receiver<Reply>) {
        let (tx, rx) = oneshot::channel();
        self.next_request += 1;
        self.pending.insert(self.next_request, tx);
        (self.next_request, rx)
    }

    /// Reads the newest file known to this VM.
    pub(super) fn read(&self) -> Reply {
        Reply::Read(self.replica.read(Instant::now()))
    }

    /// Looks a revision up in the retained history.
    pub(super) fn find_revision(&self, revision: Revision) -> Reply {
        Reply::FoundRevision(self.replica.find_revision(revision))
    }

    /// Returns the status of this VM.
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

    /// Reports the result of a write to the replica.
    ///
    /// # Errors
    ///
    /// Returns the error of the write.
    pub(super) fn confirm_write(
        &mut self,
        written: Result<u64, StorageError>,
    ) -> Result<(), StorageError> {
        let now = Instant::now();
        let id = written?;
        while let Some((_, start)) = self.unconfirmed.pop_front_if(|(batch, _)| *batch <= id) {
            if now >= start + SLOW_WRITE_TIME
                && let Some(planner) = &mut self.planner
            {
                planner.record_slow_write(now);
            }
        }
        self.replica.persisted(now, id);
        self.flush(now);
        Ok(())
    }

    /// Runs the timers that are due.
    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        self.replica.tick(now);
        self.advance_voter_change(now);
        self.drop_former_peers();
        self.flush(now);
    }

    /// Returns the instant at which to call [`Core::tick`] next.
    pub(super) fn next_deadline(&self) -> Instant {
        self.replica.next_deadline()
    }

    /// Carries out all pending outputs of the replica.
    pub(super) fn flush(&mut self, now: Instant) {
        while let Some(output) = self.replica.poll_output() {
            match output {
                Output::Persist { id, batch } => {
                    self.unconfirmed.push_back((id, now));
                    // Fails only after a write error, which stops the daemon.
                    let _ = self.writes.send((id, batch));
                }
                Output::Send { to, message } => self.send(to, message),
                Output::Applied { request, answer } => {
                    let outcome = outcome_label(&answer);
                    self.metrics.count_change(outcome);
                    let control = self.replica.id();
                    debug_span!(target: TRACE_TARGET, "apply", control, outcome).in_scope(|| {});
                    self.send_reply(request, Reply::Apply(answer));
                }
                Output::Replaced { request, answer } => {
                    self.send_reply(request, Reply::Replace(answer));
                }
                Output::ReadDone { request, answer } => {
                    self.send_reply(request, Reply::Confirmed(answer));
                }
                Output::Ordered { request, answer } => {
                    let reply = EvacuationReply::Decided(answer);
                    self.send_reply(request, Reply::Evacuation(reply));
                }
                Output::Evacuated(evacuations) => {
                    let domains: Vec<_> = evacuations.iter().map(|(domain, _)| domain).collect();
                    log::info!(
                        event = "evacuation",
                        revision = evacuations.revision(),
                        domains:? = domains;
                        "evacuations are committed"
                    );
                }
                Output::Committed(change) => {
                    let revision = change.revision_id();
                    log::info!(event = "revision", revision = revision.revision; "revision accepted");
                    let control = self.replica.id();
                    debug_span!(target: TRACE_TARGET, "commit", control, %revision).in_scope(|| {});
                    self.committed.send_replace(Some(Arc::clone(&change)));
                    self.publishing.borrow_mut().publish(now, change);
                }
            }
        }
        let rollout = self.publishing.borrow().rollout_status();
        let status = self.replica.status(now);
        self.metrics.update(&status, &rollout);
        self.leader_log.log_changes(&status);
        self.connect_to_voters(&status.members);
        let evacuations = LocalEvacuations::of(&self.replica, now);
        self.evacuations.send_if_modified(|held| {
            let is_changed = *held != evacuations;
            *held = evacuations;
            is_changed
        });
        self.wake.notify_one();
    }

    fn send_reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(tx) = self.pending.swap_remove(&request) {
            // Fails if the operator has closed the stream.
            let _ = tx.send(reply);
        }
    }

    /// Opens a connection to a control VM, unless there is one to its address.
    fn connect(&mut self, to: VoterId, address: SocketAddr) {
        let known = self.peers.get(&to);
        if known.is_none_or(|peer| peer.address != address) {
            let refused = Rc::clone(&self.refused);
            self.peers
                .insert(to, Peer::start(address, self.secret, refused));
        }
    }

    /// Sends a message to another control VM, over a new connection if its address changed.
    fn send(&mut self, to: VoterId, message: Message) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        self.connect(to, address);
        let envelope = Envelope {
            from: self.replica.id(),
            to,
            reply_to: self.listen,
            message,
        };
        self.peers[&to].send(envelope);
    }
}

/// Returns a receiver that holds `reply`.
fn ready_reply(reply: Reply) -> oneshot::Receiver<Reply> {
    let (tx, rx) = oneshot::channel();
    // The receiver still exists, so this can't fail.
    let _ = tx.send(reply);
    rx
}

/// Returns the value of the `outcome` label for the answer to a change.
fn outcome_label(answer: &ApplyAnswer) -> &'static str {
    match answer {
        ApplyAnswer::Accepted(_) => "accepted",
        ApplyAnswer::AlreadyAccepted(_) => "already_accepted",
        ApplyAnswer::Conflict(_) => "conflict",
        ApplyAnswer::Superseded(_) => "superseded",
        ApplyAnswer::Refused(_) => "refused",
        ApplyAnswer::Unknown => "unknown",
    }
}
