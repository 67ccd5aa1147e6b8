//! Simulation in virtual time of entries that place flows on upstreams with queues.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use currantgate_capacity::{DemandCollector, DemandSettings, DomainDemand};
use currantgate_observation::{
    FleetObservations, FleetSettings, SlowUpstream, SlownessView, UnansweredPackets,
    slowness_changes,
};
use currantgate_placement::{
    DepartureReason, LateFlow, Placement, PlacementRequest, PlacementSettings, Refusal, Suspect,
    SuspicionChange, Target, TargetKey, WaitingAdmission, WaitingFlows, WaitingSettings,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, LogNormal};

mod hard_load;
mod report;
mod request;
mod scenario;

pub(crate) use report::Report;
pub(crate) use scenario::{Policy, Scenario};

use report::Outcome;
use request::{Request, RequestKind, WORK_RELATIVE_STD_DEV};

/// Times after the start of an attempt at which a caller sends its first packet, in
/// milliseconds: at once, and again while there is no answer.
const RETRANSMIT_AFTER_MS: [f64; 3] = [0.0, 200.0, 600.0];

/// Time after which a caller gives up an attempt, in milliseconds.
const ATTEMPT_TIMEOUT_MS: f64 = 1_400.0;

/// Most failure domains of a site.
const DOMAINS: usize = 4;

/// Interval at which entries report what they observed and are told what all have, in
/// milliseconds.
const REPORT_INTERVAL_MS: f64 = 500.0;

/// Time from the entries' reports until the collectors publish the demand and entries
/// receive it, in milliseconds: half of the interval of publishing, and the delay.
const PUBLISH_DELAY_MS: f64 = 255.0;

/// Time from the entries' reports until the collectors merge them, in milliseconds: half of
/// the interval of merging, as entries and collectors keep no common time.
const MERGE_DELAY_MS: f64 = 250.0;

/// Time that a message between an entry and a collector takes, in milliseconds: the delay
/// between two domains, and as much until the process runs.
const CONTROL_DELAY_MS: f64 = 1.0;

/// Time after which an entry reports a first packet without an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: f64 = 100.0;

/// Time until which entries learn which upstreams are slow, in milliseconds: what
/// they observe takes half of a second to reach a control VM and as much to return.
const LEARNING_TIME_MS: f64 = 2_000.0;

/// Interval at which an entry checks the flows that wait, besides the ends of flows, in
/// milliseconds.
const WAITING_CHECK_MS: f64 = 10.0;

/// Length of a first packet in bytes.
const FIRST_PACKET_BYTES: usize = 64;

/// Share of its requests that a failing upstream fails, as the users' benchmark does.
const FAILING_SHARE: f64 = 0.5;

/// Time after which it does so, in milliseconds.
const FAILURE_MS: f64 = 1.0;

/// Number of simulated requests.
const REQUESTS: u32 = 40_000;

/// An upstream with a bounded queue.
#[derive(Debug, Default)]
struct Upstream {
    /// Slots in use.
    busy: u32,
    waiting: VecDeque<Request>,
    flows: usize,
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a first packet.
    Attempt {
        request: Request,
        retransmissions: usize,
    },
    /// An upstream completes a request.
    Done(Request),
    /// An upstream answers a first packet.
    Answer(Request),
    /// The entry sees the end of a flow that was ended at the given time.
    End(Request),
    /// An entry checks the flows that wait.
    CheckWaiting(usize),
    /// Entries exchange what they observe.
    Report,
    /// A first packet has had no answer for too long.
    LateAnswer(Request),
    /// An entry reports first packets that were not answered.
    ReportUnanswered(usize),
    /// The collector of an entry receives this report.
    ReceiveUnanswered(usize, Vec<UnansweredPackets>),
    /// Collectors merge what entries have observed.
    Merge,
    /// All entries receive the slow upstreams of the collector of a domain.
    ReceiveSlow(usize, Vec<SlowUpstream>),
    /// Collectors publish the demand.
    Publish,
    /// Entries receive the oldest published demand.
    Deliver,
}

/// Simulates a scenario with one policy of placement.
pub(crate) fn simulate(scenario: &Scenario, policy: Policy) -> Report {
    Simulation::new(scenario.clone(), policy).run()
}

