//! Decisions on shared demand: when a control VM publishes the demand of a failure domain,
//! and which figure an entry uses.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use currantgate::DemandChange::{OutOfDate, Renewed};
use currantgate::{DemandPublisher, DemandView, PublishedDemand, SentDemand, UnsentDemand};
use currantgate_capacity::{
    ClassDemand, DemandSettings, DomainDemand, DomainSlots, EntryView, FleetDemand, Priority,
    ServiceDemand,
};
use rstest::rstest;

const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn control(n: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, n), 1).into()
}

fn figure(entries: u16) -> DomainDemand {
    DomainDemand {
        domain: "a".into(),
        position: None,
        entries,
        services: Vec::new(),
    }
}

/// Returns the demand of a service in one class of each level, with 1 arrival per class.
fn service_demand(levels: &[u32]) -> ServiceDemand {
    let class = |level: &u32| ClassDemand {
        priority: Priority {
            is_idempotent: true,
            level: *level,
        },
        arrivals: 1.0,
    };
    ServiceDemand {
        service: "booking".into(),
        slots: 2.0,
        classes: levels.iter().map(class).collect(),
        completions: 2.0,
        slot_ms: 60.0,
    }
}

/// Returns the number of entries in the published figure of domain `a`, some of whose
/// entries have a feed or not.
fn published_entries(publisher: &mut DemandPublisher, now: Instant, has_feed: bool) -> Option<u16> {
    let feeds = has_feed.then(|| ("a".into(), 1)).into_iter().collect();
    let published = publisher.published(now, &feeds);
    published.first().map(|figure| figure.demand.entries)
}

/// Returns the number of entries in the figure that the view uses.
fn used_entries(view: &DemandView) -> Option<u16> {
    view.demands().next().map(|demand| demand.entries)
}

/// Guards against a new or restarted collector that publishes a fraction of a domain's
/// demand, as only a few entries have reported yet.
#[test]
fn a_collector_publishes_no_figure_before_all_entries_could_report() {
    let start = Instant::now();
    let mut publisher = DemandPublisher::new(start);
    for entry in 0..50 {
        let now = start + REPORT_INTERVAL * entry / 50;
        publisher.record(now, entry.into(), "a", REPORT_INTERVAL, &[]);
        assert_eq!(published_entries(&mut publisher, now, true), None);
    }
    assert_eq!(
        published_entries(&mut publisher, start + ms(990), true),
        Some(50)
    );
    // After a pause, the collector is a new one for the domain.
    let later = start + ms(4_000);
    assert_eq!(published_entries(&mut publisher, later, true), None);
    publisher.record(later, 0, "a", REPORT_INTERVAL, &[]);
    assert_eq!(
        published_entries(&mut publisher, later + ms(500), true),
        None
    );
}

/// Guards against a figure of a few entries that replaces a whole one which is still valid,
/// and against one that is kept once a later collector covers as many entries.
#[test]
fn an_entry_uses_the_figure_with_the_most_entries_within_its_lifetime() {
    let start = Instant::now();
    let mut view = DemandView::default();
    view.record(start, control(1), Duration::ZERO, figure(50));
    assert_eq!(view.update(start), Some(Renewed(vec![&figure(50)])));
    view.record(start + ms(1_000), control(2), Duration::ZERO, figure(3));
    assert_eq!(view.update(start + ms(1_000)), None);
    assert_eq!(used_entries(&view), Some(50));
    view.record(start + ms(1_500), control(2), Duration::ZERO, figure(50));
    assert_eq!(
        view.update(start + ms(1_500)),
        Some(Renewed(vec![&figure(50)]))
    );
    // A figure with fewer entries is used once the whole ones are out of date.
    view.record(start + ms(3_000), control(1), Duration::ZERO, figure(4));
    view.update(start + ms(3_000));
    assert_eq!(used_entries(&view), Some(50));
    assert_eq!(
        view.update(start + ms(3_500)),
        Some(Renewed(vec![&figure(4)]))
    );
}

