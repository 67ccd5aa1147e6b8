//! Tests of the routing of packets by tokens.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use currantgate_placement::{PlacementSettings, Target};
use currantgate_token::{
    CapacityLimitSettings, Decision, DropReason, FirstPacket, FirstPacketDecision, FlowId,
    LaterPacket, NextHop, ResetReason, Route, RouteTable, ServiceWarmup, TokenRouter,
    TokenSettings, TokenUpstream,
};
use currantgate_warmup::{Permit, WarmupLimit};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rstest::rstest;

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

/// Returns upstream `n` of the booking service as input of the router.
fn upstream(n: u8, now: Instant) -> (TokenUpstream, Option<Target>) {
    support::upstream(n, 3, now)
}

struct Entry {
    router: TokenRouter,
    now: Instant,
}

impl Entry {
    fn new(upstreams: impl IntoIterator<Item = u8>, seed: u64) -> Self {
        Self::with_settings(TokenSettings::default(), upstreams, seed)
    }

    fn with_settings(
        settings: TokenSettings,
        upstreams: impl IntoIterator<Item = u8>,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let placement = PlacementSettings {
            seed,
            ..PlacementSettings::default()
        };
        let mut router = TokenRouter::new(settings, placement);
        router.set_routes(RouteTable::new([(SERVICE, route(&[("booking", 1)]))]));
        router.set_routes_current(true);
        router.set_upstreams_complete(true);
        router.set_upstreams(upstreams.into_iter().map(|n| upstream(n, now)).collect());
        Self { router, now }
    }

    fn open_flow(&mut self, n: u16) -> NextHop {
        let decision = self.send_first(n, 0);
        hop(decision)
    }

    fn send_first(&mut self, n: u16, retransmissions: u32) -> Decision {
        self.decide_first(n, retransmissions).decision
    }

    fn decide_first(&mut self, n: u16, retransmissions: u32) -> FirstPacketDecision {
        let packet = FirstPacket {
            flow: flow(n),
            retransmissions,
        };
        self.router.route_first(self.now, packet)
    }

    fn send_later(&mut self, n: u16, token: u32, is_last: bool) -> Decision {
        let packet = LaterPacket {
            flow: flow(n),
            token,
            is_last,
        };
        self.router.route_later(self.now, packet)
    }

    /// Sets upstreams, of which `closed` takes no new flows.
    fn set_upstreams_with_closed(&mut self, upstreams: impl IntoIterator<Item = u8>, closed: u8) {
        let listed = upstreams.into_iter().map(|n| {
            let (token_upstream, target) = upstream(n, self.now);
            (token_upstream, target.filter(|_| n != closed))
        });
        self.router.set_upstreams(listed.collect());
    }
}

fn hop(decision: Decision) -> NextHop {
    match decision {
        Decision::Forward(hop) => hop,
        other => panic!("not forwarded: {other:?}"),
    }
}

#[test]
fn any_entry_forwards_an_open_flow_to_its_upstream() {
    let mut first = Entry::new(1..=5, 1);
    let mut second = Entry::new(1..=5, 2);
    for n in 0..50 {
        let chosen = first.open_flow(n);
        assert_eq!(
            second.send_later(n, chosen.token, false),
            Decision::Forward(chosen)
        );
    }
}

#[test]
fn an_open_flow_still_goes_to_an_upstream_that_takes_no_new_flows() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open_flow(1);
    let leaving = chosen.address.ip().octets()[3];
    entry.set_upstreams_with_closed(1..=2, leaving);
    assert_eq!(
        entry.send_later(1, chosen.token, false),
        Decision::Forward(chosen)
    );
    assert_ne!(
        entry.open_flow(2),
        chosen,
        "a closed upstream gets no new flows"
    );
}

#[test]
fn a_packet_with_an_unknown_token_is_dropped() {
    let mut entry = Entry::new(1..=2, 1);
    for token in [0, 77] {
        let decision = entry.send_later(1, token, false);
        assert_eq!(decision, Decision::Drop(DropReason::UnknownToken));
    }
}

#[test]
fn a_network_duplicate_goes_to_the_same_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let chosen = entry.open_flow(1);
    entry.now += Duration::from_millis(5);
    assert_eq!(hop(entry.send_first(1, 0)), chosen);
}

