//! Tests of flows that wait for a slot at the router.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use currantgate_capacity::ClassDemand;
use currantgate_placement::{
    DemandSettings, DomainDemand, PlacementSettings, Priority, ServiceDemand,
};
use currantgate_token::{
    Decision, DropReason, FirstPacket, FlowId, LaterPacket, NextHop, ResetReason, Route,
    RouteTable, TokenRouter, TokenSettings, WaitingDeparture,
};
use rstest::rstest;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Length of a first packet.
const LEN: usize = 60;

const PRIORITY: Priority = Priority {
    is_idempotent: true,
    level: 1,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn flow(n: u16) -> FlowId {
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 20_000 + n),
        service: SERVICE,
    }
}

/// An entry before four upstreams with two slots, whose flows take 40 ms.
struct Entry {
    router: TokenRouter,
    now: Instant,
    open: Vec<(u16, NextHop)>,
    next: u16,
}

impl Entry {
    /// Returns an entry with as many open flows as it may have, in a fleet whose callers ask
    /// for 2.5 times its slots, and with a flow that waits if demand is shared.
    fn at_limit(is_demand_shared: bool) -> Self {
        let now = Instant::now();
        let placement = PlacementSettings {
            demand: is_demand_shared.then(DemandSettings::default),
            ..PlacementSettings::default()
        };
        let mut router = TokenRouter::new(TokenSettings::default(), placement);
        let route = Route {
            services: vec![("booking".into(), 1)],
            timeout: ms(3_000),
            latency_target: ms(500),
            priority: 1,
            is_idempotent: true,
        };
        router.set_routes(RouteTable::new([(SERVICE, route)]));
        router.set_routes_current(true);
        router.set_upstreams_complete(true);
        router.set_upstreams((1..=4).map(|n| support::upstream(n, 2, now)).collect());
        let mut entry = Self {
            router,
            now,
            open: Vec::new(),
            next: 0,
        };
        entry.update_demand();
        for _ in 0..300 {
            entry.open_flow();
            entry.now += ms(2);
            if entry.open.len() == 20 {
                let (oldest, _) = entry.open[0];
                entry.end_flow(oldest);
            }
        }
        entry.update_demand();
        for _ in 0..50 {
            if entry.arrive().1 == Decision::Wait {
                break;
            }
        }
        entry
    }

    fn update_demand(&mut self) {
        let service = ServiceDemand {
            service: "booking".into(),
            classes: vec![ClassDemand {
                priority: PRIORITY,
                arrivals: 500.0,
            }],
            completions: 160.0,
            slot_ms: 6_400.0,
            slots: 8.0,
        };
        let demand = DomainDemand {
            domain: "a".into(),
            entries: 1,
            position: Some(0),
            services: vec![service],
        };
        self.router.update_demand(self.now, &demand);
    }

    /// Sends the first packet of a new flow, and returns its number and the decision.
    fn arrive(&mut self) -> (u16, Decision) {
        let n = self.next;
        self.next += 1;
        let decision = self.send_first(n, 0);
        if let Decision::Forward(hop) = decision {
            self.open.push((n, hop));
        }
        (n, decision)
    }

    fn send_first(&mut self, n: u16, retransmissions: u32) -> Decision {
        let packet = FirstPacket {
            flow: flow(n),
            retransmissions,
        };
        let decided = self.router.route_first_or_wait(self.now, packet, LEN);
        decided.decision
    }

    fn open_flow(&mut self) -> u16 {
        let (n, decision) = self.arrive();
        assert!(matches!(decision, Decision::Forward(_)), "{decision:?}");
        n
    }

    fn end_flow(&mut self, n: u16) {
        let index = self.open.iter().position(|(open, _)| *open == n);
        let (_, hop) = self.open.remove(index.expect("it is open"));
        for is_last in [false, true] {
            let packet = LaterPacket {
                flow: flow(n),
                token: hop.token,
                is_last,
            };
            self.router.route_later(self.now, packet);
        }
    }

    /// Returns the flows that leave the queue now.
    fn departures(&mut self) -> Vec<WaitingDeparture> {
        std::iter::from_fn(|| self.router.next_departure(self.now)).collect()
    }
}

