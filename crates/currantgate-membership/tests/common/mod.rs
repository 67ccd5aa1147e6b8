//! Cluster of entries on a lossy network in virtual time.
#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Incarnation, Peer, Service, UpstreamId};
use currantgate_membership::{
    AnnounceError, Announcement, Budget, EntryStage, Lease, Members, MembersSettings, Message,
    Output, Presence, UpstreamState,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Size of the IPv4 and UDP headers and the message kind around a message, in bytes.
pub const HEADER_BYTES: usize = 29;

/// Default step of virtual time.
pub const STEP: Duration = Duration::from_millis(5);

/// Incarnation of the first entry: a wall clock in milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;

/// One-way delay between two entries.
const DELAY: Duration = Duration::from_micros(1_500);

pub fn service(name: &str, port: u16) -> Service {
    Service {
        name: name.into(),
        address: SocketAddr::from(([127, 20, 0, 1], port)),
        protocol: Default::default(),
        domains: Vec::new(),
        join: Default::default(),
        leave: Default::default(),
        limits: Default::default(),
        requests: Default::default(),
    }
}

pub fn services() -> Vec<Service> {
    vec![service("booking", 443), service("calendar", 444)]
}

pub fn domain_name(i: usize) -> Box<str> {
    format!("riga-{}", i + 1).into()
}

pub fn address(host: u16) -> SocketAddr {
    let [high, low] = host.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 5555))
}

pub fn announcement(incarnation: Incarnation, host: u16, domain: usize) -> Announcement {
    Announcement {
        incarnation,
        address: address(host),
        domain: domain_name(domain),
        slots: 3,
        state: UpstreamState::Ready,
        load: None,
    }
}

pub fn encode(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("messages encode")
}

/// Faults of the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplicates: f64,
    /// Maximum additional delay of a message, which reorders messages.
    pub jitter: Duration,
    /// Pairs of failure domains that are partitioned from each other.
    pub partitions: BTreeSet<(usize, usize)>,
}

pub struct Entry {
    pub members: Members,
    pub budget: Budget,
    /// Bytes sent, including headers.
    pub sent: u64,
    pub started: Instant,
    pub resyncs: usize,
    /// Whether the entry is paused; messages to it are delivered when it resumes.
    pub is_paused: bool,
}

pub struct Cluster {
    pub now: Instant,
    pub base: Instant,
    pub entries: BTreeMap<EntryId, Entry>,
    pub network: Network,
    pub domains: usize,
    pub services: Vec<Service>,
    pub count: u16,
    pub max_upstreams: usize,
    pub largest_message: usize,
    pub budget: currantgate_config::ControlTrafficBudget,
    /// Step of virtual time.
    pub tick: Duration,
    rng: ChaCha8Rng,
    in_flight: Vec<(Instant, EntryId, EntryId, Message)>,
    starts: u64,
}

impl Cluster {
    pub fn new(count: u16, domains: usize, seed: u64) -> Self {
        let base = Instant::now();
        let mut cluster = Self {
            now: base,
            base,
            entries: BTreeMap::new(),
            network: Network::default(),
            domains,
            services: services(),
            count,
            max_upstreams: 4_096,
            largest_message: 0,
            tick: STEP,
            budget: currantgate_config::ControlTrafficBudget::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: Vec::new(),
            starts: FIRST_START,
        };
        for id in 0..count {
            cluster.start(id);
        }
        cluster
    }

