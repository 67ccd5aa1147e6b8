//! Tests of placement by the demand of all entries.

use std::time::{Duration, Instant};

use currantgate_capacity::ClassDemand;
use currantgate_placement::{
    DemandSettings, DomainDemand, Placement, PlacementRequest, PlacementSettings, Priority,
    Refusal, ServiceDemand, Target, TargetKey,
};

const SECOND: Duration = Duration::from_secs(1);

const IDEMPOTENT: Priority = Priority {
    is_idempotent: true,
    level: 1,
};

const RUN_ONCE: Priority = Priority {
    is_idempotent: false,
    level: 1,
};

/// Returns an entry of domain `a`. Domains `a` and `b` have ten upstreams with two slots
/// each, with keys from 0 and from 10.
fn placement(now: Instant) -> Placement {
    let mut placement = Placement::new(PlacementSettings {
        demand: Some(DemandSettings::default()),
        ..PlacementSettings::default()
    });
    placement.set_targets((0..20).map(|key| Target {
        key,
        service: "booking".into(),
        domain: if key < 10 { "a" } else { "b" }.into(),
        is_local: key < 10,
        slots: 2,
        warm_at: now,
        is_reporting: true,
    }));
    placement
}

/// Returns the demand of a domain with two entries, of flows that take 100 ms.
fn demand(domain: &str, run_once: f32, idempotent: f32) -> DomainDemand {
    let class = |priority, arrivals| ClassDemand { priority, arrivals };
    let service = ServiceDemand {
        service: "booking".into(),
        classes: vec![class(RUN_ONCE, run_once), class(IDEMPOTENT, idempotent)],
        completions: 100.0,
        slot_ms: 10_000.0,
        slots: 20.0,
    };
    DomainDemand {
        domain: domain.into(),
        entries: 2,
        position: (domain == "a").then_some(0),
        services: vec![service],
    }
}

fn request(priority: Priority, may_refuse: bool) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "booking",
        priority,
        latency_target: SECOND,
        may_refuse,
        tried: &[],
    }
}

fn place(placement: &mut Placement, now: Instant) -> TargetKey {
    let request = request(IDEMPOTENT, true);
    placement.place(now, &request).expect("it is admitted").key
}

/// Returns the part of `count` flows that goes to domain `b`. Each flow ends at once.
fn remote_part(placement: &mut Placement, now: Instant, count: u32) -> f64 {
    let mut remote = 0;
    for _ in 0..count {
        let key = place(placement, now);
        placement.record_answer(now, key);
        placement.release(key, IDEMPOTENT);
        remote += u32::from(key >= 10);
    }
    f64::from(remote) / f64::from(count)
}

/// Guards against an entry that goes on with a view that no longer holds.
#[test]
fn flows_are_divided_by_demand_while_it_is_current() {
    let now = Instant::now();
    let mut placement = placement(now);
    // 280 flows a second of 100 ms want 28 of the 20 slots in domain a, of which 14 keep
    // a part free.
    placement.update_demand(now, &demand("a", 0.0, 280.0));
    placement.update_demand(now, &demand("b", 0.0, 0.0));
    let remote = remote_part(&mut placement, now, 2_000);
    assert!((remote - 0.5).abs() < 0.05, "{remote}");
    assert!(placement.shares("booking").is_some());
    placement.clear_demand();
    let remote = remote_part(&mut placement, now + 2 * SECOND, 100);
    assert_eq!(
        remote, 0.0,
        "by its own flows, the entry prefers its domain"
    );
    assert_eq!(placement.shares("booking"), None);
}

/// Guards against flows that are sent to a domain by its weight although its upstreams
/// don't answer.
#[test]
fn unresponsive_upstreams_of_the_drawn_domain_are_avoided() {
    let now = Instant::now();
    let mut placement = placement(now);
    placement.update_demand(now, &demand("a", 0.0, 10.0));
    for key in 0..10 {
        placement.record_no_answer(now, key, IDEMPOTENT, now);
    }
    assert_eq!(remote_part(&mut placement, now, 50), 1.0);
}

/// Guards against entries of an evacuated domain that don't share their demand.
#[test]
fn an_entry_without_local_upstreams_has_shares() {
    let now = Instant::now();
    let mut placement = Placement::new(PlacementSettings {
        demand: Some(DemandSettings::default()),
        ..PlacementSettings::default()
    });
    placement.set_targets([Target {
        key: 10,
        service: "booking".into(),
        domain: "b".into(),
        is_local: false,
        slots: 2,
        warm_at: now,
        is_reporting: true,
    }]);
    placement.update_demand(now, &demand("a", 0.0, 10.0));
    assert_eq!(remote_part(&mut placement, now, 50), 1.0);
    let shares = placement
        .shares("booking")
        .expect("the figures are current");
    assert_eq!(shares.domains["b"], 1.0);
}

/// Guards against refusals of flows that go before others, and of copies, which an
/// upstream may have answered.
#[test]
fn flows_beyond_capacity_are_refused_by_priority() {
    let now = Instant::now();
    let mut placement = placement(now);
    // The fleet completes 400 flows a second.
    placement.update_demand(now, &demand("a", 100.0, 700.0));
    placement.update_demand(now, &demand("b", 100.0, 700.0));
    let mut refused = 0;
    for _ in 0..200 {
        let placed = placement.place(now, &request(IDEMPOTENT, true));
        refused += u32::from(matches!(placed, Err(Refusal::Overloaded(_))));
    }
    // A quarter of the fleet's 40 slots, with 2.6 flows each, is this entry's share.
    assert!((161..176).contains(&refused), "{refused}");
    assert!(placement.place(now, &request(RUN_ONCE, true)).is_ok());
    assert!(placement.place(now, &request(IDEMPOTENT, false)).is_ok());
}

/// Guards against a fleet that refuses flows for which it has slots.
#[test]
fn no_flow_is_refused_while_demand_fits() {
    let now = Instant::now();
    let mut placement = placement(now);
    placement.update_demand(now, &demand("a", 0.0, 180.0));
    placement.update_demand(now, &demand("b", 0.0, 180.0));
    for _ in 0..200 {
        place(&mut placement, now);
    }
}

/// Guards against demand that grows with lost packets or shrinks with refusals, and
/// against slot times that include the way to callers.
#[test]
fn demand_counts_arrivals_without_copies_and_slot_times() {
    let now = Instant::now();
    let mut placement = placement(now);
    place(&mut placement, now);
    let copy = placement.place(now, &request(IDEMPOTENT, false)).unwrap();
    placement.record_handshake_time(copy.key, Duration::from_millis(6));
    placement.record_answer(now, copy.key);
    let duration = Duration::from_millis(42);
    for _ in 0..8 {
        placement.record_end(now + duration, copy.key, IDEMPOTENT, duration);
    }
    let [demand] = <[_; 1]>::try_from(placement.take_demand()).unwrap();
    let arrivals: Vec<_> = demand.classes.iter().map(|class| class.arrivals).collect();
    assert_eq!(arrivals, [1.0]);
    assert!((demand.slot_ms / demand.completions - 30.0).abs() < 0.01);
    assert_eq!(placement.take_demand(), []);
}

/// Guards against changes at sites that don't share their demand.
#[test]
fn without_demand_settings_published_demand_is_ignored() {
    let now = Instant::now();
    let mut placement = Placement::new(PlacementSettings::default());
    placement.update_demand(now, &demand("a", 0.0, 280.0));
    assert_eq!(placement.shares("booking"), None);
    assert_eq!(placement.take_demand(), []);
}
