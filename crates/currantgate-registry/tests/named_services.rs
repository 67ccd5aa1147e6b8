//! Tests of reports whose service the configuration in force doesn't name.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::report;
use currantgate_registry::{
    Availability, NamedServices, Record, RegistrySettings, Report, UpstreamRegistry, UpstreamState,
    UpstreamView, ViewSettings,
};
use rstest::rstest;

fn services(names: &[&str]) -> NamedServices {
    NamedServices::new(names.iter().map(|name| (*name).into()))
}

fn report_of(service: &str, id: &str, started_ms: u64, sequence: u64) -> Report {
    Report {
        service: service.into(),
        ..report(id, started_ms, sequence)
    }
}

fn registry(names: &[&str], max_upstreams: usize) -> UpstreamRegistry {
    let settings = RegistrySettings {
        max_upstreams,
        ..RegistrySettings::default()
    };
    let mut registry = UpstreamRegistry::new(settings);
    registry.set_services(services(names));
    registry
}

fn services_of(registry: &UpstreamRegistry) -> Vec<&str> {
    registry.iter().map(|r| &*r.report.service).collect()
}

/// Guards against a report of an unnamed service that takes the id, the sequence or the lease
/// of an upstream.
#[test]
fn an_unnamed_service_replaces_no_record() {
    let now = Instant::now();
    let mut registry = registry(&["booking"], 10);
    assert!(registry.apply_report(now, report("a", 5, 1)));
    let later = now + Duration::from_secs(2);
    assert!(!registry.apply_report(later, report_of("agent", "a", 9, 100)));
    assert!(!registry.apply_report(later, report_of("agent", "b", 9, 100)));
    assert_eq!(services_of(&registry), ["booking"]);
    // The lease is that of the upstream's own report.
    registry.expire(now + Duration::from_millis(3_000));
    assert!(registry.iter().all(|record| record.is_silent));
    assert!(registry.apply_report(later, report("a", 5, 2)));
}

/// Guards against an upstream that stays ignored after its service is named, and against one
/// that stays replaced by a report from before the first configuration.
#[test]
fn the_next_report_counts_once_its_service_is_named() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(RegistrySettings::default());
    assert!(registry.apply_report(now, report("a", 1, 1)));
    assert!(registry.apply_report(now, report_of("agent", "a", 9, 100)));
    assert!(!registry.apply_report(now, report("a", 1, 2)), "late");
    registry.set_services(services(&["booking"]));
    assert!(registry.apply_report(now, report("a", 1, 3)));
    assert!(!registry.apply_report(now, report_of("agent", "a", 9, 101)));
    assert!(!registry.apply_report(now, report_of("agent", "b", 9, 101)));
    registry.set_services(services(&["booking", "agent"]));
    assert!(registry.apply_report(now, report_of("agent", "b", 9, 102)));
}

/// Guards against upstreams that are out of date when their service is named again, and
/// against another writer that takes their place meanwhile.
#[test]
fn an_upstream_is_followed_while_its_service_is_not_named() {
    let now = Instant::now();
    let mut registry = registry(&["booking"], 10);
    registry.apply_report(now, report("a", 1, 1));
    registry.set_services(services(&["calendar"]));
    let mut draining = report("a", 1, 2);
    draining.state = UpstreamState::Draining;
    assert!(registry.apply_report(now, draining));
    assert!(!registry.apply_report(now, report_of("agent", "a", 9, 100)));
    let states: Vec<_> = registry.iter().map(|r| r.report.state).collect();
    assert_eq!(states, [UpstreamState::Draining]);
}

/// Guards against a departed upstream that is used again after a report of another writer.
#[test]
fn a_departure_is_not_replaced_by_an_unnamed_service() {
    let now = Instant::now();
    let mut registry = registry(&["booking"], 10);
    registry.mark_left(now, "a", Some(5));
    assert!(!registry.apply_report(now, report_of("agent", "a", 9, 1)));
    assert!(!registry.apply_report(now, report("a", 5, 2)), "has left");
    assert!(registry.apply_report(now, report("a", 6, 1)));
}

