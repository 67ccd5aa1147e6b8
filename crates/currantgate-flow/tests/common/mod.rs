//! A deterministic simulation: routers joined by an in-memory network that
//! loses, duplicates and reorders messages.

#![allow(dead_code, reason = "each test and benchmark uses a part of it")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_config::{EntryId, Protocol, Service, Site, UpstreamId};
use currantgate_flow::{
    AnswerVerdict, DropReason, Forward, Message, Output, Router, RouterSettings, Verdict,
};
use currantgate_membership::{Budget, EntryStage, EntryView, Presence, Upstream, UpstreamState};
use currantgate_packet::{FlowKey, Packet, PacketKind, Refusal};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size of the IPv4 and UDP headers around each message, in bytes.
const HEADER_BYTES: usize = 28;
/// Interval at which every router is ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Faults of the network between entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    /// Maximum delay in milliseconds; each message has a random one.
    pub(crate) max_delay_ms: u64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay_ms: 3,
        }
    }
}

pub(crate) struct Node {
    pub(crate) router: Router,
    pub(crate) budget: Budget,
    pub(crate) control_bytes: u64,
    pub(crate) messages: u64,
    pub(crate) largest_message: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    /// The upstream that received the first packet.
    pub(crate) upstream: Option<UpstreamId>,
    /// Every upstream that received any packet.
    pub(crate) reached: IndexSet<UpstreamId>,
    pub(crate) refused: Option<Refusal>,
    /// A packet reached another upstream, or was refused while the flow's
    /// upstream was present.
    pub(crate) broken: bool,
    /// When the caller first sent the first packet.
    pub(crate) first_sent_at: Option<Instant>,
    /// The flow ended in order.
    pub(crate) closed: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Message(EntryId, EntryId, Message),
    Packet(EntryId, EntryId, Forward, Packet),
    Answer(EntryId, SocketAddr, Packet),
    /// The caller acknowledges an answer.
    CallerAck(FlowKey),
    Upstreams(EntryId),
    Entries(EntryId),
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) nodes: IndexMap<EntryId, Node>,
    pub(crate) stages: IndexMap<EntryId, EntryStage>,
    /// When each entry reached its stage.
    pub(crate) stage_since: IndexMap<EntryId, Instant>,
    pub(crate) upstreams: IndexMap<UpstreamId, (Upstream, Presence)>,
    pub(crate) flows: IndexMap<FlowKey, Flow>,
    pub(crate) drops: IndexMap<DropReason, u64>,
    pub(crate) notified_callers: IndexSet<FlowKey>,
    pub(crate) misrouted: u64,
    pub(crate) link: Link,
    /// Whether upstreams answer each packet, through a random entry.
    pub(crate) answers: bool,
    /// Maximum time in milliseconds until a new view reaches an entry.
    pub(crate) view_delay_ms: u64,
    /// Entries on one side of a network partition.
    pub(crate) partitioned: IndexSet<EntryId>,
    /// When the caller first sent the latest flow that was opened at each
    /// upstream.
    pub(crate) last_new_flow: IndexMap<UpstreamId, Instant>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) settings: RouterSettings,
    pub(crate) budget: currantgate_config::ControlTrafficBudget,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    last_tick: Instant,
    base: Instant,
    next_port: u32,
}

pub(crate) fn services(text: &str) -> Vec<Service> {
    Site::parse(text, "test").unwrap().services
}

pub(crate) const TWO_SERVICES: &str = r#"
domains = ["a", "b", "c", "d"]

[[service]]
name = "booking"
address = "10.0.0.1:443"
join = { warmup_ms = 2000 }

[[service]]
name = "calendar"
address = "10.0.0.2:443"
join = { warmup_ms = 2000 }
"#;