struct Simulation {
    scenario: Scenario,
    policy: Policy,
    start: Instant,
    duration_ms: f64,
    rng: ChaCha8Rng,
    entries: Vec<Placement>,
    /// Flows that wait at each entry, by number.
    waiting: Vec<WaitingFlows<u64>>,
    waiting_requests: BTreeMap<u64, Request>,
    next_waiting: u64,
    /// Merged observations of the entries of each domain.
    fleets: [FleetObservations; DOMAINS],
    /// Slow upstreams at the last merge, by domain.
    slow: [Rc<[SlowUpstream]>; DOMAINS],
    /// Lists of all collectors, merged at each entry that shares its demand.
    views: Vec<SlownessView<usize>>,
    /// Whether an entry's report of unanswered first packets is scheduled.
    reports_unanswered: Vec<bool>,
    /// Changes of these lists that entries are told next where they don't share demand.
    changes: [Vec<SlowUpstream>; DOMAINS],
    /// Collectors of the demand of each domain.
    collectors: Vec<DemandCollector>,
    /// Published demand by domain that has not reached the entries.
    figures: VecDeque<Vec<Vec<DomainDemand>>>,
    has_upstreams_left: bool,
    upstreams: Vec<Upstream>,
    /// Time of each event in microseconds, and its index in `pending_events`.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: Vec<Option<Event>>,
    report: Report,
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let domains = scenario.site.domains;
        let duration_ms = scenario.hard.as_ref().map_or_else(
            || f64::from(REQUESTS) / arrivals_per_ms(&scenario),
            |hard| hard.duration_ms,
        );
        let warm_at = start + millis(duration_ms / 4.0);
        let target = |n: usize, entry: usize| Target {
            key: n as TargetKey,
            service: "booking".into(),
            domain: format!("{}", n % domains).into(),
            is_local: n % domains == entry % domains,
            slots: scenario.slots,
            warm_at: if n < scenario.cold_upstreams {
                warm_at
            } else {
                start
            },
            is_reporting: true,
        };
        let entry = |entry| {
            let mut settings = PlacementSettings {
                seed: rng.random(),
                demand: (policy.shares_demand()).then(DemandSettings::default),
                ..PlacementSettings::default()
            };
            settings.admission.is_enabled = policy != Policy::LeastLoad;
            let mut placement = Placement::new(settings);
            placement.set_targets((0..scenario.upstreams).map(|n| target(n, entry)));
            placement
        };
        let entries = (0..scenario.entries).map(entry).collect();
        let waiting = WaitingFlows::new(WaitingSettings::default());
        let waiting = vec![waiting; scenario.entries];
        let mut views = vec![SlownessView::default(); scenario.entries];
        for (n, view) in views.iter_mut().enumerate() {
            view.set_collector(Some(n % domains), |_| false);
        }
        let reports_unanswered = vec![false; scenario.entries];
        let fleet_settings = if policy.shares_demand() {
            FleetSettings::with_demand()
        } else {
            FleetSettings::default()
        };
        let upstreams = if policy.has_one_queue() {
            1
        } else {
            scenario.upstreams
        };
        Self {
            policy,
            start,
            duration_ms,
            rng,
            entries,
            waiting,
            waiting_requests: BTreeMap::new(),
            next_waiting: 0,
            fleets: std::array::from_fn(|_| FleetObservations::new(start, fleet_settings.clone())),
            slow: std::array::from_fn(|_| Rc::from([])),
            views,
            reports_unanswered,
            changes: Default::default(),
            collectors: vec![DemandCollector::new(DemandSettings::default()); domains],
            figures: VecDeque::new(),
            has_upstreams_left: false,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            events: BinaryHeap::new(),
            pending_events: Vec::new(),
            report: Report {
                placed: vec![0; upstreams],
                ..Report::default()
            },
            scenario,
        }
    }

    fn run(mut self) -> Report {
        self.schedule_arrivals();
        if matches!(
            self.policy,
            Policy::Shared | Policy::DemandWithoutQueue | Policy::Demand
        ) {
            self.schedule(0.0, Event::Report);
        }
        while let Some(Reverse((micros, index))) = self.events.pop() {
            let now_ms = micros as f64 / 1_000.0;
            self.remove_leaving(now_ms);
            match self.pending_events[index as usize].take() {
                Some(Event::Attempt {
                    request,
                    retransmissions,
                }) => self.attempt(now_ms, request, retransmissions),
                Some(Event::Done(request)) => self.finish(now_ms, request),
                Some(Event::Answer(request)) => {
                    self.record_answer(now_ms, &request);
                    self.enqueue(now_ms, request);
                }
                Some(Event::End(request)) => self.record_end(now_ms, &request),
                Some(Event::CheckWaiting(entry)) => {
                    self.release_waiting(now_ms, entry);
                    self.check_waiting_later(now_ms, entry);
                }
                Some(Event::Report) => self.exchange_observations(now_ms),
                Some(Event::LateAnswer(request)) => {
                    let sent = self.at(request.sent_ms);
                    self.entries[request.entry].record_late_answer(request.key, sent);
                    self.schedule_unanswered(now_ms, request.entry);
                }
                Some(Event::ReportUnanswered(entry)) => self.report_unanswered(now_ms, entry),
                Some(Event::ReceiveUnanswered(entry, report)) => {
                    let now = self.at(now_ms);
                    let fleet = &mut self.fleets[entry % self.scenario.site.domains];
                    fleet.record_unanswered(now, entry as u64, &report);
                    self.publish_slow(now_ms);
                }
                Some(Event::Merge) => self.publish_slow(now_ms),
                Some(Event::ReceiveSlow(domain, changes)) => {
                    let domains = self.scenario.site.domains;
                    let views = self.views.iter_mut().enumerate();
                    for (placement, (n, view)) in self.entries.iter_mut().zip(views) {
                        let is_local = |key| key as usize % domains == n % domains;
                        let changes = view.apply(domain, &changes, is_local);
                        placement.update_fleet_slowness(&changes);
                    }
                    self.record_known(now_ms);
                }
                Some(Event::Publish) => {
                    let now = self.at(now_ms);
                    let collectors = self.collectors.iter_mut();
                    let figures = collectors.map(|collector| collector.published(now));
                    self.figures.push_back(figures.collect());
                    self.schedule(now_ms + self.scenario.figures_lag_ms, Event::Deliver);
                }
                Some(Event::Deliver) => self.deliver_demand(now_ms),
                None => {}
            }
        }
        self.report
    }

    /// Schedules Poisson arrivals with log-normal work over the whole run.
    fn schedule_arrivals(&mut self) {
        let gap = Exp::new(arrivals_per_ms(&self.scenario)).expect("the rate is positive");
        let log_variance = (1.0 + WORK_RELATIVE_STD_DEV * WORK_RELATIVE_STD_DEV).ln();
        let work_factor = LogNormal::new(-log_variance / 2.0, log_variance.sqrt());
        let work_factor = work_factor.expect("the variance is finite");
        let mut now_ms = 0.0;
        while now_ms < self.duration_ms {
            let is_burst = self.middle_third().contains(&now_ms);
            let site = self.scenario.site;
            let phase = self.scenario.phase(now_ms);
            let rate_factor = match &phase {
                Some(phase) => phase.rate_factor(&site),
                None if is_burst => self.scenario.burst_factor,
                None => 1.0,
            };
            now_ms += gap.sample(&mut self.rng) / rate_factor;
            let non_idempotent_share = match &phase {
                Some(phase) => phase.non_idempotent_share(&site),
                None => site.non_idempotent_share,
            };
            let kind = if self.rng.random_bool(non_idempotent_share) {
                site.non_idempotent
            } else {
                site.idempotent
            };
            let entry = match &phase {
                Some(phase) => {
                    let domain = phase.draw_domain(&site, self.rng.random_range(0.0..1.0));
                    self.draw_entry(domain)
                }
                None => self.rng.random_range(0..self.scenario.entries),
            };
            let request = Request {
                kind,
                started_ms: now_ms,
                work_ms: kind.work_ms * work_factor.sample(&mut self.rng),
                entry,
                domain: entry % site.domains,
                key: 0,
                retries: 0,
                attempt_ms: now_ms,
                sent_ms: now_ms,
                is_cold: false,
            };
            self.record(&request, |outcome| outcome.requested += 1);
            self.schedule(
                now_ms,
                Event::Attempt {
                    request,
                    retransmissions: 0,
                },
            );
        }
    }

    /// Returns an entry of a domain.
    fn draw_entry(&mut self, domain: usize) -> usize {
        let domains = self.scenario.site.domains;
        let count = (self.scenario.entries - domain).div_ceil(domains);
        self.rng.random_range(0..count) * domains + domain
    }

    /// Updates the outcomes that a request counts in.
    fn record(&mut self, request: &Request, update: impl Fn(&mut Outcome)) {
        let second = (request.started_ms / 1_000.0) as usize;
        if self.report.by_second.len() <= second {
            self.report.by_second.resize(second + 1, Outcome::default());
        }
        update(&mut self.report.by_second[second]);
        update(&mut self.report.by_domain[request.domain]);
        let group = (second, request.domain, request.kind.is_idempotent);
        update(self.report.groups.entry(group).or_default());
        update(if request.kind.is_idempotent {
            &mut self.report.idempotent
        } else {
            &mut self.report.non_idempotent
        });
    }

    fn schedule(&mut self, at_ms: f64, event: Event) {
        let index = self.pending_events.len() as u64;
        self.pending_events.push(Some(event));
        self.events.push(Reverse(((at_ms * 1_000.0) as u64, index)));
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + millis(ms)
    }

    /// Merges what the entries of each domain have observed, and tells them what was
    /// known at the last time.
    fn exchange_observations(&mut self, now_ms: f64) {
        let now = self.at(now_ms);
        for (n, placement) in self.entries.iter_mut().enumerate() {
            let observations = placement.take_observations();
            let domain = n % self.scenario.site.domains;
            self.fleets[domain].record(now, n as u64, &observations);
            if self.policy == Policy::Shared {
                placement.update_fleet_slowness(&self.changes[domain]);
            }
            let demand = placement.take_demand();
            self.collectors[domain].record(
                now,
                n as u64,
                &format!("{domain}"),
                millis(REPORT_INTERVAL_MS),
                &demand,
            );
        }
        if self.policy == Policy::Shared {
            for (n, fleet) in self.fleets.iter_mut().enumerate() {
                let slow = fleet.slow_upstreams(now);
                self.changes[n] = slowness_changes(&self.slow[n], &slow);
                self.slow[n] = slow;
            }
        }
        if now_ms < self.duration_ms {
            self.schedule(now_ms + REPORT_INTERVAL_MS, Event::Report);
            if self.policy.shares_demand() {
                self.schedule(now_ms + MERGE_DELAY_MS, Event::Merge);
                self.schedule(now_ms + PUBLISH_DELAY_MS, Event::Publish);
            }
        }
    }

    /// Schedules the report of an entry that has unanswered first packets.
    fn schedule_unanswered(&mut self, now_ms: f64, entry: usize) {
        let now = self.at(now_ms);
        if let Some(due) = self.entries[entry].unanswered().due_at(now)
            && !std::mem::replace(&mut self.reports_unanswered[entry], true)
        {
            let due_ms = due.saturating_duration_since(self.start).as_secs_f64() * 1_000.0;
            self.schedule(due_ms.max(now_ms), Event::ReportUnanswered(entry));
        }
    }

    /// Sends the report of an entry to the collector of its domain.
    fn report_unanswered(&mut self, now_ms: f64, entry: usize) {
        self.reports_unanswered[entry] = false;
        let now = self.at(now_ms);
        let report = self.entries[entry].unanswered().take(now);
        let event = Event::ReceiveUnanswered(entry, report);
        self.schedule(now_ms + CONTROL_DELAY_MS, event);
    }

    /// Sends changes of the collectors' slow upstreams to all entries.
    fn publish_slow(&mut self, now_ms: f64) {
        let now = self.at(now_ms);
        for n in 0..self.fleets.len() {
            let slow = self.fleets[n].slow_upstreams(now);
            let changes = slowness_changes(&self.slow[n], &slow);
            self.slow[n] = slow;
            if !changes.is_empty() {
                self.schedule(now_ms + CONTROL_DELAY_MS, Event::ReceiveSlow(n, changes));
            }
        }
    }

    /// Records when all entries have learned which upstreams are unresponsive.
    fn record_known(&mut self, now_ms: f64) {
        let scenario = &self.scenario;
        let first = scenario.upstreams - scenario.unresponsive_upstreams;
        let mut unresponsive = first..scenario.upstreams;
        let is_listed = |placement: &Placement, n: usize| {
            let mut slow = placement.fleet_slow();
            slow.any(|key| key == n as TargetKey)
        };
        let mut entries = self.entries.iter();
        if scenario.is_disturbed(now_ms)
            && entries.all(|entry| unresponsive.clone().all(|n| is_listed(entry, n)))
            && unresponsive.next().is_some()
        {
            self.report.unresponsive_known_ms.get_or_insert(now_ms);
        }
    }

    /// Tells the entries the demand of all domains that was published first.
    fn deliver_demand(&mut self, now_ms: f64) {
        let now = self.at(now_ms);
        let figures = self.figures.pop_front().unwrap_or_default();
        for (domain, demand) in figures.into_iter().enumerate() {
            for demand in demand {
                for (n, placement) in self.entries.iter_mut().enumerate() {
                    let collector = &self.collectors[domain];
                    let is_own = n % self.scenario.site.domains == domain;
                    let position = is_own.then(|| collector.position(n as u64)).flatten();
                    let demand = DomainDemand {
                        position,
                        ..demand.clone()
                    };
                    placement.update_demand(now, &demand);
                }
            }
        }
    }

    /// Removes the upstreams that leave at the start of the disturbance.
    fn remove_leaving(&mut self, now_ms: f64) {
        let leaving = self.scenario.leaving_upstreams;
        if self.has_upstreams_left || leaving == 0 || !self.scenario.is_disturbed(now_ms) {
            return;
        }
        self.has_upstreams_left = true;
        let domains = self.scenario.site.domains;
        let remaining = self.scenario.upstreams - leaving;
        let slots = self.scenario.slots;
        let start = self.start;
        for (entry, placement) in self.entries.iter_mut().enumerate() {
            placement.set_targets((0..remaining).map(|n| Target {
                key: n as TargetKey,
                service: "booking".into(),
                domain: format!("{}", n % domains).into(),
                is_local: n % domains == entry % domains,
                slots,
                warm_at: start,
                is_reporting: true,
            }));
        }
    }

    /// Tells whether the policy places flows with [`Placement`].
    fn uses_placement(&self) -> bool {
        matches!(
            self.policy,
            Policy::LeastLoad
                | Policy::Admission
                | Policy::Shared
                | Policy::DemandWithoutQueue
                | Policy::Demand
        )
    }

    /// Sends a first packet, or retransmits it when the one before was not answered.
    fn attempt(&mut self, now_ms: f64, request: Request, retransmissions: usize) {
        self.report.attempts += u32::from(retransmissions == 0);
        if self.is_in_outage(now_ms) {
            return self.retransmit(request, retransmissions);
        }
        let was_placed = retransmissions > 0 && !self.is_in_outage(request.sent_ms);
        if self.policy.lets_flows_wait() && !was_placed {
            return self.place_or_wait(now_ms, request, retransmissions);
        }
        match self.choose(now_ms, &request, retransmissions) {
            Ok(key) => self.forward(now_ms, Request { key, ..request }, retransmissions),
            Err(_) => self.refuse(now_ms, request),
        }
    }

    /// Places a flow that no entry knows, lets it wait at its entry or refuses it.
    fn place_or_wait(&mut self, now_ms: f64, request: Request, retransmissions: usize) {
        let now = self.at(now_ms);
        let (entry, number) = (request.entry, self.next_waiting);
        self.next_waiting += 1;
        let was_empty = self.waiting[entry].is_empty();
        let placement_request = PlacementRequest {
            service: "booking",
            priority: request.priority(),
            latency_target: millis(request.kind.latency_target_ms),
            may_refuse: retransmissions == 0,
            tried: &[],
        };
        let placement = &mut self.entries[entry];
        let bytes = FIRST_PACKET_BYTES;
        let age_ms = RETRANSMIT_AFTER_MS[retransmissions];
        let is_late = age_ms > request.kind.latency_target_ms;
        let waiting = &mut self.waiting[entry];
        let admission = if is_late {
            let late = LateFlow {
                key: number,
                bytes,
                given_up_at: now + millis(ATTEMPT_TIMEOUT_MS - age_ms),
            };
            waiting.place_late(now, placement, &placement_request, late)
        } else {
            waiting.place(now, placement, &placement_request, number, bytes)
        };
        match admission {
            WaitingAdmission::Placed(placed) => {
                let key = placed.key;
                self.forward(now_ms, Request { key, ..request }, retransmissions);
            }
            WaitingAdmission::NoPlace => self.retransmit(request, retransmissions),
            WaitingAdmission::Waits => {
                self.waiting_requests.insert(number, request);
                if was_empty {
                    self.check_waiting_later(now_ms, entry);
                }
            }
            WaitingAdmission::Refused(_) => self.refuse(now_ms, request),
        }
        self.release_waiting(now_ms, entry);
    }

    /// Places or refuses the flows that leave the queue of an entry.
    fn release_waiting(&mut self, now_ms: f64, entry: usize) {
        let now = self.at(now_ms);
        while let Some(departure) =
            self.waiting[entry].next_departure(now, &mut self.entries[entry])
        {
            let number = departure.flow.key;
            let request = self.waiting_requests.remove(&number).expect("it waits");
            let wait_ms = now_ms - request.attempt_ms;
            self.report.waits.push((now_ms, wait_ms));
            // Callers have sent copies meanwhile, which the entry has absorbed.
            let copies = RETRANSMIT_AFTER_MS.iter().skip(1);
            let copies = copies.filter(|after| **after <= wait_ms).count();
            if departure.reason != DepartureReason::Room && departure.flow.is_late {
                self.retransmit(request, copies);
                continue;
            }
            if departure.reason != DepartureReason::Room {
                self.report.refused_after_wait += 1;
                self.refuse(now_ms, request);
                continue;
            }
            let placed = self.entries[entry].place(now, &departure.flow.request());
            let key = placed.expect("it may not be refused").key;
            self.forward(now_ms, Request { key, ..request }, copies);
        }
    }

    fn check_waiting_later(&mut self, now_ms: f64, entry: usize) {
        if !self.waiting[entry].is_empty() {
            self.schedule(now_ms + WAITING_CHECK_MS, Event::CheckWaiting(entry));
        }
    }

    /// Forwards a first packet to the upstream of its request.
    fn forward(&mut self, now_ms: f64, mut request: Request, retransmissions: usize) {
        request.sent_ms = now_ms;
        if request.domain == 0 {
            let is_spilled = !(request.key as usize).is_multiple_of(self.scenario.site.domains);
            self.report.add_spillover(now_ms, is_spilled);
        }
        if request.started_ms >= LEARNING_TIME_MS {
            self.report.placed[request.key as usize] += 1;
        }
        let is_lost =
            self.scenario.packet_loss > 0.0 && self.rng.random_bool(self.scenario.packet_loss);
        self.report.lost += u32::from(is_lost);
        if is_lost || self.is_unresponsive(now_ms, request.key) {
            if self.policy.shares_demand() {
                self.schedule(now_ms + ANSWER_TIMEOUT_MS, Event::LateAnswer(request));
            }
            return self.retransmit(request, retransmissions);
        }
        let delay_ms = self.handshake_ms(&request);
        if delay_ms > 0.0 {
            return self.schedule(now_ms + delay_ms, Event::Answer(request));
        }
        self.record_answer(now_ms, &request);
        self.enqueue(now_ms, request);
    }

    /// Returns the time from a flow's first packet to the caller's next one, as the entry
    /// sees it; 0 where the delay to callers is not simulated.
    fn handshake_ms(&self, request: &Request) -> f64 {
        let site = &self.scenario.site;
        if site.caller_delay_ms <= 0.0 {
            return 0.0;
        }
        2.0 * site.caller_delay_ms + self.cross_domain_rtt_ms(request) / 2.0
    }

    /// Records the answer to a first packet at the entry.
    fn record_answer(&mut self, now_ms: f64, request: &Request) {
        if self.uses_placement() {
            let now = self.at(now_ms);
            let placement = &mut self.entries[request.entry];
            placement.record_handshake_time(request.key, millis(now_ms - request.sent_ms));
            placement.record_answer(now, request.key);
        }
    }

    /// Returns the upstream that the policy chooses for a first packet.
    fn choose(
        &mut self,
        now_ms: f64,
        request: &Request,
        retransmissions: usize,
    ) -> Result<TargetKey, Refusal> {
        match self.policy {
            Policy::OneQueue => Ok(0),
            Policy::OneQueueInTime if self.is_in_time(now_ms, request) => Ok(0),
            Policy::OneQueueInTime => Err(Refusal::NoUpstream),
            Policy::Hash => Ok(self.rng.random_range(0..self.scenario.upstreams) as TargetKey),
            Policy::LeastLoad
            | Policy::Admission
            | Policy::Shared
            | Policy::DemandWithoutQueue
            | Policy::Demand => {
                let (now, sent) = (self.at(now_ms), self.at(request.sent_ms));
                let was_placed = retransmissions > 0 && !self.is_in_outage(request.sent_ms);
                let tried = was_placed.then_some(request.key);
                let placement = &mut self.entries[request.entry];
                if let Some(previous) = tried {
                    placement.record_no_answer(now, previous, request.priority(), sent);
                    let changes = placement.take_suspicion_changes();
                    self.count_false_suspicions(now_ms, &changes);
                }
                let placement = &mut self.entries[request.entry];
                let placement_request = PlacementRequest {
                    service: "booking",
                    priority: request.priority(),
                    latency_target: millis(request.kind.latency_target_ms),
                    may_refuse: retransmissions == 0,
                    tried: tried.as_slice(),
                };
                placement
                    .place(now, &placement_request)
                    .map(|placed| placed.key)
            }
        }
    }

    /// Tells whether the one queue answers a request in target.
    fn is_in_time(&self, now_ms: f64, request: &Request) -> bool {
        let (slots, _) = self.capacity();
        let queue = &self.upstreams[0].waiting;
        let queued_ms: f64 = queue.iter().map(|waiting| waiting.work_ms).sum();
        let wait_ms = queued_ms / f64::from(slots);
        let delay_ms = self.handshake_ms(request) + 2.0 * self.scenario.site.caller_delay_ms;
        let took_ms = now_ms - request.started_ms + delay_ms + wait_ms + request.work_ms;
        took_ms <= request.kind.latency_target_ms
    }

    /// Counts new suspicions of upstreams or domains that do answer.
    fn count_false_suspicions(&mut self, now_ms: f64, changes: &[SuspicionChange]) {
        for change in changes.iter().filter(|change| change.until.is_some()) {
            match change.suspect {
                Suspect::Upstream(key) if self.is_unresponsive(now_ms, key) => {}
                Suspect::Upstream(_) => self.report.false_suspicions += 1,
                Suspect::Domain(_) if self.scenario.domain_outage => {}
                Suspect::Domain(_) => self.report.false_domain_suspicions += 1,
            }
        }
    }

    fn is_in_outage(&self, ms: f64) -> bool {
        let (from, to) = self.scenario.outage_ms;
        (from..to).contains(&ms)
    }

    /// Schedules the caller's next retransmission, or a retry after the last one.
    fn retransmit(&mut self, request: Request, retransmissions: usize) {
        let retransmissions = retransmissions + 1;
        match RETRANSMIT_AFTER_MS.get(retransmissions) {
            Some(wait) => {
                let at_ms = request.attempt_ms + wait;
                self.schedule(
                    at_ms,
                    Event::Attempt {
                        request,
                        retransmissions,
                    },
                );
            }
            None => self.retry(request.attempt_ms + ATTEMPT_TIMEOUT_MS, request),
        }
    }

    /// Refuses a flow at its entry; the caller is told that the request has not run.
    fn refuse(&mut self, now_ms: f64, request: Request) {
        self.record(&request, |outcome| outcome.refused += 1);
        self.report.add_refusal(now_ms);
        self.retry(now_ms, request);
    }

    /// Schedules a retry after a backoff, unless retries or time have run out.
    fn retry(&mut self, now_ms: f64, mut request: Request) {
        let pause = self.scenario.site.retry_backoff_ms * f64::from(1 << request.retries);
        let at_ms = now_ms
            + 2.0 * self.scenario.site.caller_delay_ms
            + pause * self.rng.random_range(0.5..1.5);
        let is_late = at_ms > request.started_ms + request.kind.caller_timeout_ms;
        if request.retries >= self.scenario.max_retries || is_late {
            return;
        }
        request.retries += 1;
        request.attempt_ms = at_ms;
        request.sent_ms = at_ms;
        request.entry = if self.scenario.hard.is_some() {
            self.draw_entry(request.domain)
        } else {
            self.rng.random_range(0..self.scenario.entries)
        };
        self.schedule(
            at_ms,
            Event::Attempt {
                request,
                retransmissions: 0,
            },
        );
    }

    /// Starts a request at its upstream, queues it there or sheds it.
    fn enqueue(&mut self, now_ms: f64, mut request: Request) {
        let (slots, queue_limit) = self.capacity();
        request.is_cold = self.is_cold(now_ms, request.key);
        let upstream = &mut self.upstreams[request.key as usize];
        upstream.flows += 1;
        if request.is_cold {
            self.report.max_flows_at_cold = self.report.max_flows_at_cold.max(upstream.flows);
        }
        let is_failing = (request.key as usize) < self.scenario.failing_upstreams
            && !self.policy.has_one_queue();
        if is_failing && self.rng.random_bool(FAILING_SHARE) {
            return self.shed(now_ms + FAILURE_MS, request);
        }
        let upstream = &mut self.upstreams[request.key as usize];
        if upstream.busy < slots {
            upstream.busy += 1;
            self.start_work(now_ms, request);
        } else if upstream.waiting.len() < queue_limit {
            upstream.waiting.push_back(request);
        } else {
            self.shed(now_ms, request);
        }
    }

    /// Returns the slots and the longest queue of an upstream.
    fn capacity(&self) -> (u32, usize) {
        let Scenario {
            slots,
            queue_limit,
            upstreams,
            unresponsive_upstreams,
            ..
        } = self.scenario;
        match self.policy {
            Policy::OneQueue | Policy::OneQueueInTime => {
                let responsive = upstreams - unresponsive_upstreams;
                (slots * responsive as u32, queue_limit * responsive)
            }
            _ => (slots, queue_limit),
        }
    }

    /// Tells whether an upstream is still warming up.
    fn is_cold(&self, now_ms: f64, key: TargetKey) -> bool {
        !self.policy.has_one_queue()
            && (key as usize) < self.scenario.cold_upstreams
            && now_ms < self.duration_ms / 4.0
    }

    /// Tells whether an upstream leaves first packets unanswered.
    fn is_unresponsive(&self, now_ms: f64, key: TargetKey) -> bool {
        let key = key as usize;
        let is_domain_down = self.scenario.domain_outage
            && key.is_multiple_of(self.scenario.site.domains)
            && self.middle_third().contains(&now_ms);
        !self.policy.has_one_queue()
            && (is_domain_down
                || (self.scenario.is_disturbed(now_ms)
                    && key >= self.scenario.upstreams - self.scenario.unresponsive_upstreams))
    }

    fn middle_third(&self) -> Range<f64> {
        self.duration_ms / 3.0..self.duration_ms * 2.0 / 3.0
    }

    fn start_work(&mut self, now_ms: f64, request: Request) {
        let is_slow = !self.policy.has_one_queue()
            && self.scenario.is_disturbed(now_ms)
            && (request.key as usize) < self.scenario.slow_upstreams;
        let warmup_slowdown = if request.is_cold { 2.0 } else { 1.0 };
        let slowdown = if is_slow { 4.0 } else { warmup_slowdown };
        let done_ms = now_ms + slowdown * request.work_ms;
        self.schedule(done_ms, Event::Done(request));
    }

    /// Returns the round trip time between the entry and the upstream of a request.
    fn cross_domain_rtt_ms(&self, request: &Request) -> f64 {
        let domains = self.scenario.site.domains;
        let is_local = request.key as usize % domains == request.entry % domains;
        if is_local || self.policy.has_one_queue() {
            0.0
        } else {
            self.scenario.site.cross_domain_rtt_ms
        }
    }

    /// Completes a request, and starts the next one of the queue that is not too old.
    fn finish(&mut self, now_ms: f64, request: Request) {
        let rtt_ms = self.cross_domain_rtt_ms(&request);
        let caller_rtt_ms = 2.0 * self.scenario.site.caller_delay_ms;
        let took_ms = now_ms + rtt_ms + caller_rtt_ms - request.started_ms;
        let RequestKind {
            latency_target_ms,
            caller_timeout_ms,
            ..
        } = request.kind;
        self.record(&request, |outcome| {
            outcome.in_target += u32::from(took_ms <= latency_target_ms);
            outcome.served += u32::from(took_ms <= caller_timeout_ms);
        });
        if took_ms <= latency_target_ms {
            self.report
                .add_work(now_ms, request.work_ms, request.kind.is_idempotent);
        }
        self.end_flow(now_ms, &request);
        while let Some(next) = self.upstreams[request.key as usize].waiting.pop_front() {
            if now_ms - next.sent_ms <= self.scenario.site.max_queue_time_ms {
                return self.start_work(now_ms, next);
            }
            self.shed(now_ms, next);
        }
        self.upstreams[request.key as usize].busy -= 1;
    }

    /// Sheds a request at its upstream, which reports that it has not run.
    fn shed(&mut self, now_ms: f64, request: Request) {
        self.record(&request, |outcome| outcome.shed += 1);
        self.end_flow(now_ms, &request);
        self.retry(now_ms, request);
    }

    /// Ends the flow of a request at its upstream and entry.
    fn end_flow(&mut self, now_ms: f64, request: &Request) {
        self.upstreams[request.key as usize].flows -= 1;
        let delay_ms = 2.0 * self.scenario.site.caller_delay_ms;
        if delay_ms > 0.0 {
            return self.schedule(now_ms + delay_ms, Event::End(*request));
        }
        self.record_end(now_ms, request);
    }

    /// Records the end of a flow at its entry.
    fn record_end(&mut self, now_ms: f64, request: &Request) {
        if self.uses_placement() {
            let now = self.at(now_ms);
            let duration = millis(now_ms - request.sent_ms);
            let placement = &mut self.entries[request.entry];
            placement.record_end(now, request.key, request.priority(), duration);
            self.release_waiting(now_ms, request.entry);
        }
    }
}

/// Returns the rate of arrivals at the scenario's load, outside of a burst.
fn arrivals_per_ms(scenario: &Scenario) -> f64 {
    let responsive = if scenario.hard.is_some() {
        scenario.upstreams
    } else {
        scenario.upstreams - scenario.unresponsive_upstreams
    };
    let slots = scenario.slots * responsive as u32;
    scenario.load * f64::from(slots) / scenario.site.mean_work_ms()
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
