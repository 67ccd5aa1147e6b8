//! Where the packets of a flow go.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use currantgate_placement::{PlacementSettings, Target};
use currantgate_token::{
    Decision, DropReason, FirstPacket, FlowId, LaterPacket, NextHop, ResetReason, Route,
    RouteTable, TokenRouter, TokenSettings, TokenUpstream,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const TIMEOUT: Duration = Duration::from_millis(1_500);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn flow(n: u16) -> FlowId {
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_000 + n),
        service: SERVICE,
    }
}

fn route(services: &[(&str, u32)]) -> Route {
    let services = services
        .iter()
        .map(|(name, weight)| ((*name).into(), *weight));
    Route {
        services: services.collect(),
        timeout: TIMEOUT,
        latency_target: TIMEOUT / 10,
        priority: 1,
        is_idempotent: true,
    }
}

/// Returns upstream `n` of booking as an entry is told of it.
fn upstream(n: u8, now: Instant) -> (TokenUpstream, Option<Target>) {
    let known = TokenUpstream {
        id: format!("i-{n:08x}").into(),
        started_ms: n.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 80),
        identity: n.into(),
    };
    let target = Target {
        key: 0,
        service: "booking".into(),
        domain: "a".into(),
        is_local: true,
        slots: 3,
        warm_at: now,
        is_reporting: true,
    };
    (known, Some(target))
}

struct Entry {
    router: TokenRouter,
    now: Instant,
}

impl Entry {
    fn new(upstreams: impl IntoIterator<Item = u8>, seed: u64) -> Self {
        let now = Instant::now();
        let placement = PlacementSettings {
            seed,
            ..PlacementSettings::default()
        };
        let mut router = TokenRouter::new(TokenSettings::default(), placement);
        router.set_routes(RouteTable::new([(SERVICE, route(&[("booking", 1)]))]));
        router.set_routes_current(true);
        router.set_upstreams_complete(true);
        router.set_upstreams(upstreams.into_iter().map(|n| upstream(n, now)).collect());
        Self { router, now }
    }

    fn open(&mut self, n: u16) -> NextHop {
        let decision = self.try_open(n, 0);
        hop(decision)
    }

    fn try_open(&mut self, n: u16, retransmissions: u32) -> Decision {
        let opening = FirstPacket {
            flow: flow(n),
            retransmissions,
        };
        self.router.route_first(self.now, opening).decision
    }

    fn carry(&mut self, n: u16, token: u32, is_last: bool) -> Decision {
        let segment = LaterPacket {
            flow: flow(n),
            token,
            is_last,
        };
        self.router.route_later(self.now, segment)
    }

    /// Leaves out an upstream from those that take new flows, or altogether.
    fn close(&mut self, upstreams: impl IntoIterator<Item = u8>, closed: u8) {
        let shown = upstreams.into_iter().map(|n| {
            let (known, target) = upstream(n, self.now);
            (known, target.filter(|_| n != closed))
        });
        self.router.set_upstreams(shown.collect());
    }
}

fn hop(decision: Decision) -> NextHop {
    match decision {
        Decision::Forward(hop) => hop,
        other => panic!("not forwarded: {other:?}"),
    }
}

#[test]
fn any_entry_hands_an_open_flow_to_its_upstream() {
    let mut first = Entry::new(1..=5, 1);
    let mut second = Entry::new(1..=5, 2);
    for n in 0..50 {
        let chosen = first.open(n);
        assert_eq!(
            second.carry(n, chosen.token, false),
            Decision::Forward(chosen)
        );
    }
}

#[test]
fn an_open_flow_outlives_its_upstreams_leaving() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open(1);
    let leaving = chosen.address.ip().octets()[3];
    entry.close(1..=2, leaving);
    assert_eq!(
        entry.carry(1, chosen.token, false),
        Decision::Forward(chosen)
    );
    assert_ne!(entry.open(2), chosen, "it gets no new flows");
}

#[test]
fn an_unknown_token_is_dropped_and_never_guessed() {
    let mut entry = Entry::new(1..=2, 1);
    for token in [0, 77] {
        let decision = entry.carry(1, token, false);
        assert_eq!(decision, Decision::Drop(DropReason::UnknownToken));
    }
}

#[test]
fn a_copy_made_on_the_way_goes_to_the_same_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let chosen = entry.open(1);
    entry.now += Duration::from_millis(5);
    assert_eq!(hop(entry.try_open(1, 0)), chosen);
}