/// A caller retransmits its first packet after 200 ms. By then an upstream has had a
/// hundred times the usual time to answer.
#[test]
fn a_retransmission_goes_to_an_untried_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let mut tried = vec![entry.open_flow(1)];
    for retransmissions in 1..=2 {
        entry.now += Duration::from_millis(200);
        let next = hop(entry.send_first(1, retransmissions));
        assert!(!tried.contains(&next), "{next:?} was tried");
        tried.push(next);
    }
}

/// Guards against flows that are counted again when they are placed anew after silence, or
/// when another entry gets a retransmission, and against a wrong class.
#[test]
fn only_the_first_copy_of_a_flow_is_new() {
    let mut entry = Entry::new(1..=2, 1);
    let first = entry.decide_first(1, 0);
    assert!(first.is_new && first.placed.is_some());
    let service = first
        .class
        .and_then(|c| entry.router.service_name(&flow(1), c));
    assert_eq!(service, Some("booking"));
    entry.now += Duration::from_secs(1);
    for (n, retransmissions) in [(1, 0), (2, 1)] {
        let again = entry.decide_first(n, retransmissions);
        assert!(!again.is_new && again.placed.is_some());
    }
    entry.router.set_upstreams(Vec::new());
    assert!(entry.decide_first(3, 0).is_new);
    assert!(!entry.decide_first(3, 1).is_new);
}

#[test]
fn a_late_copy_for_an_established_flow_goes_to_its_upstream() {
    let mut entry = Entry::new(1..=5, 1);
    let chosen = entry.open_flow(1);
    entry.send_later(1, chosen.token, false);
    entry.now += Duration::from_millis(300);
    assert_eq!(hop(entry.send_first(1, 1)), chosen);
}

#[test]
fn a_flow_without_a_route_is_reset_only_when_the_routes_are_current() {
    let mut entry = Entry::new(1..=2, 1);
    entry.router.set_routes(RouteTable::default());
    assert_eq!(
        entry.send_first(1, 0),
        Decision::Reset(ResetReason::NoRoute)
    );
    entry.router.set_routes_current(false);
    let decision = entry.send_first(1, 0);
    assert_eq!(decision, Decision::Drop(DropReason::RoutesOutOfDate));
}

#[test]
fn removing_a_route_does_not_affect_open_flows() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open_flow(1);
    entry.router.set_routes(RouteTable::default());
    assert_eq!(
        entry.send_later(1, chosen.token, false),
        Decision::Forward(chosen)
    );
}

#[test]
fn a_flow_without_upstreams_is_reset() {
    let mut entry = Entry::new([], 1);
    let decision = entry.send_first(1, 0);
    assert_eq!(decision, Decision::Reset(ResetReason::NoUpstream));
}

/// An entry that has just started may lack some upstreams. A caller that is reset comes
/// back later than one that only retransmits its first packet.
/// Guards against a stopped entry that wakes with old packets in its queue: it would
/// reset flows that another entry has opened meanwhile.
#[test]
fn no_flow_is_reset_while_packets_may_be_delayed() {
    let mut entry = Entry::new([], 1);
    let until = entry.now + Duration::from_millis(200);
    entry.router.set_catching_up_until(until);
    assert_eq!(entry.send_first(1, 0), Decision::Drop(DropReason::Delayed));
    entry.now = until;
    let refused = Decision::Reset(ResetReason::NoUpstream);
    assert_eq!(entry.send_first(2, 0), refused);
}

#[test]
fn a_flow_is_not_reset_before_the_upstream_list_is_complete() {
    let mut entry = Entry::new([], 1);
    entry.router.set_upstreams_complete(false);
    let decision = entry.send_first(1, 0);
    assert_eq!(decision, Decision::Drop(DropReason::UpstreamsIncomplete));
    entry.set_upstreams_with_closed(1..=2, 0);
    assert!(matches!(entry.send_first(1, 1), Decision::Forward(_)));
}

/// Opens flows faster than they end, and lets these last far longer than the baseline,
/// as at upstreams whose queues are full.
fn overload(entry: &mut Entry) {
    const STEP: Duration = Duration::from_millis(10);
    for n in 0..200 {
        let chosen = entry.open_flow(n);
        entry.send_later(n, chosen.token, false);
        entry.now += STEP;
        entry.send_later(n, chosen.token, true);
    }
    for n in 0..200 {
        if let Decision::Forward(chosen) = entry.send_first(1_000 + n, 0) {
            entry.send_later(1_000 + n, chosen.token, false);
        }
        if n % 4 == 0 && n >= 40 {
            entry.send_later(1_000 + n - 40, 1, true);
        }
        entry.now += STEP;
    }
}

