//! Control VMs with fake disks on a network in memory.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_control::{
    ApplyAnswer, ApplyRequest, Batch, BatchId, Journal, Members, Message, Output, ReadAnswer,
    ReplaceAnswer, ReplaceRequest, Replica, ReplicaSettings, RequestId, Revision, RevisionId,
    VersionedRequest, VoterChange, VoterId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;
use super::fake_disk::FakeDisk;

const SNAPSHOT_ENTRIES: usize = 8;

pub fn address(id: VoterId) -> SocketAddr {
    let port = 9_000 + u16::try_from(id).expect("tests use small ids");
    (Ipv4Addr::LOCALHOST, port).into()
}

struct Running {
    replica: Replica,
    journal: Journal<FakeDisk>,
    writes: VecDeque<(BatchId, Batch)>,
    checked: u64,
}

struct Node {
    disk: FakeDisk,
    running: Option<Running>,
    /// Parts in a million by which the VM's clock is fast.
    clock_ppm: i64,
    starts: u64,
}

struct Flight {
    due: Duration,
    from: VoterId,
    to: VoterId,
    message: Message,
}

pub struct Net {
    base: Instant,
    now: Duration,
    nodes: BTreeMap<VoterId, Node>,
    flights: Vec<Flight>,
    cuts: HashSet<(VoterId, VoterId)>,
    rng: ChaCha8Rng,
    /// Percent of messages that are lost, and as many that come twice.
    pub loss: u32,
    /// Percent of writes that are not done at once, nor in any one step.
    pub slow_writes: u32,
    /// How far time moves in one step.
    pub step: Duration,
    /// The longest delay of a message in milliseconds.
    pub delay_ms: u64,
    requests: HashMap<RequestId, ApplyRequest>,
    pub answers: HashMap<RequestId, ApplyAnswer>,
    pub replaced: HashMap<RequestId, ReplaceAnswer>,
    /// Answers to confirmed reads.
    pub reads: HashMap<RequestId, ReadAnswer>,
    next_request: RequestId,
    pub checks: Checks,
    /// Votes that were granted to others.
    pub votes: usize,
}

