//! A simulation of voters, fan-out VMs and nodes in one process, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_control::{
    ApplyRequest, Digest, Journal, Members, Message, Output, Publisher, PublisherMessage,
    PublisherOutput, PublisherSettings, Replica, ReplicaSettings, RevisionId, Subscriber,
    SubscriberMessage, SubscriberOutput, SubscriberSettings, VoterId,
};
use serde::Serialize;

use crate::memory_disk::MemoryDisk;

const DOMAINS: usize = 6;
const VOTERS: usize = 5;
const FAN_OUTS: usize = 2 * DOMAINS;
const CHANGES: u64 = 3;

/// The one-way latency between any two VMs.
const LATENCY: Duration = Duration::from_micros(1_500);

/// The time between two changes, at 20,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4_320);

/// The overhead of a message in bytes: length prefix, HTTP/2 frame header, TCP and
/// IP headers with timestamps, and a separate TCP acknowledgement.
const OVERHEAD_BYTES: u64 = 4 + 9 + 52 + 52;

/// The number of services in the site file per node: 5,100 for 5,700 nodes.
const SERVICES_PER_NODE: f64 = 5_100.0 / 5_700.0;

/// The results of one run.
pub(crate) struct FleetReport {
    pub(crate) nodes: usize,
    pub(crate) dedicated_vms: usize,
    pub(crate) text_bytes: usize,
    pub(crate) first_file: Duration,
    pub(crate) in_force: Duration,
    pub(crate) commit_round_trips: f64,
    pub(crate) node_bytes_per_second: f64,
    pub(crate) node_bytes_per_change: f64,
    pub(crate) node_messages_per_second: f64,
    pub(crate) fan_out_bytes_per_second: f64,
    pub(crate) voter_bytes_per_second: f64,
    pub(crate) node_nanos_per_change: f64,
    pub(crate) node_core_percent: f64,
    pub(crate) voter_nanos_per_change: f64,
    pub(crate) node_memory_mib: f64,
}

/// A VM. Voters have the lowest indexes, followed by fan-out VMs and nodes.
struct Vm {
    voter: Option<(Replica, Journal<MemoryDisk>)>,
    publisher: Option<Publisher>,
    subscriber: Option<Subscriber>,
    /// The VM that the subscriber is connected to.
    server: Option<usize>,
    alive: bool,
    bytes: u64,
    messages: u64,
    nanos: u128,
    next_tick: Duration,
}

enum Event {
    Tick,
    Voter(VoterId, Message),
    Publisher(usize, PublisherMessage),
    Subscriber(usize, SubscriberMessage),
    Connected,
}

pub(crate) struct Fleet {
    epoch: Instant,
    now: Duration,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: std::collections::HashMap<u64, Event>,
    next_event: u64,
    nodes: usize,
    text: Vec<String>,
    revision: RevisionId,
    answered: Option<Duration>,
    adopted: usize,
    last_adopted: Duration,
    /// The fan-out VMs whose links to the voters drop all messages.
    isolated: Vec<usize>,
}

fn address(vm: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, vm as u16).into()
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

impl Fleet {
    pub(crate) fn new(nodes: usize) -> Self {
        Self::with_services(nodes, (nodes as f64 * SERVICES_PER_NODE) as usize)
    }

    pub(crate) fn with_services(nodes: usize, services: usize) -> Self {
        let epoch = Instant::now();
        let line = |n: usize| {
            format!(
                "[[service]]\nname = \"service-{n}\"\naddress = \"10.{}.{}.{}:443\"\n\n",
                n >> 16,
                n >> 8 & 255,
                n & 255
            )
        };
        let mut fleet = Self {
            epoch,
            now: Duration::ZERO,
            vms: Vec::new(),
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            next_event: 0,
            nodes,
            text: (0..services).map(line).collect(),
            revision: RevisionId::empty(),
            answered: None,
            adopted: 0,
            last_adopted: Duration::ZERO,
            isolated: Vec::new(),
        };
        for vm in 0..VOTERS + FAN_OUTS + nodes {
            fleet.vms.push(make_vm(vm, epoch));
            fleet.schedule(Duration::ZERO, vm, Event::Tick);
        }
        fleet
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = |fan_out: usize, other: usize| self.isolated.contains(&fan_out) && other < VOTERS;
        cut(a, b) || cut(b, a)
    }