#[test]
fn a_new_flow_is_refused_when_its_service_is_overloaded() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let refused = entry.send_first(9_000, 0);
    assert!(
        matches!(refused, Decision::Reset(ResetReason::Overloaded(_))),
        "{refused:?}"
    );
}

/// An upstream may have answered an earlier copy: a refusal would reset a flow that the
/// caller regards as open.
#[test]
fn a_retransmission_is_not_refused_under_overload() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let copy = entry.send_first(9_000, 1);
    assert!(matches!(copy, Decision::Forward(_)), "{copy:?}");
}

#[test]
fn non_idempotent_requests_are_admitted_where_others_are_refused() {
    let mut entry = Entry::new(1..=2, 1);
    overload(&mut entry);
    let once = Route {
        is_idempotent: false,
        ..route(&[("booking", 1)])
    };
    let routes = RouteTable::new([(SERVICE, once)]);
    entry.router.set_routes(routes);
    let decision = entry.send_first(9_000, 0);
    assert!(matches!(decision, Decision::Forward(_)), "{decision:?}");
}

#[test]
fn the_end_of_a_flow_removes_its_record() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open_flow(1);
    entry.send_later(1, chosen.token, false);
    assert_eq!(entry.router.tracked_flows(), 1);
    entry.send_later(1, chosen.token, true);
    assert_eq!(entry.router.tracked_flows(), 0);
    assert_eq!(
        entry.send_later(1, chosen.token, false),
        Decision::Forward(chosen)
    );
}

/// An upstream that takes requests and never answers would otherwise be reported only
/// once its callers have given up.
#[rstest]
#[case::tracked(Some(8.0), 1)]
#[case::not_tracked(None, 0)]
fn a_flow_that_lasts_too_long_is_reported_once_before_it_ends(
    #[case] overdue_factor: Option<f64>,
    #[case] reports: usize,
) {
    let settings = TokenSettings {
        overdue_factor,
        ..TokenSettings::default()
    };
    let mut entry = Entry::with_settings(settings, 1..=2, 1);
    for n in 0..20 {
        let chosen = entry.open_flow(n);
        entry.send_later(n, chosen.token, false);
        entry.now += Duration::from_millis(20);
        entry.send_later(n, chosen.token, true);
    }
    let chosen = entry.open_flow(100);
    entry.send_later(100, chosen.token, false);
    entry.router.take_observations();

    // The flow is overdue after eight times 20 ms, which is above its target of 150 ms.
    entry.now += Duration::from_millis(155);
    entry.router.record_overdue(entry.now);
    assert_eq!(entry.router.take_observations(), []);
    entry.now += Duration::from_millis(10);
    entry.router.record_overdue(entry.now);
    let reported = entry.router.take_observations();
    assert_eq!(reported.len(), reports);
    for observation in reported {
        assert_eq!(observation.key, chosen.token);
        assert!(observation.slowness_sum >= 8.0);
    }
    entry.now += Duration::from_millis(500);
    entry.router.record_overdue(entry.now);
    assert_eq!(entry.router.take_observations(), []);
}

/// Guards against unresponsive upstreams that are noticed only when callers retransmit, and
/// against reports after a pause of the process, in which answers were not read.
#[rstest]
#[case::late(Some(100), 0, 1)]
#[case::not_tracked(None, 0, 0)]
#[case::late_check(Some(100), 50, 0)]
fn a_late_answer_is_reported_before_the_caller_retransmits(
    #[case] timeout_ms: Option<u64>,
    #[case] check_delay_ms: u64,
    #[case] reports: usize,
) {
    let settings = TokenSettings {
        answer_timeout: timeout_ms.map(Duration::from_millis),
        ..TokenSettings::default()
    };
    let mut entry = Entry::with_settings(settings, 1..=2, 1);
    let answered = entry.open_flow(1);
    entry.send_later(1, answered.token, false);
    entry.now += Duration::from_millis(1);
    let chosen = entry.open_flow(2);
    let due = timeout_ms.map(|ms| entry.now + Duration::from_millis(ms));
    assert_eq!(entry.router.next_answer_time(), due);
    entry.now += Duration::from_millis(99);
    entry.router.record_late_answers(entry.now);
    assert_eq!(entry.router.unanswered().due_at(entry.now), None);
    entry.now += Duration::from_millis(1 + check_delay_ms);
    entry.router.record_late_answers(entry.now);
    let reported = entry.router.unanswered().take(entry.now);
    let keys: Vec<_> = reported.iter().map(|packets| packets.key).collect();
    assert_eq!(keys, vec![chosen.token; reports]);
    assert_eq!(entry.router.next_answer_time(), None);
}