/// Guards against a registry that is full of records from before the first configuration.
#[test]
fn an_unnamed_service_takes_no_room_in_a_full_registry() {
    let now = Instant::now();
    let mut registry = registry(&["agent", "booking"], 2);
    registry.apply_report(now, report_of("agent", "x", 1, 1));
    registry.apply_report(now, report("a", 1, 1));
    let change = registry.last_change();
    registry.set_services(services(&["booking"]));
    assert!(registry.apply_report(now, report("b", 1, 1)));
    assert!(!registry.apply_report(now, report("c", 1, 1)), "it is full");
    assert_eq!(registry.len(), 2);
    let changed = registry.changes_after(change);
    assert_eq!(changed.len(), 1);
    assert_eq!(&*changed[0].report.id, "b");
}

fn source(n: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, n).into()
}

fn apply(view: &mut UpstreamView, now: Instant, from: u16, report: Report) -> usize {
    let records = vec![Record {
        report,
        is_silent: false,
    }];
    view.apply(now, source(from), records).len()
}

fn used(view: &mut UpstreamView, now: Instant) -> Vec<(Box<str>, Box<str>, Availability)> {
    let upstreams = view.upstreams(now).into_iter();
    let used = upstreams.filter(|u| u.is_named);
    used.map(|u| (u.report.id, u.report.service, u.availability))
        .collect()
}

/// Guards against entries that follow records of unnamed services, as control VMs of earlier
/// builds or with another configuration send them: from the same or another control VM, before
/// or after those of the upstream, with its id or its address.
#[rstest]
fn an_unnamed_service_displaces_no_upstream_in_the_view(
    #[values("a", "x", "z")] foreign_id: &str,
    #[values(1, 2)] from: u16,
    #[values(false, true)] comes_first: bool,
    #[values(1, 9)] started_ms: u64,
) {
    let now = Instant::now();
    let mut view = UpstreamView::new(ViewSettings::default());
    view.source_connected(now, source(1));
    view.source_connected(now, source(2));
    view.set_services(services(&["booking"]));
    let own = report("a", 5, 1);
    let mut foreign = report_of("agent", foreign_id, started_ms, 100);
    foreign.address = own.address;
    foreign.warmup_remaining = Duration::from_secs(60);
    if comes_first {
        apply(&mut view, now, from, foreign.clone());
    }
    apply(&mut view, now, 1, own);
    if !comes_first {
        assert_eq!(apply(&mut view, now, from, foreign.clone()), 0);
    }
    foreign.version.sequence += 1;
    assert_eq!(apply(&mut view, now, from, foreign), 0, "no later warm-up");
    let expected = [("a".into(), "booking".into(), Availability::Ready)];
    assert_eq!(used(&mut view, now), expected);
    // The packets of its open flows go to one address.
    let upstreams = view.upstreams(now);
    let same_id = upstreams.iter().filter(|u| &*u.report.id == "a");
    assert_eq!(same_id.count(), 1);
}

/// Guards against an entry that never learns of an upstream whose record came before the
/// configuration that names its service.
#[test]
fn an_upstream_is_used_once_the_entry_has_the_configuration() {
    let now = Instant::now();
    let mut view = UpstreamView::new(ViewSettings::default());
    view.source_connected(now, source(1));
    view.set_services(services(&["booking"]));
    apply(&mut view, now, 1, report("a", 1, 1));
    apply(&mut view, now, 1, report_of("calendar", "a", 2, 1));
    let booking = [("a".into(), "booking".into(), Availability::Ready)];
    assert_eq!(used(&mut view, now), booking);
    let generation = view.generation();
    view.set_services(services(&["booking", "calendar"]));
    assert!(view.generation() > generation);
    let calendar = [("a".into(), "calendar".into(), Availability::Ready)];
    assert_eq!(used(&mut view, now), calendar);
}

/// Guards against open flows that lose their upstream when a configuration moves their route to
/// another service.
#[test]
fn an_upstream_stays_in_the_view_when_its_service_is_no_longer_named() {
    let now = Instant::now();
    let mut view = UpstreamView::new(ViewSettings::default());
    view.source_connected(now, source(1));
    view.set_services(services(&["booking"]));
    apply(&mut view, now, 1, report("a", 1, 1));
    view.set_services(services(&["calendar"]));
    let upstreams = view.upstreams(now);
    assert_eq!(upstreams.len(), 1);
    assert_eq!(upstreams[0].availability, Availability::Ready);
    assert!(!upstreams[0].is_named);
}