/// The caller repeats a first packet after 200 ms, when the upstream has not
/// answered for a hundred times the usual time.
#[test]
fn a_copy_after_a_silence_goes_to_another_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let mut tried = vec![entry.open(1)];
    for retransmissions in 1..=2 {
        entry.now += Duration::from_millis(200);
        let next = hop(entry.try_open(1, retransmissions));
        assert!(!tried.contains(&next), "{next:?} was tried");
        tried.push(next);
    }
}

#[test]
fn a_late_copy_of_an_open_flow_goes_to_its_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let chosen = entry.open(1);
    entry.carry(1, chosen.token, false);
    entry.now += Duration::from_millis(300);
    assert_eq!(hop(entry.try_open(1, 1)), chosen);
}

#[test]
fn a_flow_without_a_route_is_reset_only_when_the_routes_are_current() {
    let mut entry = Entry::new(1..=2, 1);
    entry.router.set_routes(RouteTable::default());
    assert_eq!(entry.try_open(1, 0), Decision::Reset(ResetReason::NoRoute));
    entry.router.set_routes_current(false);
    let decision = entry.try_open(1, 0);
    assert_eq!(decision, Decision::Drop(DropReason::RoutesOutOfDate));
}

#[test]
fn a_dropped_route_leaves_open_flows_alone() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open(1);
    entry.router.set_routes(RouteTable::default());
    assert_eq!(
        entry.carry(1, chosen.token, false),
        Decision::Forward(chosen)
    );
}

#[test]
fn a_flow_without_upstreams_is_refused_at_once() {
    let mut entry = Entry::new([], 1);
    let decision = entry.try_open(1, 0);
    assert_eq!(decision, Decision::Reset(ResetReason::NoUpstream));
}

/// An entry that has just started knows some upstreams and not others; a caller
/// that is refused does not come back as soon as one that repeats its packet.
#[test]
fn a_flow_is_not_refused_before_all_upstreams_were_told() {
    let mut entry = Entry::new([], 1);
    entry.router.set_upstreams_complete(false);
    let decision = entry.try_open(1, 0);
    assert_eq!(decision, Decision::Drop(DropReason::UpstreamsIncomplete));
    entry.close(1..=2, 0);
    assert!(matches!(entry.try_open(1, 1), Decision::Forward(_)));
}

/// Lets flows be asked for faster than they end, and these take far longer than
/// usual, as at upstreams whose queues are full.
fn overload(entry: &mut Entry) {
    const STEP: Duration = Duration::from_millis(10);
    for n in 0..200 {
        let chosen = entry.open(n);
        entry.carry(n, chosen.token, false);
        entry.now += STEP;
        entry.carry(n, chosen.token, true);
    }
    for n in 0..200 {
        if let Decision::Forward(chosen) = entry.try_open(1_000 + n, 0) {
            entry.carry(1_000 + n, chosen.token, false);
        }
        if n % 4 == 0 && n >= 40 {
            entry.carry(1_000 + n - 40, 1, true);
        }
        entry.now += STEP;
    }
}

#[test]
fn a_flow_is_refused_at_once_when_others_fill_its_service() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let refused = entry.try_open(9_000, 0);
    assert!(
        matches!(refused, Decision::Reset(ResetReason::Overloaded(_))),
        "{refused:?}"
    );
}

/// An upstream may have answered what the copy repeats: a refusal would cut the
/// flow that its caller takes for open.
#[test]
fn a_copy_of_a_first_packet_is_never_refused_for_want_of_room() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let copy = entry.try_open(9_000, 1);
    assert!(matches!(copy, Decision::Forward(_)), "{copy:?}");
}

#[test]
fn requests_that_may_run_once_are_let_in_where_others_are_refused() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let once = Route {
        is_idempotent: false,
        ..route(&[("booking", 1)])
    };
    let routes = RouteTable::new([(SERVICE, once)]);
    entry.router.set_routes(routes);
    let decision = entry.try_open(9_000, 0);
    assert!(matches!(decision, Decision::Forward(_)), "{decision:?}");
}

#[test]
fn the_end_of_a_flow_frees_its_place() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open(1);
    entry.carry(1, chosen.token, false);
    assert_eq!(entry.router.tracked_flows(), 1);
    entry.carry(1, chosen.token, true);
    assert_eq!(entry.router.tracked_flows(), 0);
    assert_eq!(
        entry.carry(1, chosen.token, false),
        Decision::Forward(chosen)
    );
}