    fn deliver(&mut self, from: usize, to: usize, event: Event) {
        if !self.is_cut(from, to) {
            self.schedule(LATENCY, to, event);
        }
    }

    fn schedule(&mut self, after: Duration, vm: usize, event: Event) {
        self.next_event += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.next_event, vm)));
        self.events.insert(self.next_event, event);
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, id, vm))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&id).expect("each event is queued once");
            if self.vms[vm].alive {
                self.handle(vm, event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, id: usize, event: Event) {
        let now = self.epoch + self.now;
        let start = Instant::now();
        let vm = &mut self.vms[id];
        match event {
            Event::Tick if self.now < vm.next_tick => return,
            Event::Tick => tick(vm, now),
            Event::Voter(from, message) => {
                if let Some((replica, _)) = &mut vm.voter {
                    replica.receive(now, from, message);
                }
            }
            Event::Publisher(from, message) => {
                if vm.server == Some(from)
                    && let Some(subscriber) = &mut vm.subscriber
                {
                    subscriber.receive(now, message);
                }
            }
            Event::Subscriber(from, message) => {
                if let Some(publisher) = &mut vm.publisher {
                    publisher.receive(now, from as u64, message);
                }
            }
            Event::Connected => {
                if let Some(subscriber) = &mut vm.subscriber {
                    subscriber.connected(now);
                }
            }
        }
        self.vms[id].nanos += start.elapsed().as_nanos();
        self.drain(id);
    }

    fn drain(&mut self, id: usize) {
        let now = self.epoch + self.now;
        while let Some(output) = self.vms[id].voter.as_mut().and_then(|v| v.0.poll_output()) {
            self.handle_voter_output(id, output);
        }
        while let Some(output) = self.vms[id]
            .subscriber
            .as_mut()
            .and_then(Subscriber::poll_output)
        {
            self.handle_subscriber_output(id, output);
        }
        while let Some(output) = self.vms[id]
            .publisher
            .as_mut()
            .and_then(Publisher::poll_output)
        {
            if let PublisherOutput::Send { to, message } = output {
                self.count(id, to as usize, &message);
                self.deliver(id, to as usize, Event::Publisher(id, message));
            }
        }
        let vm = &mut self.vms[id];
        let deadlines = [
            vm.voter.as_ref().map(|v| v.0.next_deadline()),
            vm.subscriber.as_ref().map(Subscriber::next_deadline),
            vm.publisher.as_ref().map(Publisher::next_deadline),
        ];
        let next = deadlines.into_iter().flatten().min().unwrap_or(now);
        let next = next.duration_since(self.epoch).max(self.now);
        if next != vm.next_tick {
            vm.next_tick = next;
            let after = next - self.now;
            self.schedule(after, id, Event::Tick);
        }
    }

    fn handle_voter_output(&mut self, id: usize, output: Output) {
        let now = self.epoch + self.now;
        let (replica, journal) = self.vms[id].voter.as_mut().expect("the VM is a voter");
        match output {
            Output::Persist { id, batch } => {
                journal.write(&batch).expect("memory does not fail");
                replica.persisted(now, id);
            }
            Output::Send { to, message } => {
                let to = to as usize - 1;
                self.count(id, to, &message);
                self.schedule(LATENCY, to, Event::Voter(id as VoterId + 1, message));
            }
            Output::Committed(change) => {
                if let Some(publisher) = &mut self.vms[id].publisher {
                    publisher.publish(now, change);
                }
            }
            Output::Applied { .. } => self.answered = Some(self.now),
            Output::Replaced { .. }
            | Output::ReadDone { .. }
            | Output::Ordered { .. }
            | Output::Evacuated(_) => {}
        }
    }

    fn handle_subscriber_output(&mut self, id: usize, output: SubscriberOutput) {
        let now = self.epoch + self.now;
        match output {
            SubscriberOutput::Connect(address) => {
                let server = usize::from(address.port());
                self.vms[id].server = Some(server);
                // A round trip for TCP and half a round trip for the request.
                if self.vms[server].alive && !self.is_cut(id, server) {
                    self.schedule(3 * LATENCY, id, Event::Connected);
                }
            }
            SubscriberOutput::Disconnect => self.vms[id].server = None,
            SubscriberOutput::Send(message) => {
                if let Some(server) = self.vms[id].server {
                    self.count(id, server, &message);
                    self.deliver(id, server, Event::Subscriber(id, message));
                }
            }
            SubscriberOutput::Adopt(change) => {
                if let Some(publisher) = &mut self.vms[id].publisher {
                    publisher.publish(now, change);
                } else if change.revision_id() == self.revision {
                    self.adopted += 1;
                    self.last_adopted = self.now;
                }
            }
        }
    }

    fn count(&mut self, from: usize, to: usize, message: &impl Serialize) {
        let config = bincode::config::standard();
        let encoded = bincode::serde::encode_to_vec(message, config).expect("messages encode");
        let bytes = encoded.len() as u64 + OVERHEAD_BYTES;
        for vm in [from, to] {
            self.vms[vm].bytes += bytes;
            self.vms[vm].messages += 1;
        }
    }

    fn leader(&self) -> usize {
        let now = self.epoch + self.now;
        (0..VOTERS)
            .find(|id| {
                self.vms[*id]
                    .voter
                    .as_ref()
                    .is_some_and(|v| v.0.has_lease(now))
            })
            .expect("a leader was elected")
    }

    fn apply(&mut self, n: u64) {
        let line = (n as usize * 37) % self.text.len();
        self.text[line] = self.text[line].replace(":443", ":8443");
        let last = self.text.len() - 1 - n as usize;
        self.text[last] = self.text[last].replace(":443", ":9443");
        let text = self.text.concat();
        let request = ApplyRequest {
            base: self.revision,
            text: text.as_str().into(),
        };
        self.revision = RevisionId {
            revision: n,
            digest: Digest::of(&text),
        };
        self.answered = None;
        self.adopted = 0;
        let leader = self.leader();
        let now = self.epoch + self.now;
        if let Some((replica, _)) = &mut self.vms[leader].voter {
            replica.apply(now, n, request);
        }
        self.drain(leader);
    }

    /// Applies a change. Returns the times until it was in force on all nodes and
    /// until it was answered.
    fn change(&mut self, n: u64) -> (Duration, Duration) {
        let start = self.now;
        self.apply(n);
        self.run_until(start + CHANGE_INTERVAL);
        assert_eq!(
            self.adopted, self.nodes,
            "change {n} is in force on all nodes"
        );
        let answered = self.answered.expect("the change was answered");
        (self.last_adopted - start, answered - start)
    }

    /// Applies the first site file, and returns the time until it was in force on
    /// all nodes.
    fn apply_first_file(&mut self) -> Duration {
        self.run_until(Duration::from_secs(10));
        let start = self.now;
        self.apply(1);
        while self.adopted < self.nodes {
            assert!(self.now < start + Duration::from_secs(300));
            self.run_until(self.now + CHANGE_INTERVAL);
        }
        let first_file = self.last_adopted - start;
        for vm in &mut self.vms {
            vm.bytes = 0;
            vm.messages = 0;
            vm.nanos = 0;
        }
        first_file
    }

    pub(crate) fn run_changes(mut self) -> FleetReport {
        let resident = resident_bytes();
        let first_file = self.apply_first_file();
        let start = self.now;
        let idle_end = start + CHANGE_INTERVAL;
        self.run_until(idle_end);
        let nodes = VOTERS + FAN_OUTS..self.vms.len();
        let sum = |vms: &[Vm], f: fn(&Vm) -> f64| vms.iter().map(f).sum::<f64>() / vms.len() as f64;
        let idle_bytes = sum(&self.vms[nodes.clone()], |vm| vm.bytes as f64);
        let mut in_force = Duration::ZERO;
        let mut answered = Duration::ZERO;
        for n in 2..2 + CHANGES {
            let (all, answer) = self.change(n);
            in_force = in_force.max(all);
            answered = answered.max(answer);
        }
        let seconds = (self.now - idle_end).as_secs_f64();
        let nodes = &self.vms[nodes];
        let bytes = sum(nodes, |vm| vm.bytes as f64) - idle_bytes;
        let idle_share = idle_bytes / CHANGE_INTERVAL.as_secs_f64() * seconds;
        let nanos = sum(nodes, |vm| vm.nanos as f64);
        let all_seconds = (self.now - start).as_secs_f64();
        let resident = resident_bytes().saturating_sub(resident);
        FleetReport {
            nodes: self.nodes,
            dedicated_vms: VOTERS + FAN_OUTS,
            text_bytes: self.text.concat().len(),
            first_file,
            in_force,
            commit_round_trips: answered.as_secs_f64() / (2.0 * LATENCY.as_secs_f64()),
            node_bytes_per_second: bytes / seconds,
            node_bytes_per_change: (bytes - idle_share) / CHANGES as f64,
            node_messages_per_second: sum(nodes, |vm| vm.messages as f64) / all_seconds,
            fan_out_bytes_per_second: sum(&self.vms[VOTERS..VOTERS + FAN_OUTS], |vm| {
                vm.bytes as f64
            }) / all_seconds,
            voter_bytes_per_second: sum(&self.vms[..VOTERS], |vm| vm.bytes as f64) / all_seconds,
            node_nanos_per_change: nanos / CHANGES as f64,
            node_core_percent: nanos / all_seconds / 1e9 * 100.0,
            voter_nanos_per_change: sum(&self.vms[..VOTERS], |vm| vm.nanos as f64) / CHANGES as f64,
            node_memory_mib: resident as f64 / self.nodes as f64 / f64::from(1 << 20),
        }
    }

    /// Isolates a failure domain during `changes` changes. Returns the time from
    /// its reconnection until the newest change is in force there.
    pub(crate) fn run_return_of_domain(mut self, changes: u64) -> Duration {
        self.apply_first_file();
        self.isolated = vec![VOTERS, VOTERS + DOMAINS];
        for n in 2..2 + changes {
            self.apply(n);
            self.run_until(self.now + CHANGE_INTERVAL);
        }
        assert!(self.adopted < self.nodes, "the domain is cut off");
        let reconnected = self.now;
        self.isolated.clear();
        while self.adopted < self.nodes {
            assert!(self.now < reconnected + Duration::from_secs(300));
            self.run_until(self.now + CHANGE_INTERVAL);
        }
        self.last_adopted - reconnected
    }

    /// Stops a fan-out VM without closing its connections, and applies a change.
    /// Returns the time until the change was in force on all nodes.
    pub(crate) fn run_change_with_lost_fan_out(mut self) -> Duration {
        self.apply_first_file();
        self.vms[VOTERS].alive = false;
        self.change(2).0
    }
}