impl Net {
    pub fn new(voters: VoterId, seed: u64) -> Self {
        let mut net = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            flights: Vec::new(),
            cuts: HashSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0,
            slow_writes: 0,
            step: Duration::from_millis(10),
            delay_ms: 10,
            requests: HashMap::new(),
            answers: HashMap::new(),
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

    /// Adds a VM with a fresh disk that joins the site.
    pub fn join(&mut self, id: VoterId) {
        let disk = FakeDisk::new(id);
        Journal::join(disk.clone()).unwrap();
        self.add(id, disk);
    }

    fn add(&mut self, id: VoterId, disk: FakeDisk) {
        // The fastest and the slowest clocks that the bound allows.
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

    fn local(&self, id: VoterId) -> Instant {
        let micros = self.now.as_micros() as i64;
        let local = micros + micros * self.nodes[&id].clock_ppm / 1_000_000;
        self.base + Duration::from_micros(local as u64)
    }

    pub fn crash(&mut self, id: VoterId) {
        self.nodes.get_mut(&id).unwrap().running = None;
    }

    pub fn is_up(&self, id: VoterId) -> bool {
        self.nodes[&id].running.is_some()
    }

    /// Loses a VM and its disk for good.
    pub fn lose(&mut self, id: VoterId) {
        self.nodes.remove(&id);
    }

    /// Starts a VM from its disk, unless it runs.
    pub fn restart(&mut self, id: VoterId) {
        let now = self.local(id);
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
            compact_after_entries: SNAPSHOT_ENTRIES,
            snapshot_chunk_bytes: 100,
            ..ReplicaSettings::default()
        };
        let checked = recovered.snapshot.last_index;
        node.running = Some(Running {
            replica: Replica::new(settings, recovered, now),
            journal,
            writes: VecDeque::new(),
            checked,
        });
    }

    pub fn cut(&mut self, from: VoterId, to: VoterId) {
        self.cuts.insert((from, to));
    }

    pub fn isolate(&mut self, id: VoterId) {
        for other in self.ids() {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    /// Makes a VM's clock fast, in parts in a million, from its next start on.
    pub fn set_clock(&mut self, id: VoterId, clock_ppm: i64) {
        self.crash(id);
        self.nodes.get_mut(&id).unwrap().clock_ppm = clock_ppm;
        self.restart(id);
    }

    /// Delivers a message at once.
    pub fn inject(&mut self, from: VoterId, to: VoterId, message: Message) {
        let local = self.local(to);
        if let Some(running) = &mut self.nodes.get_mut(&to).unwrap().running {
            running.replica.receive(local, from, message);
        }
        self.drain(to);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn replica(&self, id: VoterId) -> Option<&Replica> {
        self.nodes[&id].running.as_ref().map(|r| &r.replica)
    }

    /// Returns what a VM that runs knows as accepted.
    pub fn accepted(&self, id: VoterId) -> Option<RevisionId> {
        self.replica(id).map(|r| r.status(self.local(id)).accepted)
    }

    /// Tells whether all VMs run and know `base` as accepted.
    pub fn all_at(&self, base: RevisionId) -> bool {
        self.ids()
            .into_iter()
            .all(|id| self.accepted(id) == Some(base))
    }

    /// Returns the VM that holds the lease.
    pub fn leader(&self) -> Option<VoterId> {
        self.ids().into_iter().find(|id| {
            self.replica(*id)
                .is_some_and(|r| r.has_lease(self.local(*id)))
        })
    }

    pub fn apply(&mut self, to: VoterId, base: RevisionId, text: &str) -> RequestId {
        let request = ApplyRequest {
            base,
            text: Arc::from(text),
        };
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local(to);
        self.requests.insert(id, request.clone());
        if let Some(running) = &mut self.nodes.get_mut(&to).unwrap().running {
            running.replica.apply(now, id, request);
        }
        self.drain(to);
        id
    }

    /// Sends a file that carries its own version.
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

    /// Asks for a read that a quorum confirms.
    pub fn read_confirmed(&mut self, at: VoterId) -> RequestId {
        self.with_replica(at, |replica, now, id| replica.read_confirmed(now, id))
    }

    /// Asks for a change of the voters.
    pub fn change_voters(&mut self, at: VoterId, change: VoterChange) -> RequestId {
        self.with_replica(at, |replica, now, id| {
            replica.change_voters(now, id, change);
        })
    }

    /// Makes a leader give up its lead.
    pub fn resign(&mut self, id: VoterId) {
        self.with_replica(id, |replica, now, _| replica.step_down(now));
    }

    /// Gives up a change of voters that waits for the new one.
    pub fn abandon_catch_up(&mut self, at: VoterId) -> bool {
        let mut abandoned = false;
        self.with_replica(at, |replica, _, _| abandoned = replica.abandon_catch_up());
        abandoned
    }

    /// Gives a replica that runs one more request.
    fn with_replica(
        &mut self,
        at: VoterId,
        ask: impl FnOnce(&mut Replica, Instant, RequestId),
    ) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local(at);
        if let Some(running) = &mut self.nodes.get_mut(&at).unwrap().running {
            ask(&mut running.replica, now, id);
        }
        self.drain(at);
        id
    }

    pub fn replace(&mut self, at: VoterId, lost: VoterId, fresh: VoterId) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        let now = self.local(at);
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

    /// Runs until `done`, or fails after a minute of virtual time.
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
            let now = self.local(id);
            if let Some(running) = &mut self.nodes.get_mut(&id).unwrap().running
                && now >= running.replica.next_deadline()
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
        let (due, later) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.due <= now);
        self.flights = later;
        for flight in due {
            if !self.nodes.contains_key(&flight.to) {
                continue;
            }
            let local = self.local(flight.to);
            if let Some(running) = &mut self.nodes.get_mut(&flight.to).unwrap().running {
                running.replica.receive(local, flight.from, flight.message);
            }
            self.drain(flight.to);
            self.check_leases();
        }
    }

    fn confirm_writes(&mut self, id: VoterId) {
        let now = self.local(id);
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
            self.take(id, output);
        }
        self.check_commits(id);
    }

    fn take(&mut self, id: VoterId, output: Output) {
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
        }
    }

    fn send(&mut self, from: VoterId, to: VoterId, message: &Message) {
        let granted = matches!(message, Message::VoteReply { granted: true, .. });
        self.votes += usize::from(granted);
        self.checks.sent(message);
        if self.cuts.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        let lost = self.rng.random_range(0..100) < self.loss;
        let twice = self.rng.random_range(0..100) < self.loss;
        let copies = usize::from(!lost) + usize::from(twice);
        for _ in 0..copies {
            let late = self.loss > 0 && self.rng.random_range(0..20) == 0;
            let delay = self
                .rng
                .random_range(1..if late { 3_000 } else { self.delay_ms });
            let due = self.now + Duration::from_millis(delay);
            self.flights.push(Flight {
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
        let commit = running.replica.status(self.base).commit;
        for index in running.checked + 1..=commit {
            if let Some(entry) = running.replica.committed_entry(index) {
                self.checks.committed_entry(entry);
            }
        }
        running.checked = running.checked.max(commit);
    }

    fn check_leases(&self) {
        let leases = self.ids().into_iter().filter(|id| {
            self.replica(*id)
                .is_some_and(|r| r.has_lease(self.local(*id)))
        });
        assert!(leases.count() <= 1, "two leases are valid at once");
    }

    fn check(&mut self) {
        self.check_leases();
        for id in self.ids() {
            let read = self.replica(id).map(|r| r.read(self.local(id)));
            if let Some(read) = read {
                self.checks.read(&read);
            }
        }
    }
}