/// Guards against flows that are refused though a slot becomes free in time, that are lost
/// in the queue or placed twice, and against copies that reach an upstream meanwhile.
#[test]
fn a_waiting_flow_is_forwarded_when_another_one_ends() {
    let mut entry = Entry::at_limit(true);
    assert_eq!(entry.router.waiting_flows(), 1);
    let waiting = entry.next - 1;
    assert_eq!(entry.departures(), []);
    entry.now += ms(100);
    let copy = entry.send_first(waiting, 1);
    assert_eq!(copy, Decision::Drop(DropReason::Waiting));
    let later = LaterPacket {
        flow: flow(waiting),
        token: 0,
        is_last: true,
    };
    let later = entry.router.route_later(entry.now, later);
    assert_eq!(later, Decision::Drop(DropReason::UnknownToken));
    while entry.router.waiting_flows() > 0 {
        let (first, _) = entry.open[0];
        entry.end_flow(first);
        let left = entry.departures();
        let Some(departure) = left.first() else {
            continue;
        };
        assert_eq!(left.len(), 1);
        assert_eq!(departure.flow, flow(waiting));
        assert_eq!(departure.decided.waited, Some(ms(100)));
        assert!(departure.decided.is_new);
        assert!(matches!(departure.decided.decision, Decision::Forward(_)));
    }
    assert!(!entry.router.has_waiting());
    // Its record is that of any open flow: a copy goes to the same upstream.
    let copy = entry.send_first(waiting, 1);
    assert!(matches!(copy, Decision::Forward(_)), "{copy:?}");
}

/// Guards against flows that are held until they miss their target, and against a reset of a
/// flow whose retransmission another entry may have placed, as this one was stopped or the
/// fabric hands the flow to others now.
#[rstest]
#[case::running(false, true, Decision::Reset(ResetReason::WaitedTooLong))]
#[case::was_stopped(true, true, Decision::Drop(DropReason::Delayed))]
#[case::fabric_changed(false, false, Decision::Drop(DropReason::Delayed))]
fn a_flow_is_not_held_past_its_maximum_wait(
    #[case] was_stopped: bool,
    #[case] is_retransmitted: bool,
    #[case] expected: Decision,
) {
    let mut entry = Entry::at_limit(true);
    if is_retransmitted {
        let copy = entry.send_first(entry.next - 1, 1);
        assert_eq!(copy, Decision::Drop(DropReason::Waiting));
    }
    // At most 450 ms, which is less than the target of 500 ms without the 40 ms upstream.
    entry.now += ms(449);
    entry.update_demand();
    assert_eq!(entry.departures(), []);
    entry.now += ms(1);
    if was_stopped {
        entry.router.set_catching_up_until(entry.now + ms(200));
    }
    let left = entry.departures();
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].decided.decision, expected);
    assert!(!entry.router.has_waiting());
}

/// Guards against flows that wait by figures that no longer hold.
#[rstest]
#[case::cleared(true)]
#[case::never_shared(false)]
fn no_flow_waits_without_the_demand_of_all(#[case] is_demand_shared: bool) {
    let mut entry = Entry::at_limit(is_demand_shared);
    entry.router.clear_demand();
    let left = entry.departures();
    assert_eq!(left.len(), usize::from(is_demand_shared));
    let is_forwarded = |d: &WaitingDeparture| matches!(d.decided.decision, Decision::Forward(_));
    assert!(left.iter().all(is_forwarded), "{left:?}");
    for _ in 0..50 {
        let (_, decision) = entry.arrive();
        assert_ne!(decision, Decision::Wait);
    }
    assert!(!entry.router.has_waiting());
}

/// Returns an entry before four upstreams with two slots that has just started.
fn started(latency_target: Duration) -> Entry {
    let mut entry = Entry::at_limit(false);
    let mut router = TokenRouter::new(TokenSettings::default(), PlacementSettings::default());
    let route = Route {
        services: vec![("booking".into(), 1)],
        timeout: ms(3_000),
        latency_target,
        priority: 1,
        is_idempotent: true,
    };
    router.set_routes(RouteTable::new([(SERVICE, route)]));
    router.set_routes_current(true);
    router.set_upstreams_complete(true);
    let upstreams = (1..=4).map(|n| support::upstream(n, 2, entry.now));
    router.set_upstreams(upstreams.collect());
    entry.router = router;
    entry.open.clear();
    entry
}