#[test]
fn a_flow_whose_caller_gave_up_is_let_go() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open(1);
    entry.carry(1, chosen.token, false);
    entry.now += TIMEOUT;
    while entry.router.pop_expired(entry.now).is_some() {}
    assert_eq!(entry.router.tracked_flows(), 1);
    entry.now += Duration::from_millis(300);
    while entry.router.pop_expired(entry.now).is_some() {}
    assert_eq!(entry.router.tracked_flows(), 0);
}

#[test]
fn beyond_the_limit_flows_are_routed_without_a_record() {
    let mut entry = Entry::new(1..=2, 1);
    let settings = TokenSettings {
        max_flows: 2,
        ..TokenSettings::default()
    };
    entry.router = TokenRouter::new(settings, PlacementSettings::default());
    let routes = RouteTable::new([(SERVICE, route(&[("booking", 1)]))]);
    entry.router.set_routes(routes);
    let known = (1..=2).map(|n| upstream(n, entry.now)).collect();
    entry.router.set_upstreams(known);
    for n in 0..10 {
        entry.open(n);
    }
    assert_eq!(entry.router.tracked_flows(), 2);
}

/// An identity that is no token by itself is mixed into one; two that come to
/// the same token are told apart alike on all entries.
#[test]
fn of_two_upstreams_with_one_token_the_older_has_it() {
    let now = Instant::now();
    let mut clash = upstream(2, now);
    clash.0.identity = 1;
    let older = upstream(1, now);
    for shown in [vec![older.clone(), clash.clone()], vec![clash, older]] {
        let mut entry = Entry::new([], 1);
        entry.router.set_upstreams(shown);
        for n in 0..10 {
            assert_eq!(entry.open(n).address.ip().octets()[3], 1);
        }
    }
}

#[test]
fn a_long_identity_has_a_token_that_is_not_zero() {
    let now = Instant::now();
    let mut long = upstream(1, now);
    long.0.identity = 0x7f3a_91c2_0000_0000;
    let mut entry = Entry::new([], 1);
    entry.router.set_upstreams(vec![long]);
    let chosen = entry.open(1);
    assert_ne!(chosen.token, 0);
    assert_eq!(chosen.identity, 0x7f3a_91c2_0000_0000);
}

#[test]
fn a_split_route_shares_flows_by_weight() {
    let route = route(&[("booking", 90), ("calendar", 10)]);
    let calendar = (0..1_000_u64)
        .filter(|hash| route.select_service(*hash) == Some("calendar"))
        .count();
    assert_eq!(calendar, 100);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u16),
    Carry(u16),
    End(u16),
    Wait(u64),
    Close(u8),
    Restart,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..20_u16).prop_map(Step::Open),
        (0..20_u16).prop_map(Step::Carry),
        (0..20_u16).prop_map(Step::End),
        (1..400_u64).prop_map(Step::Wait),
        (0..6_u8).prop_map(Step::Close),
        Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Whatever closes and restarts: the packets of an open flow go to one
    /// upstream.
    #[test]
    fn an_open_flow_has_one_upstream(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut entry = Entry::new(1..=5, 9);
        let mut open = std::collections::HashMap::new();
        for step in steps {
            match step {
                Step::Open(n) => {
                    if let (false, Decision::Forward(chosen)) =
                        (open.contains_key(&n), entry.try_open(n, 0))
                    {
                        prop_assert!(entry.carry(n, chosen.token, false) == Decision::Forward(chosen));
                        open.insert(n, chosen);
                    }
                }
                Step::Carry(n) | Step::End(n) => {
                    if let Some(chosen) = open.get(&n).copied() {
                        let is_last = matches!(step, Step::End(_));
                        let decision = entry.carry(n, chosen.token, is_last);
                        prop_assert_eq!(decision, Decision::Forward(chosen));
                        if is_last {
                            open.remove(&n);
                        }
                    }
                }
                Step::Wait(ms) => {
                    entry.now += Duration::from_millis(ms);
                    while entry.router.pop_expired(entry.now).is_some() {}
                }
                Step::Close(closed) => entry.close(1..=5, closed),
                Step::Restart => entry = Entry::new(1..=5, 10),
            }
        }
    }
}