/// Guards against entries that wait forever for the figures of a domain without entries,
/// and against a domain that is published as vacant while its entries have another
/// collector.
#[test]
fn a_domain_without_entries_is_published_as_vacant_for_a_while() {
    let start = Instant::now();
    let mut publisher = DemandPublisher::new(start);
    publisher.record(start, 0, "a", REPORT_INTERVAL, &[]);
    for (after, has_feed, expected) in [
        (900, true, Some(1)),
        (1_750, true, None),
        (2_000, false, Some(0)),
        (11_500, false, Some(0)),
        (11_750, false, None),
    ] {
        let entries = published_entries(&mut publisher, start + ms(after), has_feed);
        assert_eq!(entries, expected, "after {after} ms");
    }
}

/// Guards against entries without shares for as long as a domain is gone whose collector
/// has failed together with its entries, and against figures where no demand is shared.
#[rstest]
#[case::shared(true)]
#[case::not_shared(false)]
fn a_domain_that_is_lost_with_its_collector_becomes_vacant(#[case] is_demand_shared: bool) {
    let start = Instant::now();
    let mut publisher = DemandPublisher::new(start);
    let mut view = DemandView::default();
    // The last figure of the lost collector.
    view.record(start, control(1), Duration::ZERO, figure(50));
    for step in 0..80 {
        let now = start + ms(250) * step;
        if is_demand_shared && step % 2 == 0 {
            publisher.record(now, 0, "b", REPORT_INTERVAL, &[]);
        }
        // The feeds of the lost entries time out after 3 s.
        let fed = if step < 12 { &["a", "b"][..] } else { &["b"] };
        let feeds = fed.iter().map(|domain| ((*domain).into(), 1)).collect();
        for figure in publisher.published(now, &feeds).iter() {
            view.record(now, control(2), Duration::ZERO, figure.demand.clone());
        }
        view.update(now);
        let is_current = step < 8 || (is_demand_shared && step >= 12);
        assert_eq!(view.is_current(now), is_current, "after {step} steps");
    }
}

/// Passes a change of the view on as an entry does, and checks that there are shares of
/// domain `b` exactly while the view is current.
fn update_shares(view: &mut DemandView, fleet: &mut FleetDemand, now: Instant) {
    match view.update(now) {
        Some(Renewed(demands)) => demands.into_iter().for_each(|d| fleet.update(d.clone())),
        Some(OutOfDate) => fleet.clear(),
        None => {}
    }
    let slots = DomainSlots {
        effective: 10.0,
        flows: 10.0,
    };
    let entry = EntryView {
        service: "booking",
        domain: Some("b"),
        slots: &["a", "b"].map(|domain| (domain.into(), slots)).into(),
        change: 1.0,
        relative_demand: 1.0,
    };
    let has_shares = fleet.shares(now, &entry).is_some();
    assert_eq!(has_shares, view.is_current(now));
}

/// Guards against a view that is current again without the figures of a domain, as that
/// domain was forgotten after a while, and against one that is never current again once a
/// domain has no entries. Guards too against shares that are missing while the view is
/// current, as the zero figure of a forgotten domain still counted as out of date.
#[test]
fn a_domain_is_forgotten_only_once_it_is_vacant() {
    let start = Instant::now();
    let other = DomainDemand {
        domain: "b".into(),
        services: vec![service_demand(&[0])],
        ..figure(1)
    };
    let mut view = DemandView::default();
    let mut fleet = FleetDemand::new(DemandSettings::default());
    view.record(start, control(1), Duration::ZERO, figure(50));
    for second in 0..30 {
        let now = start + Duration::from_secs(second);
        view.record(now, control(2), Duration::ZERO, other.clone());
        update_shares(&mut view, &mut fleet, now);
        assert_eq!(view.is_current(now), second < 2, "after {second} s");
    }
    let now = start + Duration::from_secs(30);
    view.record(now, control(1), Duration::ZERO, figure(0));
    for second in 30..45 {
        let now = start + Duration::from_secs(second);
        view.record(now, control(2), Duration::ZERO, other.clone());
        update_shares(&mut view, &mut fleet, now);
        assert!(view.is_current(now), "after {second} s");
    }
    assert_eq!(view.demands().count(), 1);
}