/// Guards against copies that take slots from new flows after an outage although they can't
/// be answered in time any more, and against copies that are reset or never served.
#[test]
fn late_copies_wait_behind_new_flows_and_are_served() {
    let mut entry = started(ms(150));
    let copies: Vec<u16> = (1_000..1_020).collect();
    let decisions: Vec<Decision> = copies.iter().map(|n| entry.send_first(*n, 1)).collect();
    let is_forwarded = |decision: &Decision| matches!(decision, Decision::Forward(_));
    let forwarded = decisions.iter().filter(|d| is_forwarded(d)).count();
    let waiting = decisions.iter().filter(|d| **d == Decision::Wait).count();
    assert!(forwarded > 0, "idle slots are used");
    assert_eq!(forwarded + waiting, copies.len());
    assert_eq!(entry.router.waiting_flows(), waiting);
    // New flows don't wait behind them.
    for _ in 0..4 {
        entry.open_flow();
    }
    assert_eq!(entry.departures(), []);
    // The next copy of a flow that waits is absorbed.
    let last = copies[copies.len() - 1];
    assert_eq!(
        entry.send_first(last, 2),
        Decision::Drop(DropReason::Waiting)
    );
    for (n, decision) in copies.into_iter().zip(decisions) {
        if let Decision::Forward(hop) = decision {
            entry.open.push((n, hop));
        }
    }
    while entry.router.waiting_flows() > 0 {
        entry.now += ms(20);
        let (first, _) = entry.open[0];
        entry.end_flow(first);
        for departure in entry.departures() {
            assert!(!departure.decided.is_new);
            let Decision::Forward(hop) = departure.decided.decision else {
                panic!("{departure:?}");
            };
            let n = departure.flow.caller.port() - 20_000;
            entry.open.push((n, hop));
        }
    }
}

/// Guards against a reset of a flow of which an upstream may have answered an earlier copy,
/// and against copies that are kept after their callers have given up.
#[rstest]
#[case::second_packet(1, 1_200)]
#[case::third_packet(2, 800)]
fn late_copies_without_a_slot_are_dropped_when_their_callers_give_up(
    #[case] retransmissions: u32,
    #[case] left_ms: u64,
) {
    let mut entry = started(ms(150));
    for n in 0..20 {
        entry.open_flow();
        let decision = entry.send_first(1_000 + n, retransmissions);
        assert!(n < 8 || decision == Decision::Wait, "{decision:?}");
    }
    let waiting = entry.router.waiting_flows();
    entry.now += ms(left_ms - 1);
    let (first, _) = entry.open[0];
    entry.end_flow(first);
    assert_eq!(entry.departures(), []);
    entry.now += ms(1);
    let left = entry.departures();
    assert_eq!(left.len(), waiting);
    let expected = Decision::Drop(DropReason::LateCopy);
    assert!(
        left.iter().all(|d| d.decided.decision == expected),
        "{left:?}"
    );
}

/// Guards against copies that wait until their callers give up where callers keep flows open,
/// so that open flows say nothing about slots.
#[test]
fn late_copies_are_placed_where_no_flow_ends() {
    let mut entry = started(ms(150));
    for n in 1_000..1_020 {
        entry.send_first(n, 1);
    }
    let waiting = entry.router.waiting_flows();
    assert!(waiting > 0, "none waits");
    entry.now += ms(149);
    assert_eq!(entry.departures(), []);
    entry.now += ms(1);
    let left = entry.departures();
    assert_eq!(left.len(), waiting);
    let is_forwarded = |d: &WaitingDeparture| matches!(d.decided.decision, Decision::Forward(_));
    assert!(left.iter().all(is_forwarded), "{left:?}");
}

/// Guards against copies that wait although they can still be answered in time, as where a
/// packet was lost.
#[test]
fn copies_in_time_are_placed_at_once() {
    let mut entry = started(ms(500));
    for n in 1_000..1_020 {
        let decision = entry.send_first(n, 1);
        assert!(matches!(decision, Decision::Forward(_)), "{decision:?}");
    }
}