/// What happens to upstreams whose addresses are used again by other services.
#[derive(Clone, Copy, Debug)]
enum Change {
    Open {
        n: u16,
        is_calendar: bool,
    },
    Carry {
        n: u16,
        is_last: bool,
    },
    /// Upstream `n` drains.
    Drain(u8),
    /// Upstream `n` is gone, and one of the other service has its address.
    Reuse(u8),
    Wait(u64),
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (0..30_u16, any::<bool>()).prop_map(|(n, is_calendar)| Change::Open { n, is_calendar }),
        4 => (0..30_u16, any::<bool>()).prop_map(|(n, is_last)| Change::Carry { n, is_last }),
        1 => (0..6_u8).prop_map(Change::Drain),
        1 => (0..6_u8).prop_map(Change::Reuse),
        1 => (1..600_u64).prop_map(Change::Wait),
    ]
}

/// An upstream of the property below.
#[derive(Clone, Debug)]
struct Known {
    identity: u64,
    host: u8,
    is_calendar: bool,
    is_open: bool,
}

const CALENDAR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

fn service_of(is_calendar: bool) -> &'static str {
    if is_calendar { "calendar" } else { "booking" }
}

fn show(entry: &mut Entry, known: &[Known]) {
    let shown = known.iter().map(|upstream| {
        let (mut as_hop, target) = self::upstream(upstream.host, entry.now);
        as_hop.id = format!("i-{:08x}", upstream.identity).into();
        as_hop.identity = upstream.identity;
        let target = target.filter(|_| upstream.is_open).map(|target| Target {
            service: service_of(upstream.is_calendar).into(),
            ..target
        });
        (as_hop, target)
    });
    let shown = shown.collect();
    entry.router.set_upstreams(shown);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Whatever drains, goes and has its address used again: a new flow goes to
    /// an open upstream of its route's service, and later packets name the one
    /// that it was opened at, also to whoever has its address by now.
    #[test]
    fn no_packet_reaches_another_service(
        changes in prop::collection::vec(any_change(), 1..150),
    ) {
        let mut entry = Entry::new([], 9);
        let routes = [(SERVICE, false), (CALENDAR, true)]
            .map(|(address, is_calendar)| (address, route(&[(service_of(is_calendar), 1)])));
        entry.router.set_routes(RouteTable::new(routes));
        let mut known: Vec<_> = (0..6_u8)
            .map(|host| Known {
                identity: u64::from(host) + 1,
                host,
                is_calendar: host % 2 == 1,
                is_open: true,
            })
            .collect();
        show(&mut entry, &known);
        let mut open = std::collections::HashMap::new();
        for change in changes {
            match change {
                Change::Open { n, is_calendar } => {
                    let opening = FirstPacket {
                        flow: FlowId {
                            service: if is_calendar { CALENDAR } else { SERVICE },
                            ..flow(n)
                        },
                        retransmissions: 0,
                    };
                    if open.contains_key(&n) {
                        continue;
                    }
                    if let Decision::Forward(hop) = entry.router.route_first(entry.now, opening).decision {
                        let chosen = known.iter().find(|k| k.identity == hop.identity).unwrap();
                        prop_assert!(chosen.is_open, "{chosen:?}");
                        prop_assert_eq!(chosen.is_calendar, is_calendar);
                        open.insert(n, (opening.flow, hop));
                    }
                }
                Change::Carry { n, is_last } => {
                    if let Some((flow, hop)) = open.get(&n).copied() {
                        let segment = LaterPacket { flow, token: hop.token, is_last };
                        let decision = entry.router.route_later(entry.now, segment);
                        prop_assert_eq!(decision, Decision::Forward(hop));
                        if is_last {
                            open.remove(&n);
                        }
                    }
                }
                Change::Drain(host) => {
                    let newest = known.iter_mut().rfind(|k| k.host == host).unwrap();
                    newest.is_open = false;
                    show(&mut entry, &known);
                }
                Change::Reuse(host) => {
                    let before = known.iter_mut().rfind(|k| k.host == host).unwrap();
                    before.is_open = false;
                    let is_calendar = !before.is_calendar;
                    known.push(Known {
                        identity: known.len() as u64 + 1,
                        host,
                        is_calendar,
                        is_open: true,
                    });
                    show(&mut entry, &known);
                }
                Change::Wait(ms) => {
                    entry.now += Duration::from_millis(ms);
                    while entry.router.pop_expired(entry.now).is_some() {}
                }
            }
        }
    }
}