#[test]
fn a_flow_expires_after_its_callers_timeout() {
    let mut entry = Entry::new(1..=2, 1);
    let chosen = entry.open_flow(1);
    entry.send_later(1, chosen.token, false);
    entry.now += TIMEOUT;
    while entry.router.pop_expired(entry.now).is_some() {}
    assert_eq!(entry.router.tracked_flows(), 1);
    entry.now += Duration::from_millis(300);
    while entry.router.pop_expired(entry.now).is_some() {}
    assert_eq!(entry.router.tracked_flows(), 0);
}

#[test]
fn flows_beyond_the_limit_are_routed_without_a_record() {
    let mut entry = Entry::new(1..=2, 1);
    let settings = TokenSettings {
        max_flows: 2,
        ..TokenSettings::default()
    };
    entry.router = TokenRouter::new(settings, PlacementSettings::default());
    let routes = RouteTable::new([(SERVICE, route(&[("booking", 1)]))]);
    entry.router.set_routes(routes);
    let upstreams = (1..=2).map(|n| upstream(n, entry.now)).collect();
    entry.router.set_upstreams(upstreams);
    for n in 0..10 {
        entry.open_flow(n);
    }
    assert_eq!(entry.router.tracked_flows(), 2);
}

/// A long identity is hashed to a token, so that two upstreams may get the same one. All
/// entries must resolve such a collision alike.
#[test]
fn the_older_of_two_upstreams_keeps_a_colliding_token() {
    let now = Instant::now();
    let mut colliding = upstream(2, now);
    colliding.0.identity = 1;
    let older = upstream(1, now);
    for listed in [
        vec![older.clone(), colliding.clone()],
        vec![colliding, older],
    ] {
        let mut entry = Entry::new([], 1);
        entry.router.set_upstreams(listed);
        for n in 0..10 {
            assert_eq!(entry.open_flow(n).address.ip().octets()[3], 1);
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
    let chosen = entry.open_flow(1);
    assert_ne!(chosen.token, 0);
    assert_eq!(chosen.identity, 0x7f3a_91c2_0000_0000);
}

#[test]
fn a_split_route_shares_flows_by_weight() {
    let route = route(&[("booking", 90), ("calendar", 10)]);
    let calendar = (0..1_000_u64)
        .filter(|hash| {
            route
                .select_service(*hash)
                .map(|index| &*route.services[index].0)
                == Some("calendar")
        })
        .count();
    assert_eq!(calendar, 100);
}

#[derive(Clone, Copy, Debug)]
enum FlowStep {
    Open(u16),
    Send(u16),
    End(u16),
    Wait(u64),
    Close(u8),
    Restart,
}

fn any_flow_step() -> impl Strategy<Value = FlowStep> {
    prop_oneof![
        (0..20_u16).prop_map(FlowStep::Open),
        (0..20_u16).prop_map(FlowStep::Send),
        (0..20_u16).prop_map(FlowStep::End),
        (1..400_u64).prop_map(FlowStep::Wait),
        (0..6_u8).prop_map(FlowStep::Close),
        Just(FlowStep::Restart),
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

    /// The packets of an open flow go to one upstream, whichever upstreams close and
    /// whenever the entry restarts.
    #[test]
    fn packets_of_an_open_flow_go_to_one_upstream(
        steps in prop::collection::vec(any_flow_step(), 1..120),
    ) {
        let mut entry = Entry::new(1..=5, 9);
        let mut open = std::collections::HashMap::new();
        for step in steps {
            match step {
                FlowStep::Open(n) => {
                    if let (false, Decision::Forward(chosen)) =
                        (open.contains_key(&n), entry.send_first(n, 0))
                    {
                        prop_assert!(entry.send_later(n, chosen.token, false) == Decision::Forward(chosen));
                        open.insert(n, chosen);
                    }
                }
                FlowStep::Send(n) | FlowStep::End(n) => {
                    if let Some(chosen) = open.get(&n).copied() {
                        let is_last = matches!(step, FlowStep::End(_));
                        let decision = entry.send_later(n, chosen.token, is_last);
                        prop_assert_eq!(decision, Decision::Forward(chosen));
                        if is_last {
                            open.remove(&n);
                        }
                    }
                }
                FlowStep::Wait(ms) => {
                    entry.now += Duration::from_millis(ms);
                    while entry.router.pop_expired(entry.now).is_some() {}
                }
                FlowStep::Close(closed) => entry.set_upstreams_with_closed(1..=5, closed),
                FlowStep::Restart => entry = Entry::new(1..=5, 10),
            }
        }
    }
}

/// A step of the test in which upstreams of other services reuse addresses.
#[derive(Clone, Copy, Debug)]
enum UpstreamStep {
    Open {
        n: u16,
        is_calendar: bool,
    },
    Send {
        n: u16,
        is_last: bool,
    },
    /// The upstream at the host drains.
    Drain(u8),
    /// The upstream at the host is gone, and one of the other service has its address.
    Reuse(u8),
    Wait(u64),
}

fn any_upstream_step() -> impl Strategy<Value = UpstreamStep> {
    prop_oneof![
        4 => (0..30_u16, any::<bool>()).prop_map(|(n, is_calendar)| UpstreamStep::Open { n, is_calendar }),
        4 => (0..30_u16, any::<bool>()).prop_map(|(n, is_last)| UpstreamStep::Send { n, is_last }),
        1 => (0..6_u8).prop_map(UpstreamStep::Drain),
        1 => (0..6_u8).prop_map(UpstreamStep::Reuse),
        1 => (1..600_u64).prop_map(UpstreamStep::Wait),
    ]
}

/// State of an upstream in the test below.
#[derive(Clone, Debug)]
struct ModelUpstream {
    identity: u64,
    host: u8,
    is_calendar: bool,
    is_open: bool,
}

const CALENDAR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

fn service_of(is_calendar: bool) -> &'static str {
    if is_calendar { "calendar" } else { "booking" }
}

/// Sets the upstreams of the model at the entry.
fn set_upstreams(entry: &mut Entry, model: &[ModelUpstream]) {
    let listed = model.iter().map(|upstream| {
        let (mut token_upstream, target) = self::upstream(upstream.host, entry.now);
        token_upstream.id = format!("i-{:08x}", upstream.identity).into();
        token_upstream.identity = upstream.identity;
        let target = target.filter(|_| upstream.is_open).map(|target| Target {
            service: service_of(upstream.is_calendar).into(),
            ..target
        });
        (token_upstream, target)
    });
    let listed = listed.collect();
    entry.router.set_upstreams(listed);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// A new flow goes to an open upstream of its route's service, whichever upstreams
    /// drain or lose their addresses to others. Later packets carry the identity of the
    /// upstream that it was opened at, even if another one has the address by then.
    #[test]
    fn no_packet_reaches_another_service(
        steps in prop::collection::vec(any_upstream_step(), 1..150),
    ) {
        let mut entry = Entry::new([], 9);
        let routes = [(SERVICE, false), (CALENDAR, true)]
            .map(|(address, is_calendar)| (address, route(&[(service_of(is_calendar), 1)])));
        entry.router.set_routes(RouteTable::new(routes));
        let mut model: Vec<_> = (0..6_u8)
            .map(|host| ModelUpstream {
                identity: u64::from(host) + 1,
                host,
                is_calendar: host % 2 == 1,
                is_open: true,
            })
            .collect();
        set_upstreams(&mut entry, &model);
        let mut open = std::collections::HashMap::new();
        for step in steps {
            match step {
                UpstreamStep::Open { n, is_calendar } => {
                    let packet = FirstPacket {
                        flow: FlowId {
                            service: if is_calendar { CALENDAR } else { SERVICE },
                            ..flow(n)
                        },
                        retransmissions: 0,
                    };
                    if open.contains_key(&n) {
                        continue;
                    }
                    if let Decision::Forward(hop) = entry.router.route_first(entry.now, packet).decision {
                        let chosen = model.iter().find(|u| u.identity == hop.identity).unwrap();
                        prop_assert!(chosen.is_open, "{chosen:?}");
                        prop_assert_eq!(chosen.is_calendar, is_calendar);
                        open.insert(n, (packet.flow, hop));
                    }
                }
                UpstreamStep::Send { n, is_last } => {
                    if let Some((flow, hop)) = open.get(&n).copied() {
                        let packet = LaterPacket { flow, token: hop.token, is_last };
                        let decision = entry.router.route_later(entry.now, packet);
                        prop_assert_eq!(decision, Decision::Forward(hop));
                        if is_last {
                            open.remove(&n);
                        }
                    }
                }
                UpstreamStep::Drain(host) => {
                    let newest = model.iter_mut().rfind(|u| u.host == host).unwrap();
                    newest.is_open = false;
                    set_upstreams(&mut entry, &model);
                }
                UpstreamStep::Reuse(host) => {
                    let previous = model.iter_mut().rfind(|u| u.host == host).unwrap();
                    previous.is_open = false;
                    let is_calendar = !previous.is_calendar;
                    model.push(ModelUpstream {
                        identity: model.len() as u64 + 1,
                        host,
                        is_calendar,
                        is_open: true,
                    });
                    set_upstreams(&mut entry, &model);
                }
                UpstreamStep::Wait(ms) => {
                    entry.now += Duration::from_millis(ms);
                    while entry.router.pop_expired(entry.now).is_some() {}
                }
            }
        }
    }
}

/// Passes upstreams 1 to 4 to the router, of which the even ones are in the remote domain
/// `b` and the others in the entry's domain `a`.
fn set_two_domains(entry: &mut Entry, evacuated: &[&str]) {
    entry
        .router
        .set_evacuated(evacuated.iter().map(|domain| (*domain).into()));
    let listed = (1..=4).map(|n| {
        let (token_upstream, target) = upstream(n, entry.now);
        let target = target.map(|target| Target {
            domain: if n.is_multiple_of(2) { "b" } else { "a" }.into(),
            is_local: !n.is_multiple_of(2),
            ..target
        });
        (token_upstream, target)
    });
    entry.router.set_upstreams(listed.collect());
}

fn is_in_b(hop: NextHop) -> bool {
    hop.address.ip().octets()[3].is_multiple_of(2)
}

/// Guards against new flows at an evacuated domain, and against open flows that are cut
/// by its evacuation.
#[test]
fn an_evacuated_domain_keeps_its_flows_and_gets_no_new_ones() {
    let mut entry = Entry::new([], 1);
    set_two_domains(&mut entry, &[]);
    let open: Vec<_> = (0..20).map(|n| entry.open_flow(n)).collect();
    let in_a = open.iter().filter(|hop| !is_in_b(**hop)).count();
    set_two_domains(&mut entry, &["a"]);
    assert_eq!(entry.router.open_flows_in("a") as usize, in_a);
    for (n, hop) in (0..).zip(&open) {
        assert_eq!(
            entry.send_later(n, hop.token, false),
            Decision::Forward(*hop)
        );
    }
    for n in 100..200 {
        let packet = FirstPacket {
            flow: flow(n),
            retransmissions: 0,
        };
        let decided = entry.router.route_first(entry.now, packet);
        assert!(is_in_b(hop(decided.decision)));
        assert!(decided.is_displaced, "the log must show the evacuation");
    }
}

/// Guards against flows that wait for a timeout when no domain is left, and against
/// domains that return together when only one evacuation is finished.
#[test]
fn flows_are_refused_without_a_domain_and_return_in_steps() {
    let mut entry = Entry::new([], 1);
    set_two_domains(&mut entry, &["a", "b"]);
    for n in 0..10 {
        assert_eq!(
            entry.send_first(n, 0),
            Decision::Reset(ResetReason::NoUpstream)
        );
    }
    set_two_domains(&mut entry, &["a"]);
    let hops: Vec<_> = (10..30).map(|n| entry.open_flow(n)).collect();
    assert!(hops.into_iter().all(is_in_b));
    set_two_domains(&mut entry, &[]);
    let hops: Vec<_> = (30..50).map(|n| entry.open_flow(n)).collect();
    assert!(!hops.into_iter().all(is_in_b));
}

/// Guards against the reset of a flow that an upstream has answered before its domain was
/// evacuated, by way of this entry or another one.
#[test]
fn a_copy_is_not_reset_when_all_domains_are_evacuated() {
    let mut entry = Entry::new([], 1);
    set_two_domains(&mut entry, &[]);
    entry.open_flow(0);
    set_two_domains(&mut entry, &["a", "b"]);
    entry.now += Duration::from_millis(200);
    let dropped = Decision::Drop(DropReason::NoUpstream);
    assert_eq!(entry.send_first(0, 0), dropped, "the flow has a record");
    assert_eq!(entry.send_first(1, 1), dropped, "a retransmission");
    assert_eq!(
        entry.send_first(2, 0),
        Decision::Reset(ResetReason::NoUpstream)
    );
}

/// An entry whose upstreams 1 and 2 are cold if they are listed in `cold`, at a limit of 5.
fn entry_with_cold(cold: &[u8]) -> Entry {
    let mut entry = Entry::new([], 1);
    let limit = WarmupLimit {
        overrun: 1.5,
        slack: 5.0,
    };
    entry.router.limit_cold_upstreams(entry.now, limit, 0);
    let warmup = ServiceWarmup {
        duration: Some(Duration::from_secs(30)),
        flows_per_second: 0.0,
    };
    let routes = RouteTable::new([(SERVICE, route(&[("booking", 1)]))]);
    entry
        .router
        .set_routes(routes.with_warmups([("booking".into(), warmup)]));
    set_cold(&mut entry, cold, &[]);
    entry
}

/// Passes upstreams 1 and 2 to the router, cold or in another domain if they are listed.
fn set_cold(entry: &mut Entry, cold: &[u8], remote: &[u8]) {
    let listed = (1..=2).map(|n| {
        let warm_at = entry.now + Duration::from_secs(if cold.contains(&n) { 30 } else { 0 });
        let is_local = !remote.contains(&n);
        let (token_upstream, target) = upstream(n, entry.now);
        let target = target.map(|target| Target {
            warm_at,
            is_local,
            domain: if is_local { "a" } else { "b" }.into(),
            ..target
        });
        (token_upstream, target)
    });
    entry.router.set_upstreams(listed.collect());
    entry.router.update_cold_upstreams(entry.now);
}

/// Guards against flows that are refused while cold upstreams of other domains have room,
/// and against permits for these that expire while warm ones take the flows.
#[rstest]
#[case::all_are_cold(&[1, 2], 2)]
#[case::a_local_one_is_warm(&[2], 0)]
#[case::a_remote_one_is_warm(&[1], 1)]
fn permits_are_requested_for_other_domains_when_none_is_warm(
    #[case] cold: &[u8],
    #[case] expected: usize,
) {
    let mut entry = entry_with_cold(cold);
    set_cold(&mut entry, cold, &[2]);
    entry.send_first(0, 0);
    let permits = entry.router.permits().unwrap();
    let request = permits.next_request(entry.now);
    let keys = request.map_or(0, |request| request.wanted[0].keys.len());
    assert_eq!(keys, expected);
}

/// Guards against a cold upstream that gets a flow without a permit: as a last resort for a
/// copy of a first packet, and because warm ones have more load.
#[test]
fn a_cold_upstream_gets_no_flow_without_a_permit() {
    let mut entry = entry_with_cold(&[2]);
    for n in 0..20 {
        assert_eq!(entry.open_flow(n).address.ip().octets()[3], 1);
    }
    entry.now += Duration::from_millis(200);
    let copy = hop(entry.send_first(0, 1));
    assert_eq!(copy.address.ip().octets()[3], 1);
    entry.now += Duration::from_secs(30);
    let warm = (20..30).map(|n| entry.open_flow(n).address.ip().octets()[3]);
    assert!(warm.collect::<Vec<_>>().contains(&2), "it is warm by now");
}

/// Guards against flows at an upstream that is known to be cold, until the next refresh.
#[test]
fn a_later_end_of_a_warm_up_takes_effect_at_once() {
    let mut entry = entry_with_cold(&[]);
    let end = entry.now + Duration::from_secs(30);
    entry.router.extend_warmup(entry.now, "i-00000002", 2, end);
    entry
        .router
        .extend_warmup(entry.now, "i-00000002", 2, entry.now);
    for n in 0..20 {
        assert_eq!(entry.open_flow(n).address.ip().octets()[3], 1);
    }
}

/// Guards against an upstream of a service that no configuration names, whose id has the number
/// of another one: it would take the token, and end the warm-up of the other one later.
#[rstest]
#[case::started_before(0)]
#[case::started_after(9)]
fn an_unnamed_service_takes_no_token(#[case] started_ms: u64) {
    let mut entry = entry_with_cold(&[]);
    entry.router.set_upstreams(vec![upstream(1, entry.now)]);
    let opened = entry.open_flow(0);
    let agent = TokenUpstream {
        id: "agent-00000001".into(),
        started_ms,
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 101), 80),
        identity: 1,
        is_named: false,
    };
    for is_first in [false, true] {
        let mut listed = vec![upstream(1, entry.now)];
        let position = if is_first { 0 } else { listed.len() };
        listed.insert(position, (agent.clone(), None));
        entry.router.set_upstreams(listed);
        let end = entry.now + Duration::from_secs(30);
        entry.router.extend_warmup(entry.now, &agent.id, 1, end);
        assert_eq!(entry.open_flow(1 + u16::from(is_first)), opened);
        let kept = hop(entry.send_later(0, opened.token, false));
        assert_eq!(kept.address, opened.address);
    }
}

