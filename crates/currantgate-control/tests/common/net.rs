//! A simulation of control VMs with fake disks on a network in memory, in
//! virtual time.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_control::{
    ApplyAnswer, ApplyRequest, Batch, BatchId, EvacuationAction, EvacuationAnswer, EvacuationOrder,
    Index, Journal, Members, Message, Output, ReadAnswer, ReplaceAnswer, ReplaceRequest, Replica,
    ReplicaSettings, RequestId, Revision, RevisionId, VersionedRequest, VoterChange, VoterId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;
use super::fake_disk::FakeDisk;

const COMPACT_AFTER_ENTRIES: usize = 8;

pub fn address(id: VoterId) -> SocketAddr {
    let port = 9_000 + u16::try_from(id).expect("tests use small ids");
    (Ipv4Addr::LOCALHOST, port).into()
}

struct Running {
    replica: Replica,
    journal: Journal<FakeDisk>,
    /// Batches that are not written and synced yet.
    writes: VecDeque<(BatchId, Batch)>,
    /// The index of the last committed entry that was checked.
    checked: u64,
    /// The highest commit index that this replica has received from a leader since its
    /// start; `None` before the first one.
    leader_commit: Option<Index>,
}

struct Node {
    disk: FakeDisk,
    running: Option<Running>,
    /// The rate error of the VM's clock in parts per million; positive if the
    /// clock is fast.
    clock_ppm: i64,
    starts: u64,
}

/// A message on the network.
struct MessageInFlight {
    due: Duration,
    from: VoterId,
    to: VoterId,
    message: Message,
}

pub struct Net {
    start: Instant,
    /// The virtual time since the start.
    now: Duration,
    nodes: BTreeMap<VoterId, Node>,
    in_flight: Vec<MessageInFlight>,
    /// The links, as sender and receiver, that drop all messages.
    cut_links: HashSet<(VoterId, VoterId)>,
    rng: ChaCha8Rng,
    /// The share of messages that are lost, in percent. The same share is
    /// duplicated.
    pub loss: u32,
    /// The share of writes that are not synced immediately, and then of those that
    /// are not synced in any given step, in percent.
    pub slow_writes: u32,
    /// The virtual time that a step takes.
    pub step: Duration,
    /// The upper limit of the delay of a message in milliseconds.
    pub delay_ms: u64,
    /// The time that the first message from one VM to another waits until the connection is
    /// established. Messages of a connection arrive in order; without such a time, in any.
    pub connect_time: Option<Duration>,
    /// The connections, as sender and receiver, each with the arrival of its last message.
    connections: HashMap<(VoterId, VoterId), Duration>,
    /// The VMs whose processes are suspended.
    suspended: HashSet<VoterId>,
    requests: HashMap<RequestId, ApplyRequest>,
    pub answers: HashMap<RequestId, ApplyAnswer>,
    orders: HashMap<RequestId, EvacuationOrder>,
    /// The answers to orders on failure domains.
    pub order_answers: HashMap<RequestId, EvacuationAnswer>,
    pub replaced: HashMap<RequestId, ReplaceAnswer>,
    /// The answers to confirmed reads.
    pub reads: HashMap<RequestId, ReadAnswer>,
    next_request: RequestId,
    pub checks: Checks,
    /// The number of votes that were granted to other replicas.
    pub votes: usize,
}