fn tick(vm: &mut Vm, now: Instant) {
    if let Some((replica, _)) = &mut vm.voter {
        replica.tick(now);
    }
    if let Some(subscriber) = &mut vm.subscriber {
        subscriber.tick(now);
    }
    if let Some(publisher) = &mut vm.publisher {
        publisher.tick(now);
    }
}

fn make_vm(id: usize, now: Instant) -> Vm {
    let serves = id < VOTERS + FAN_OUTS;
    let publisher = serves.then(|| Publisher::new(PublisherSettings::default(), now));
    let servers: Vec<usize> = if id < VOTERS + FAN_OUTS {
        (0..VOTERS).collect()
    } else {
        let domain = id % DOMAINS;
        vec![VOTERS + domain, VOTERS + DOMAINS + domain]
    };
    let settings = SubscriberSettings {
        name: format!("node-{id}").into(),
        servers: servers.into_iter().map(address).collect(),
        seed: id as u64,
    };
    let subscriber = (id >= VOTERS).then(|| Subscriber::new(settings, None, now));
    Vm {
        voter: (id < VOTERS).then(|| make_voter(id, now)),
        publisher,
        subscriber,
        server: None,
        alive: true,
        bytes: 0,
        messages: 0,
        nanos: 0,
        next_tick: Duration::ZERO,
    }
}

fn make_voter(id: usize, now: Instant) -> (Replica, Journal<MemoryDisk>) {
    let voters = (0..VOTERS).map(|vm| (vm as VoterId + 1, address(vm)));
    let (journal, recovered) =
        Journal::init(MemoryDisk::default(), Members::new(voters)).expect("the disk is empty");
    let settings = ReplicaSettings {
        id: id as VoterId + 1,
        seed: id as u64,
        ..ReplicaSettings::default()
    };
    (Replica::new(settings, recovered, now), journal)
}