/// Guards against flows that wait for a timeout when only cold upstreams are left, and
/// against the reset of one that an upstream has answered by way of another entry.
#[test]
fn a_flow_is_refused_when_only_cold_upstreams_are_left() {
    let mut entry = entry_with_cold(&[1, 2]);
    assert_eq!(
        entry.send_first(0, 0),
        Decision::Reset(ResetReason::OnlyCold)
    );
    assert_eq!(entry.send_first(1, 1), Decision::Drop(DropReason::OnlyCold));
}

/// Guards against permits that expire because idle warm upstreams come first, and against
/// more flows than there are permits.
#[test]
fn a_permit_is_used_for_the_next_flow() {
    let mut entry = entry_with_cold(&[2]);
    entry.open_flow(0);
    let permits = entry.router.permits().unwrap();
    let request = permits.next_request(entry.now).unwrap();
    let permit = Permit {
        key: request.wanted[0].keys[0],
        count: 1,
    };
    assert_eq!(request.wanted[0].limit, 5);
    permits.receive(entry.now, request.number, Duration::ZERO, &[permit]);
    let chosen: Vec<_> = (1..10)
        .map(|n| entry.open_flow(n).address.ip().octets()[3])
        .collect();
    assert_eq!(chosen, [2, 1, 1, 1, 1, 1, 1, 1, 1]);
}