impl Net {
    pub fn new(voters: VoterId, seed: u64) -> Self {
        let mut net = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_links: HashSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0,
            slow_writes: 0,
            step: Duration::from_millis(10),
            delay_ms: 10,
            connect_time: None,
            connections: HashMap::new(),
            suspended: HashSet::new(),
            requests: HashMap::new(),
            answers: HashMap::new(),
            orders: HashMap::new(),
            order_answers: HashMap::new(),
            replaced: HashMap::new(),
            reads: HashMap::new(),
            next_request: 0,
            checks: Checks::default(),
            votes: 0,
        };
        let members = Members::new((1..=voters).map(|id| (id, address(id))));
        for id in 1..=voters {
            let disk = FakeDisk::new(seed ^ id);
            Journal::init(disk.clone(), members.clone()).unwrap();
            net.add(id, disk);
        }
        net
    }

    /// Adds a VM with a new disk that joins the site.
    pub fn join(&mut self, id: VoterId) {
        let disk = FakeDisk::new(id);
        Journal::join(disk.clone()).unwrap();
        self.add(id, disk);
    }

    fn add(&mut self, id: VoterId, disk: FakeDisk) {
        // Clocks at both ends of the allowed drift, and one without drift.
        let clock_ppm = [10_000, -10_000, 0][(id % 3) as usize];
        let node = Node {
            disk,
            running: None,
            clock_ppm,
            starts: 0,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    pub fn ids(&self) -> Vec<VoterId> {
        self.nodes.keys().copied().collect()
    }

    pub fn disk(&self, id: VoterId) -> FakeDisk {
        self.nodes[&id].disk.clone()
    }

    fn local_time(&self, id: VoterId) -> Instant {
        let micros = self.now.as_micros() as i64;
        let local = micros + micros * self.nodes[&id].clock_ppm / 1_000_000;
        self.start + Duration::from_micros(local as u64)
    }

    pub fn crash(&mut self, id: VoterId) {
        self.nodes.get_mut(&id).unwrap().running = None;
    }

    pub fn is_up(&self, id: VoterId) -> bool {
        self.nodes[&id].running.is_some()
    }

    /// Removes a VM and its disk permanently.
    pub fn remove(&mut self, id: VoterId) {
        self.nodes.remove(&id);
    }

    /// Starts a VM from its disk, unless it is running.
    pub fn restart(&mut self, id: VoterId) {
        let now = self.local_time(id);
        let node = self.nodes.get_mut(&id).unwrap();
        if node.running.is_some() {
            return;
        }
        node.disk.restart();
        node.starts += 1;
        let (journal, recovered) = Journal::open(node.disk.clone()).unwrap();
        let settings = ReplicaSettings {
            id,
            seed: id << 32 | node.starts,
            compact_after_entries: COMPACT_AFTER_ENTRIES,
            snapshot_chunk_bytes: 100,
            ..ReplicaSettings::default()
        };
        let checked = recovered.snapshot.last_index;
        node.running = Some(Running {
            replica: Replica::new(settings, recovered, now),
            journal,
            writes: VecDeque::new(),
            checked,
            leader_commit: None,
        });
    }

    /// Suspends the process of a VM, so that its timers do not expire.
    pub fn suspend(&mut self, id: VoterId) {
        self.suspended.insert(id);
    }

    pub fn resume(&mut self, id: VoterId) {
        self.suspended.remove(&id);
    }

    /// Returns the time until the next timeout of a replica.
    pub fn time_to_deadline(&self, id: VoterId) -> Duration {
        let deadline = self.replica(id).unwrap().next_deadline();
        deadline.saturating_duration_since(self.local_time(id))
    }

    /// Opens connections between all VMs.
    pub fn connect_all(&mut self) {
        for from in self.ids() {
            for to in self.ids() {
                self.connections.entry((from, to)).or_insert(self.now);
            }
        }
    }

    /// Closes the connections of all VMs.
    pub fn disconnect_all(&mut self) {
        self.connections.clear();
    }

    /// Drops all further messages from one VM to another.
    pub fn cut(&mut self, from: VoterId, to: VoterId) {
        self.cut_links.insert((from, to));
    }

    pub fn isolate(&mut self, id: VoterId) {
        for other in self.ids() {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    /// Restarts a VM with the given rate error of its clock in parts per million.
    pub fn set_clock(&mut self, id: VoterId, clock_ppm: i64) {
        self.crash(id);
        self.nodes.get_mut(&id).unwrap().clock_ppm = clock_ppm;
        self.restart(id);
    }

    /// Delivers a message immediately.
    pub fn inject(&mut self, from: VoterId, to: VoterId, message: Message) {
        let local = self.local_time(to);
        if let Some(running) = &mut self.nodes.get_mut(&to).unwrap().running {
            running.replica.receive(local, from, message);
        }
        self.drain(to);
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    pub fn replica(&self, id: VoterId) -> Option<&Replica> {
        self.nodes[&id].running.as_ref().map(|r| &r.replica)
    }

    /// Returns the accepted revision of a VM, or `None` if it is not running.
    pub fn accepted(&self, id: VoterId) -> Option<RevisionId> {
        self.replica(id)
            .map(|r| r.status(self.local_time(id)).accepted)
    }

    /// Returns whether all VMs are running and have accepted `revision`.
    pub fn all_at(&self, revision: RevisionId) -> bool {
        self.ids()
            .into_iter()
            .all(|id| self.accepted(id) == Some(revision))
    }

    /// Returns the VM that holds the lease.
    pub fn leader(&self) -> Option<VoterId> {
        self.ids().into_iter().find(|id| {
            self.replica(*id)
                .is_some_and(|r| r.has_lease(self.local_time(*id)))
        })
    }

    pub fn apply(&mut self, to: VoterId, base: RevisionId, text: &str) -> RequestId {
        let request = ApplyRequest {
            base,
            text: Arc::from(text),
        };
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local_time(to);
        self.requests.insert(id, request.clone());
        if let Some(running) = &mut self.nodes.get_mut(&to).unwrap().running {
            running.replica.apply(now, id, request);
        }
        self.drain(to);
        id
    }

    /// Requests a site file with its own version.
    pub fn apply_version(&mut self, to: VoterId, version: Revision, text: &str) -> RequestId {
        self.checks.versioned = true;
        let request = VersionedRequest {
            version,
            text: Arc::from(text),
        };
        self.with_replica(to, |replica, now, id| {
            replica.apply_version(now, id, request);
        })
    }

    /// Sends an order on a failure domain.
    pub fn order(&mut self, to: VoterId, domain: &str, action: EvacuationAction) -> RequestId {
        let order = EvacuationOrder {
            domain: domain.into(),
            action,
        };
        self.orders.insert(self.next_request + 1, order.clone());
        self.with_replica(to, |replica, now, id| {
            replica.order_evacuation(now, id, order);
        })
    }

    /// Gives up an order, as when its sender closes the connection.
    pub fn cancel_order(&mut self, at: VoterId, id: RequestId) -> bool {
        let mut cancelled = false;
        self.with_replica(at, |replica, _, _| cancelled = replica.cancel_order(id));
        cancelled
    }

    /// Returns whether all VMs are running and know the newest evacuations.
    pub fn all_evacuations_current(&self) -> bool {
        let newest = self.checks.newest_evacuations();
        self.ids().into_iter().all(|id| {
            self.replica(id)
                .is_some_and(|replica| **replica.evacuations() == newest)
        })
    }

    /// Returns whether a VM is caught up with what was acknowledged.
    pub fn is_caught_up(&self, id: VoterId) -> bool {
        let now = self.local_time(id);
        self.replica(id).is_some_and(|r| r.is_caught_up(now))
    }

    /// Requests a read that a quorum confirms.
    pub fn read_confirmed(&mut self, at: VoterId) -> RequestId {
        self.with_replica(at, |replica, now, id| replica.read_confirmed(now, id))
    }

    /// Requests a change of the voters.
    pub fn change_voters(&mut self, at: VoterId, change: VoterChange) -> RequestId {
        self.with_replica(at, |replica, now, id| {
            replica.change_voters(now, id, change);
        })
    }

    /// Makes a leader step down.
    pub fn step_down(&mut self, id: VoterId) {
        self.with_replica(id, |replica, now, _| replica.step_down(now));
    }

    /// Makes a leader pass its lead on, as before a planned stop, and returns whether it has.
    pub fn transfer_lead(&mut self, id: VoterId) -> bool {
        let mut is_done = false;
        self.with_replica(id, |replica, now, _| is_done = replica.transfer_lead(now));
        is_done
    }

    /// Makes a leader that goes on running pass its lead on to another replica, and returns
    /// whether it did.
    pub fn pass_lead(&mut self, id: VoterId, successor: VoterId) -> bool {
        let mut is_done = false;
        self.with_replica(id, |replica, now, _| {
            is_done = replica.pass_lead(now, successor);
        });
        is_done
    }

    /// Makes a replica announce that it stops.
    pub fn announce_departure(&mut self, id: VoterId) {
        self.with_replica(id, |replica, _, _| replica.announce_departure());
    }

    /// Returns whether a replica considers another one as about to stop.
    pub fn is_departing(&self, at: VoterId, id: VoterId) -> bool {
        let now = self.local_time(at);
        self.replica(at).is_some_and(|r| r.is_departing(now, id))
    }

    /// Cancels a change of the voters whose new voter has not caught up, and
    /// returns whether it was cancelled.
    pub fn abandon_catch_up(&mut self, at: VoterId) -> bool {
        let mut cancelled = false;
        self.with_replica(at, |replica, _, _| cancelled = replica.abandon_catch_up());
        cancelled
    }

    /// Sends a request to a replica, if it is running, and returns its id.
    fn with_replica(
        &mut self,
        at: VoterId,
        request: impl FnOnce(&mut Replica, Instant, RequestId),
    ) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local_time(at);
        if let Some(running) = &mut self.nodes.get_mut(&at).unwrap().running {
            request(&mut running.replica, now, id);
        }
        self.drain(at);
        id
    }

    pub fn replace(&mut self, at: VoterId, lost: VoterId, fresh: VoterId) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local_time(at);
        let address = address(fresh);
        if let Some(running) = &mut self.nodes.get_mut(&at).unwrap().running {
            let request = ReplaceRequest {
                lost,
                fresh,
                address,
            };
            running.replica.replace(now, id, request);
        }
        self.drain(at);
        id
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns `true`. Panics after a minute of virtual time.
    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(60);
        while !done(self) {
            assert!(self.now < end, "not within a minute: {what}");
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += self.step;
        for id in self.ids() {
            if self.rng.random_range(0..100) >= self.slow_writes {
                self.confirm_writes(id);
            }
            let now = self.local_time(id);
            if let Some(running) = &mut self.nodes.get_mut(&id).unwrap().running
                && now >= running.replica.next_deadline()
                && !self.suspended.contains(&id)
            {
                running.replica.tick(now);
            }
            self.drain(id);
        }
        self.deliver();
        self.check();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due <= now);
        self.in_flight = later;
        for sent in due {
            if !self.nodes.contains_key(&sent.to) {
                continue;
            }
            let local = self.local_time(sent.to);
            if let Some(running) = &mut self.nodes.get_mut(&sent.to).unwrap().running {
                let commit = match sent.message {
                    Message::Append { commit, .. } => Some(commit),
                    _ => None,
                };
                running.replica.receive(local, sent.from, sent.message);
                if running.replica.leader_id() == Some(sent.from) {
                    running.leader_commit = running.leader_commit.max(commit);
                }
            }
            self.drain(sent.to);
            self.check_leases();
        }
    }

    fn confirm_writes(&mut self, id: VoterId) {
        let now = self.local_time(id);
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(running) = &mut node.running else {
            return;
        };
        while let Some((batch_id, batch)) = running.writes.pop_front() {
            if running.journal.write(&batch).is_err() {
                node.running = None;
                return;
            }
            running.replica.persisted(now, batch_id);
        }
    }

    fn drain(&mut self, id: VoterId) {
        loop {
            let Some(running) = &mut self.nodes.get_mut(&id).unwrap().running else {
                return;
            };
            let Some(output) = running.replica.poll_output() else {
                break;
            };
            self.handle_output(id, output);
        }
        self.check_commits(id);
    }

    fn handle_output(&mut self, id: VoterId, output: Output) {
        match output {
            Output::Persist {
                id: batch_id,
                batch,
            } => {
                let running = self.nodes.get_mut(&id).unwrap().running.as_mut().unwrap();
                running.writes.push_back((batch_id, batch));
                if self.rng.random_range(0..100) >= self.slow_writes {
                    self.confirm_writes(id);
                }
            }
            Output::Send { to, message } => self.send(id, to, &message),
            Output::Applied { request, answer } => {
                if let Some(asked) = self.requests.get(&request) {
                    self.checks.answer(asked, &answer);
                }
                let earlier = self.answers.insert(request, answer);
                assert_eq!(earlier, None, "answered twice");
            }
            Output::Replaced { request, answer } => {
                self.replaced.insert(request, answer);
            }
            Output::ReadDone { request, answer } => {
                self.reads.insert(request, answer);
            }
            Output::Committed(change) => self.checks.committed_change(&change),
            Output::Ordered { request, answer } => {
                let order = self.orders[&request].clone();
                let term = self.replica(id).unwrap().status(self.start).term;
                self.checks.order_answer(&order, answer, term);
                let earlier = self.order_answers.insert(request, answer);
                assert_eq!(earlier, None, "answered twice");
            }
            Output::Evacuated(evacuations) => self.checks.committed_evacuations(&evacuations),
        }
    }

    fn send(&mut self, from: VoterId, to: VoterId, message: &Message) {
        let granted = matches!(message, Message::VoteReply { granted: true, .. });
        self.votes += usize::from(granted);
        self.checks.sent_message(message);
        if self.cut_links.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        let lost = self.rng.random_range(0..100) < self.loss;
        let duplicated = self.rng.random_range(0..100) < self.loss;
        let copies = usize::from(!lost) + usize::from(duplicated);
        for _ in 0..copies {
            let late = self.loss > 0 && self.rng.random_range(0..20) == 0;
            let delay = self
                .rng
                .random_range(1..if late { 3_000 } else { self.delay_ms });
            let mut due = self.now + Duration::from_millis(delay);
            if let Some(connect_time) = self.connect_time {
                let last = self.connections.entry((from, to));
                let last = last.or_insert(self.now + connect_time);
                due = due.max(*last + Duration::from_millis(1));
                *last = due;
            }
            self.in_flight.push(MessageInFlight {
                due,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn check_commits(&mut self, id: VoterId) {
        let Some(running) = &mut self.nodes.get_mut(&id).unwrap().running else {
            return;
        };
        let commit = running.replica.status(self.start).commit;
        for index in running.checked + 1..=commit {
            if let Some(entry) = running.replica.committed_entry(index) {
                self.checks.committed_entry(entry);
            }
        }
        running.checked = running.checked.max(commit);
    }

    /// Checks that a VM which considers itself caught up holds every order that was
    /// acknowledged before its term, or up to a commit index that it has received since its
    /// start.
    fn check_caught_up(&self, id: VoterId) {
        if !self.is_caught_up(id) {
            return;
        }
        let running = self.nodes[&id].running.as_ref().unwrap();
        let replica = &running.replica;
        let status = replica.status(self.local_time(id));
        let is_informed = running.leader_commit.is_some() || status.leader == Some(id);
        assert!(is_informed, "{id} has not heard a leader");
        let leader_commit = running.leader_commit.unwrap_or_default();
        let checks = &self.checks;
        let required = checks
            .newest_acknowledged_before(status.term)
            .max(checks.newest_acknowledged_up_to(leader_commit));
        let held = replica.evacuations().revision();
        assert!(held >= required, "{id} holds {held}, not {required}");
    }

    fn check_leases(&self) {
        let leases = self.ids().into_iter().filter(|id| {
            self.replica(*id)
                .is_some_and(|r| r.has_lease(self.local_time(*id)))
        });
        assert!(leases.count() <= 1, "two leases are valid at once");
    }

    fn check(&mut self) {
        self.check_leases();
        for id in self.ids() {
            let read = self.replica(id).map(|r| r.read(self.local_time(id)));
            if let Some(read) = read {
                self.checks.read(&read);
            }
            self.check_caught_up(id);
        }
    }
}
