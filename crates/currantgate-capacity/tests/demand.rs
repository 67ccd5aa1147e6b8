//! Tests of the merging of demand and of the shares that entries derive from it.

use std::time::{Duration, Instant};

use currantgate_capacity::{
    ClassDemand, DemandCollector, DemandSettings, DomainDemand, DomainSlots, EntryView,
    FleetDemand, Priority, ServiceDemand,
};
use indexmap::IndexMap;

const HALF_SECOND: Duration = Duration::from_millis(500);

const RUN_ONCE: Priority = Priority {
    is_idempotent: false,
    level: 1,
};

const IDEMPOTENT: Priority = Priority {
    is_idempotent: true,
    level: 1,
};

/// Returns the demand of flows that take 100 ms of a slot.
fn service(run_once: f32, idempotent: f32) -> ServiceDemand {
    let class = |priority, arrivals| ClassDemand { priority, arrivals };
    // Less than the slots of two domains can complete.
    let completions = (run_once + idempotent).min(90.0);
    ServiceDemand {
        service: "booking".into(),
        classes: vec![class(RUN_ONCE, run_once), class(IDEMPOTENT, idempotent)],
        completions,
        slot_ms: 100.0 * completions,
        slots: 10.0,
    }
}

fn domain(name: &str, run_once: f32, idempotent: f32) -> DomainDemand {
    DomainDemand {
        domain: name.into(),
        entries: 2,
        position: None,
        services: vec![service(run_once, idempotent)],
    }
}

/// Returns the shares of an entry of domain `a`.
fn shares(fleet: &mut FleetDemand, now: Instant) -> Option<currantgate_capacity::ServiceShares> {
    let slots = DomainSlots {
        effective: 10.0,
        flows: 10.0,
    };
    let slots = ["a", "b"].map(|name| (name.into(), slots));
    let slots: IndexMap<Box<str>, DomainSlots> = slots.into_iter().collect();
    let view = EntryView {
        service: "booking",
        domain: Some("a"),
        slots: &slots,
        change: 1.0,
        relative_demand: 1.0,
    };
    fleet.shares(now, &view)
}

/// Guards against rates that depend on how often entries report.
#[test]
fn reports_are_merged_to_rates_per_second() {
    let start = Instant::now();
    let mut collector = DemandCollector::new(DemandSettings::default());
    for step in 0..5 {
        let now = start + step * HALF_SECOND;
        collector.record(now, 7, "a", HALF_SECOND, &[service(5.0, 10.0)]);
        collector.record(now, 3, "a", HALF_SECOND, &[service(1.0, 0.0)]);
    }
    let published = collector.published(start + 4 * HALF_SECOND);
    let [demand] = published.as_slice() else {
        panic!("{published:?}");
    };
    assert_eq!((&*demand.domain, demand.entries), ("a", 2));
    let arrivals: Vec<_> = demand.services[0]
        .classes
        .iter()
        .map(|c| c.arrivals)
        .collect();
    assert_eq!(arrivals, [12.0, 20.0]);
    assert_eq!(demand.services[0].completions, 32.0);
    assert_eq!(demand.services[0].slots, 10.0);
    let positions = [3, 7, 9].map(|reporter| collector.position(reporter));
    assert_eq!(positions, [Some(0), Some(1), None]);
}

/// Guards against demand of entries that have died or moved to another collector.
#[test]
fn an_entry_that_stops_reporting_drops_out() {
    let start = Instant::now();
    let mut collector = DemandCollector::new(DemandSettings::default());
    for step in 0..5 {
        let now = start + step * HALF_SECOND;
        collector.record(now, 1, "a", HALF_SECOND, &[service(5.0, 5.0)]);
        if step < 2 {
            collector.record(now, 2, "a", HALF_SECOND, &[service(5.0, 5.0)]);
        }
    }
    let later = start + 4 * HALF_SECOND;
    assert_eq!(collector.published(later)[0].entries, 1);
    assert_eq!(collector.published(later + 3 * HALF_SECOND), []);
}

/// Guards against shares without the demand of the own domain, and from figures that no
/// longer hold.
#[test]
fn figures_are_used_until_they_are_cleared() {
    let now = Instant::now();
    let mut fleet = FleetDemand::new(DemandSettings::default());
    assert_eq!(shares(&mut fleet, now), None);
    fleet.update(domain("b", 10.0, 10.0));
    assert_eq!(shares(&mut fleet, now), None, "the own domain is unknown");
    fleet.update(domain("a", 10.0, 10.0));
    assert!(shares(&mut fleet, now).is_some());
    fleet.clear();
    assert_eq!(shares(&mut fleet, now), None);
}

/// Guards against refusals of requests that must run once while others are admitted.
#[test]
fn shares_follow_demand_and_priority() {
    let now = Instant::now();
    let mut fleet = FleetDemand::new(DemandSettings::default());
    // Together, 300 flows a second of 100 ms want 30 slots, and there are 20.
    fleet.update(domain("a", 100.0, 150.0));
    fleet.update(domain("b", 50.0, 0.0));
    let shares = shares(&mut fleet, now).unwrap();
    assert!((shares.work_ms - 100.0).abs() < 1e-3, "{shares:?}");
    assert!((shares.domains["a"] - 0.6).abs() < 0.01, "{shares:?}");
    assert!(
        (shares.own_share - 250.0 / 300.0 / 2.0).abs() < 0.01,
        "{shares:?}"
    );
    assert_eq!(shares.admitted[&RUN_ONCE], 1.0);
    assert!(shares.admitted[&IDEMPOTENT] < 1.0);
}