impl Simulation {
    pub(crate) fn new(seed: u64, entries: u16, buckets: u32, site: &str) -> Self {
        let now = Instant::now();
        let domains = ["a", "b", "c", "d"];
        let settings = RouterSettings {
            services: services(site),
            domains: (1..=64)
                .map(|id| (id, domains[usize::from(id) % 4].into()))
                .collect(),
            hash_key: 7,
            buckets,
            ..RouterSettings::default()
        };
        let mut sim = Self {
            now,
            nodes: IndexMap::new(),
            stages: IndexMap::new(),
            stage_since: IndexMap::new(),
            upstreams: IndexMap::new(),
            flows: IndexMap::new(),
            drops: IndexMap::new(),
            notified_callers: IndexSet::new(),
            misrouted: 0,
            link: Link::default(),
            answers: true,
            view_delay_ms: 5,
            partitioned: IndexSet::new(),
            last_new_flow: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            budget: currantgate_config::ControlTrafficBudget::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            last_tick: now,
            base: now,
            next_port: 1,
        };
        for id in 1..=entries {
            sim.start_entry(id, EntryStage::Serving);
        }
        sim.publish_entries();
        sim
    }

    pub(crate) fn start_entry(&mut self, id: EntryId, stage: EntryStage) {
        let settings = RouterSettings {
            id,
            seed: u64::from(id),
            ..self.settings.clone()
        };
        let node = Node {
            router: Router::new(settings, self.now),
            budget: Budget::new(&self.budget, self.now),
            control_bytes: 0,
            messages: 0,
            largest_message: 0,
        };
        self.nodes.insert(id, node);
        self.stages.insert(id, stage);
        self.stage_since.insert(id, self.now);
        self.schedule(self.now, Event::Upstreams(id));
    }

    pub(crate) fn serving_entries(&self) -> Vec<EntryId> {
        let serves =
            |(id, stage): (&EntryId, &EntryStage)| (*stage == EntryStage::Serving).then_some(*id);
        self.stages.iter().filter_map(serves).collect()
    }

    pub(crate) fn random(&mut self) -> u32 {
        self.rng.random()
    }

    pub(crate) fn kill_entry(&mut self, id: EntryId) {
        self.nodes.shift_remove(&id);
        self.stages.shift_remove(&id);
    }

    pub(crate) fn set_stage(&mut self, id: EntryId, stage: EntryStage) {
        self.stages.insert(id, stage);
        self.stage_since.insert(id, self.now);
        self.publish_entries();
    }

    /// Sends every entry the view of live entries, each after a random delay.
    pub(crate) fn publish_entries(&mut self) {
        for to in self.nodes.keys().copied().collect::<Vec<_>>() {
            let at = self.view_arrival();
            self.schedule(at, Event::Entries(to));
        }
    }

    /// Sends every entry the view of upstreams, each after a random delay.
    pub(crate) fn publish_upstreams(&mut self) {
        for to in self.nodes.keys().copied().collect::<Vec<_>>() {
            let at = self.view_arrival();
            self.schedule(at, Event::Upstreams(to));
        }
    }

    /// Returns the live entries in the view of `to`: those on its side of a
    /// partition.
    fn entry_views_for(&self, to: EntryId) -> Vec<EntryView> {
        let side = self.partitioned.contains(&to);
        let seen = self.stages.iter();
        seen.filter(|(id, _)| self.partitioned.contains(*id) == side)
            .map(|(id, stage)| EntryView {
                id: *id,
                stage: *stage,
                domain: "".into(),
            })
            .collect()
    }

    fn view_arrival(&mut self) -> Instant {
        let delay = self.rng.random_range(0..=self.view_delay_ms);
        self.now + Duration::from_millis(delay)
    }