/// Guards against placement that keeps the shares of an outdated view, or goes without the
/// figures that were received while the view was out of date, and against ages that do not
/// include the time before a figure was sent.
#[test]
fn placement_is_told_once_that_the_view_is_out_of_date() {
    let start = Instant::now();
    let other = DomainDemand {
        domain: "b".into(),
        ..figure(1)
    };
    let mut view = DemandView::default();
    view.record(start + ms(300), control(1), ms(300), figure(50));
    view.update(start + ms(300));
    assert_eq!(view.update(start + ms(1_999)), None);
    assert_eq!(view.update(start + ms(2_000)), Some(OutOfDate));
    view.record(start + ms(2_500), control(2), Duration::ZERO, other.clone());
    assert_eq!(view.update(start + ms(2_500)), None);
    view.record(start + ms(3_000), control(1), Duration::ZERO, figure(50));
    let renewed = view.update(start + ms(3_000));
    assert_eq!(renewed, Some(Renewed(vec![&figure(50), &other])));
}

/// Guards against gaps of 1.5 s and more between the figures of a domain, as figures that
/// become due between heartbeats waited for the next one.
#[test]
fn figures_are_sent_at_their_interval() {
    // With 300 domains, a figure of any size has the longest interval, 1.2 s; the numbers
    // below give intervals from 0.5 s on.
    for domains in (1..60).chain([300]) {
        let published = PublishedDemand::new(Instant::now(), figure(1), domains).unwrap();
        let published = [Rc::new(published)];
        let mut sent = SentDemand::default();
        let mut now = Instant::now();
        let mut last_sent = now;
        let mut heartbeats = 0;
        while heartbeats < 100 {
            if !sent.take_due(now, &published).is_empty() {
                let gap = now - last_sent;
                assert!(gap <= ms(1_300), "{gap:?} with {domains} domains");
                last_sent = now;
            }
            // Changes of state cause heartbeats at any time.
            let interval = ms(if heartbeats % 7 == 0 { 130 } else { 500 });
            now = sent.next_heartbeat(now + interval);
            heartbeats += 1;
        }
    }
}

/// Guards against demand that is lost with a report that can't be queued, which halved the
/// next rate.
#[test]
fn demand_that_was_not_reported_is_part_of_the_next_report() {
    let start = Instant::now();
    let mut unsent = UnsentDemand::new(start);
    unsent.add(vec![service_demand(&[0])]);
    unsent.add(vec![service_demand(&[1, 0])]);
    assert_eq!(unsent.period(start + ms(1_000)), ms(1_000));
    let [service] = unsent.demand() else {
        panic!("{:?}", unsent.demand());
    };
    let arrivals: Vec<_> = service.classes.iter().map(|c| c.arrivals).collect();
    assert_eq!(arrivals, [2.0, 1.0]);
    assert_eq!((service.completions, service.slot_ms), (4.0, 120.0));
}

/// Guards against reports sent back to back after a stall, whose rates are far too high,
/// and against numbers that spoil the sums of a domain.
#[test]
fn reports_that_are_short_or_invalid_are_not_merged() {
    let start = Instant::now();
    let mut publisher = DemandPublisher::new(start);
    assert!(publisher.record(start, 0, "a", ms(500), &[service_demand(&[0])]));
    assert!(publisher.record(start, 1, "a", ms(20), &[]));
    for number in [f32::NAN, f32::INFINITY, -1.0] {
        let mut report = [(); 4].map(|()| service_demand(&[0]));
        report[0].classes[0].arrivals = number;
        report[1].completions = number;
        report[2].slot_ms = number;
        report[3].slots = number;
        for invalid in report {
            assert!(!publisher.record(start, 2, "a", ms(500), &[invalid]));
        }
    }
    let entries = published_entries(&mut publisher, start + ms(900), true);
    assert_eq!(entries, Some(1));
}