    /// Returns a cluster in which all entries are in the serving stage.
    pub fn serving(count: u16, domains: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, domains, seed);
        cluster.run(Duration::from_secs(3));
        cluster.serve_all();
        cluster.run(Duration::from_secs(2));
        cluster
    }

    pub fn serve_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.members.set_stage(self.now, EntryStage::Serving);
        }
    }

    pub fn domain_of(&self, id: EntryId) -> usize {
        usize::from(id) % self.domains
    }

    /// Starts or restarts an entry.
    pub fn start(&mut self, id: EntryId) {
        self.starts += 1;
        let peers = (0..self.count).filter(|p| *p != id).map(|p| Peer {
            id: p,
            domain: domain_name(self.domain_of(p)),
            address: SocketAddr::from(([127, 0, 0, 1], 6_000 + p)),
        });
        let settings = MembersSettings {
            id,
            incarnation: self.starts,
            domain: domain_name(self.domain_of(id)),
            peers: peers.collect(),
            services: self.services.clone(),
            max_upstreams: self.max_upstreams,
            seed: u64::from(id) + (self.starts - FIRST_START) * 1_000,
            ..MembersSettings::default()
        };
        let entry = Entry {
            members: Members::new(settings, self.now),
            budget: Budget::new(&self.budget, self.now),
            sent: 0,
            started: self.now,
            resyncs: 0,
            is_paused: false,
        };
        self.entries.insert(id, entry);
    }

    pub fn kill(&mut self, id: EntryId) {
        self.entries.remove(&id);
    }

    pub fn members(&mut self, id: EntryId) -> &mut Members {
        &mut self.entries.get_mut(&id).expect("the entry runs").members
    }

    pub fn announce(
        &mut self,
        to: EntryId,
        service: &str,
        name: &str,
        announcement: Announcement,
    ) -> Result<Lease, AnnounceError> {
        let now = self.now;
        self.members(to).announce(now, service, name, announcement)
    }

    /// Advances virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += self.tick;
            self.step();
        }
    }

    /// Advances virtual time while each of the upstreams renews its lease once a second.
    pub fn run_renewing(&mut self, seconds: u64, upstreams: &[(EntryId, &str, Announcement)]) {
        for _ in 0..seconds {
            for (to, name, announcement) in upstreams {
                if self.entries.get(to).is_some_and(|e| !e.is_paused) {
                    let _ = self.announce(*to, "booking", name, announcement.clone());
                }
            }
            self.run(Duration::from_secs(1));
        }
    }

    pub fn step(&mut self) {
        let ids: Vec<_> = self.entries.keys().copied().collect();
        self.deliver();
        for id in ids {
            self.run_entry(id);
        }
    }

    fn run_entry(&mut self, id: EntryId) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(&id).filter(|e| !e.is_paused) else {
            return;
        };
        if entry.members.next_deadline() <= now {
            entry.members.tick(now);
        }
        let mut messages = Vec::new();
        while let Some(output) = entry.members.poll_output(now, &mut entry.budget) {
            match output {
                Output::Send { to, message } => {
                    let bytes = encode(&message).len();
                    self.largest_message = self.largest_message.max(bytes);
                    entry.budget.spend(bytes + HEADER_BYTES);
                    entry.sent += (bytes + HEADER_BYTES) as u64;
                    messages.push((to, message));
                }
                Output::Resync => entry.resyncs += 1,
                Output::UpstreamsChanged | Output::EntriesChanged => {}
            }
        }
        for (to, message) in messages {
            self.send(id, to, &message);
        }
    }

    fn send(&mut self, from: EntryId, to: EntryId, message: &Message) {
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplicates));
        for _ in 0..copies {
            if self.is_partitioned(from, to) || self.rng.random_bool(self.network.loss) {
                continue;
            }
            let jitter = self.network.jitter.mul_f64(self.rng.random_range(0.0..1.0));
            let at = self.now + DELAY + jitter;
            self.in_flight.push((at, from, to, message.clone()));
        }
    }

    fn is_partitioned(&self, a: EntryId, b: EntryId) -> bool {
        let (a, b) = (self.domain_of(a), self.domain_of(b));
        let partitions = &self.network.partitions;
        partitions.contains(&(a, b)) || partitions.contains(&(b, a))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_paused = |id: &EntryId| self.entries.get(id).is_some_and(|e| e.is_paused);
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && !is_paused(to));
        self.in_flight = rest;
        due.sort_by_key(|(at, ..)| *at);
        for (_, from, to, message) in due {
            if let Some(entry) = self.entries.get_mut(&to) {
                entry.members.receive(now, from, message);
            }
        }
    }

    /// Partitions one failure domain from all others.
    pub fn partition_domain(&mut self, domain: usize) {
        for other in (0..self.domains).filter(|d| *d != domain) {
            self.network.partitions.insert((domain, other));
        }
    }

    pub fn heal(&mut self) {
        self.network = Network::default();
    }

    /// Returns the presence of an upstream's newest incarnation at one entry.
    pub fn presence(&self, at: EntryId, name: &str) -> Option<Presence> {
        let all = self.entries[&at].members.upstreams();
        let named = all.filter(|(u, _)| &*u.name == name);
        let newest = named.max_by_key(|(u, _)| u.incarnation)?;
        Some(newest.1)
    }

    /// Returns the presence of an upstream at all entries.
    pub fn presences(&self, name: &str) -> Vec<Option<Presence>> {
        let ids = self.entries.keys();
        ids.map(|id| self.presence(*id, name)).collect()
    }

    pub fn live_ids(&self, at: EntryId) -> Vec<EntryId> {
        let views = self.entries[&at].members.entries();
        views.iter().map(|view| view.id).collect()
    }

    /// Returns the state of all upstreams that have not ended at one entry, and whether
    /// they are leased.
    pub fn view(&self, at: EntryId) -> BTreeMap<UpstreamId, (UpstreamState, bool)> {
        let all = self.entries[&at].members.upstreams();
        let present = all.filter(|(_, presence)| *presence != Presence::Gone);
        present
            .map(|(u, presence)| (u.id(), (u.state, presence == Presence::Leased)))
            .collect()
    }
}