    pub(crate) fn add_upstream(&mut self, service: usize, n: u16, incarnation: u64) -> UpstreamId {
        let service = self.settings.services[service].id();
        let upstream = Upstream {
            name: format!("u{n}").into(),
            incarnation,
            service,
            address: SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 5555)),
            domain: "a".into(),
            slots: 1,
            state: UpstreamState::Ready,
        };
        let id = upstream.id();
        self.upstreams.insert(id, (upstream, Presence::Leased));
        id
    }

    pub(crate) fn set_state(&mut self, id: UpstreamId, state: UpstreamState) {
        self.upstreams[&id].0.state = state;
        self.publish_upstreams();
    }

    pub(crate) fn set_presence(&mut self, id: UpstreamId, presence: Presence) {
        self.upstreams[&id].1 = presence;
        self.publish_upstreams();
    }

    pub(crate) fn flow_key(&self, service: usize, n: u32) -> FlowKey {
        let ip = Ipv4Addr::from_bits(0x0b00_0000 + n / 50_000);
        FlowKey {
            protocol: self.settings.services[service].protocol,
            caller: SocketAddr::from((ip, 1_024 + (n % 50_000) as u16)),
            service: self.settings.services[service].address,
        }
    }

    /// Opens a flow through a random entry.
    pub(crate) fn open_flow(&mut self, service: usize) -> FlowKey {
        let key = self.flow_key(service, self.next_port);
        self.next_port += 1;
        self.send(key, PacketKind::Open);
        key
    }

    /// Opens flows spread over `time`, then retransmits first packets until the
    /// flows are established.
    pub(crate) fn open_flows_over(
        &mut self,
        service: usize,
        count: u32,
        time: Duration,
    ) -> Vec<FlowKey> {
        let mut keys = Vec::new();
        for _ in 0..count {
            keys.push(self.open_flow(service));
            self.run(time / count);
        }
        self.establish(&keys);
        keys
    }

    /// Retransmits first packets until each flow has an upstream or is refused.
    pub(crate) fn establish(&mut self, keys: &[FlowKey]) {
        for _ in 0..20 {
            self.run(Duration::from_millis(500));
            let left: Vec<_> = keys
                .iter()
                .filter(|k| self.flows[*k].upstream.is_none() && self.flows[*k].refused.is_none())
                .copied()
                .collect();
            for key in left {
                self.send(key, PacketKind::Open);
            }
        }
    }

    /// Closes a flow: the caller finishes, and the flow counts as closed.
    pub(crate) fn close_flow(&mut self, key: FlowKey) {
        self.send(key, PacketKind::Finish);
        self.flows[&key].closed = true;
    }

    /// Opens flows through every entry in turn. Each flow uses a single entry,
    /// so that each side of a partition has callers of its own.
    pub(crate) fn open_flows_on_all_entries(&mut self, count: u32) -> Vec<FlowKey> {
        let entries: Vec<_> = self.nodes.keys().copied().collect();
        let mut keys = Vec::new();
        for n in 0..count {
            let key = self.flow_key(0, 30_000 + n);
            let to = entries[n as usize % entries.len()];
            for _ in 0..3 {
                if self.flows.get(&key).is_none_or(|f| f.upstream.is_none()) {
                    self.send_via(to, key, PacketKind::Open);
                    self.run(Duration::from_millis(50));
                }
            }
            keys.push(key);
        }
        keys
    }

    /// Delivers an answer to the first entry, as if it came from address
    /// `from`.
    pub(crate) fn deliver_answer(&mut self, from: SocketAddr, key: FlowKey) {
        let to = *self.nodes.first().unwrap().0;
        let answer = packet(key, PacketKind::Data);
        self.schedule(self.now, Event::Answer(to, from, answer));
        self.run(Duration::from_millis(100));
    }

    /// Sends a packet through a random entry.
    pub(crate) fn send(&mut self, key: FlowKey, kind: PacketKind) {
        let at = self.rng.random_range(0..self.nodes.len());
        let to = *self.nodes.get_index(at).unwrap().0;
        self.send_via(to, key, kind);
    }

    /// Sends a packet through entry `to`.
    pub(crate) fn send_via(&mut self, to: EntryId, key: FlowKey, kind: PacketKind) {
        let now = self.now;
        let flow = self.flows.entry(key).or_default();
        flow.first_sent_at.get_or_insert(now);
        let packet = packet(key, kind);
        let verdict = self.nodes[&to].router.route(now, &packet);
        self.apply_verdict(to, verdict, packet);
    }

    /// Sends a packet of every flow through every entry, a batch at a time.
    pub(crate) fn send_via_all(&mut self, keys: &[FlowKey]) {
        let entries: Vec<_> = self.nodes.keys().copied().collect();
        for (i, key) in keys.iter().enumerate() {
            for to in &entries {
                self.send_via(*to, *key, PacketKind::Data);
            }
            if i % 64 == 0 {
                self.run(TICK_INTERVAL);
            }
        }
        self.run(Duration::from_millis(200));
    }

    fn apply_verdict(&mut self, at: EntryId, verdict: Verdict, packet: Packet) {
        match verdict {
            Verdict::Deliver { upstream, address } => self.on_delivered(upstream, address, packet),
            Verdict::Forward { to, forward } => {
                self.transmit(at, to, &Event::Packet(at, to, forward, packet));
            }
            Verdict::Refuse(refusal) => self.on_refused(&packet, refusal),
            Verdict::Drop(reason) => *self.drops.entry(reason).or_default() += 1,
        }
    }

    fn on_delivered(&mut self, upstream: UpstreamId, address: SocketAddr, packet: Packet) {
        let holds = |(u, presence): &(Upstream, Presence)| {
            u.address == address && *presence != Presence::Gone
        };
        let holder = self.upstreams.iter().rfind(|(_, u)| holds(u));
        let holder = holder.map(|(id, (u, _))| (*id, u.service));
        let service = self.settings.services.iter();
        let service = service.clone().find(|s| s.address == packet.key.service);
        let service = service.unwrap().id();
        if holder.is_some_and(|(id, of)| of != service || id != upstream) {
            self.misrouted += 1;
        }
        let flow = self.flows.get_mut(&packet.key).unwrap();
        flow.reached.insert(upstream);
        match flow.upstream {
            Some(known) if known != upstream && !flow.closed => flow.broken = true,
            Some(_) => {}
            None if packet.kind == PacketKind::Open || packet.key.protocol == Protocol::Udp => {
                flow.upstream = Some(upstream);
                let first_sent_at = flow.first_sent_at.unwrap();
                let last = self.last_new_flow.entry(upstream).or_insert(first_sent_at);
                *last = first_sent_at.max(*last);
            }
            None => flow.broken = true,
        }
        if packet.kind == PacketKind::Open && self.partitioned.is_empty() {
            let at = self.packet_arrival() + Duration::from_millis(2);
            self.schedule(at, Event::CallerAck(packet.key));
        }
        if self.answers && packet.kind != PacketKind::Reset {
            let at = self.rng.random_range(0..self.nodes.len());
            let to = *self.nodes.get_index(at).unwrap().0;
            let time = self.packet_arrival();
            let answer = Packet {
                kind: PacketKind::Data,
                next_seq: 500,
                ack: packet.next_seq,
                ..packet
            };
            self.schedule(time, Event::Answer(to, address, answer));
        }
    }

    fn on_refused(&mut self, packet: &Packet, refusal: Refusal) {
        let flow = self.flows.get_mut(&packet.key).unwrap();
        flow.refused = Some(refusal);
        let presence = flow.upstream.and_then(|u| self.upstreams.get(&u));
        let is_there = presence.is_some_and(|(_, p)| *p != Presence::Gone);
        if is_there && !flow.closed {
            flow.broken = true;
        }
    }

    fn packet_arrival(&mut self) -> Instant {
        let micros = self.rng.random_range(500..=self.link.max_delay_ms * 1_000);
        self.now + Duration::from_micros(micros)
    }

    fn transmit(&mut self, from: EntryId, to: EntryId, event: &Event) {
        if self.partitioned.contains(&from) != self.partitioned.contains(&to) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.link.duplication));
        for _ in 0..copies {
            let at = self.packet_arrival();
            if !self.rng.random_bool(self.link.loss) {
                self.schedule(at, event.clone());
            }
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Advances virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next_tick = self.last_tick + TICK_INTERVAL;
            let next = self.queue.keys().next().map_or(next_tick, |(at, _)| *at);
            let next = next.min(next_tick).max(self.now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if next == next_tick {
                self.last_tick = next;
                self.tick_all();
            } else if let Some((_, event)) = self.queue.pop_first() {
                self.handle_event(event);
            }
        }
    }

    pub(crate) fn run_seconds(&mut self, seconds: u64) {
        self.run(Duration::from_secs(seconds));
    }

    fn tick_all(&mut self) {
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let now = self.now;
            self.nodes[&id].router.tick(now);
            self.send_outputs(id);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        if let Event::CallerAck(key) = event {
            self.send(key, PacketKind::Data);
            return;
        }
        let (Event::Message(_, to, _)
        | Event::Packet(_, to, _, _)
        | Event::Answer(to, ..)
        | Event::Upstreams(to)
        | Event::Entries(to)) = &event
        else {
            return;
        };
        let to = *to;
        let views = self.entry_views_for(to);
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        match event {
            Event::Message(from, _, message) => node.router.receive(now, from, &message),
            Event::Packet(from, _, forward, packet) => {
                let verdict = node.router.route_forwarded(now, from, &forward, &packet);
                self.apply_verdict(to, verdict, packet);
            }
            Event::Answer(_, from, packet) => {
                if let AnswerVerdict::Drop(reason) = node.router.route_answer(now, from, &packet) {
                    *self.drops.entry(reason).or_default() += 1;
                }
            }
            Event::Upstreams(_) => {
                let upstreams = self.upstreams.values().map(|(u, p)| (u, *p));
                node.router.set_upstreams(now, upstreams);
            }
            Event::Entries(_) => node.router.set_entries(now, &views),
            Event::CallerAck(_) => {}
        }
        self.send_outputs(to);
    }

    fn send_outputs(&mut self, id: EntryId) {
        loop {
            let node = &mut self.nodes[&id];
            let Some(output) = node.router.poll_output(self.now, &mut node.budget) else {
                return;
            };
            match output {
                Output::Send { to, message } => {
                    let config = bincode::config::standard();
                    let bytes = bincode::serde::encode_to_vec(&message, config).unwrap();
                    node.largest_message = node.largest_message.max(bytes.len());
                    let size = bytes.len() + HEADER_BYTES;
                    node.budget.spend(size);
                    node.control_bytes += size as u64;
                    node.messages += 1;
                    self.transmit(id, to, &Event::Message(id, to, message));
                }
                Output::Refuse { packet, refusal } => {
                    self.notified_callers.insert(packet.key);
                    self.on_refused(&packet, refusal);
                }
            }
        }
    }

    pub(crate) fn broken_flows(&self) -> usize {
        self.flows.values().filter(|f| f.broken).count()
    }

    pub(crate) fn moving_buckets(&self) -> usize {
        self.nodes.values().map(|n| n.router.moving_buckets()).sum()
    }

    /// Returns whether all entries have the same table.
    pub(crate) fn tables_agree(&self) -> bool {
        let mut tables = self.nodes.values().map(|n| n.router.bucket_states());
        let first = tables.next().unwrap();
        tables.all(|t| t == first)
    }
}

pub(crate) fn packet(key: FlowKey, kind: PacketKind) -> Packet {
    Packet {
        key,
        kind,
        next_seq: if kind == PacketKind::Open { 100 } else { 200 },
        ack: if kind == PacketKind::Open { 0 } else { 500 },
        len: 64,
    }
}