/// Returns an entry that watches its own limit, with an open flow 0.
fn entry_with_limit() -> (Entry, NextHop) {
    let mut entry = Entry::new(1..=5, 1);
    let settings = CapacityLimitSettings::default();
    entry.router.watch_capacity(entry.now, settings);
    let hop = entry.open_flow(0);
    (entry, hop)
}

/// Guards against an entry at its limit that drops or resets open flows or copies of their
/// first packets, that goes on to take new flows, or that never resets one.
#[test]
fn an_entry_at_its_limit_takes_no_new_flows_and_serves_open_ones() {
    let (mut entry, hop) = entry_with_limit();
    let limit = entry.router.capacity_limit().unwrap();
    (0..50).for_each(|_| limit.record_sent());
    limit.record_full(entry.now);
    let dropped = Decision::Drop(DropReason::EntryLimit);
    assert_eq!(entry.send_first(1, 0), dropped);
    assert_eq!(entry.send_first(0, 1), Decision::Forward(hop));
    let later = entry.send_later(0, hop.token, false);
    assert_eq!(later, Decision::Forward(hop));
    // An unknown flow may have been placed by another entry before.
    assert!(matches!(entry.send_first(2, 1), Decision::Forward(_)));
    assert_eq!(entry.send_first(1, 1), dropped);
    // The link's buffer is no longer full.
    entry.now += Duration::from_millis(100);
    let reset = Decision::Reset(ResetReason::EntryLimit);
    assert_eq!(entry.send_first(3, 0), reset);
    assert_eq!(entry.send_first(4, 0), dropped);
    entry.now += Duration::from_secs(2);
    assert!(matches!(entry.send_first(1, 2), Decision::Forward(_)));
    assert!(matches!(entry.send_first(5, 0), Decision::Forward(_)));
}

/// Guards against an upstream that is avoided because the entry could not send to it.
#[test]
fn a_first_packet_that_was_not_sent_does_not_count_against_its_upstream() {
    let (mut entry, _) = entry_with_limit();
    entry.now += Duration::from_millis(200);
    entry.open_flow(1);
    entry.router.record_unsent(entry.now, &flow(1));
    // The first packet of the open flow was sent before.
    entry.router.record_unsent(entry.now, &flow(0));
    assert_eq!(entry.router.tracked_flows(), 1);
    entry.now += Duration::from_millis(200);
    let copy = entry.decide_first(1, 1);
    assert!(matches!(copy.decision, Decision::Forward(_)));
    assert_eq!(copy.unanswered_by, None);
    assert_eq!(entry.router.take_suspicion_changes(), []);
}
