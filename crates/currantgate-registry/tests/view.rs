//! Tests of the view that an entry builds from several control VMs.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::report;
use currantgate_registry::{
    Availability, Record, RegistrySettings, Report, UpstreamRegistry, UpstreamState, UpstreamView,
    ViewSettings,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const SECOND: Duration = Duration::from_secs(1);

fn source(n: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, n).into()
}

/// A view with the time at which it is queried.
struct TestView {
    inner: UpstreamView,
    now: Instant,
}

impl TestView {
    fn new(sources: u16) -> Self {
        let now = Instant::now();
        let mut inner = UpstreamView::new(ViewSettings::default());
        for n in 1..=sources {
            inner.source_connected(now, source(n));
        }
        Self { inner, now }
    }

    fn apply(&mut self, from: u16, report: Report, is_silent: bool) {
        let records = vec![Record { report, is_silent }];
        self.inner.apply(self.now, source(from), records);
    }

    fn availability(&mut self, id: &str) -> Option<Availability> {
        let upstreams = self.inner.upstreams(self.now);
        let found = upstreams.into_iter().find(|u| &*u.report.id == id);
        found.map(|u| u.availability)
    }
}

#[test]
fn an_upstream_that_reports_is_ready() {
    let mut view = TestView::new(1);
    view.apply(1, report("a", 1, 1), false);
    assert_eq!(view.availability("a"), Some(Availability::Ready));
}

/// Guards against entries that learn with the next refresh only that an upstream is cold.
#[test]
fn upstreams_that_are_cold_for_longer_are_returned() {
    let mut view = TestView::new(1);
    let mut apply = |sequence, remaining| {
        let mut report = report("a", 1, sequence);
        report.warmup_remaining = remaining * SECOND;
        let records = vec![Record {
            report,
            is_silent: false,
        }];
        let extended = view.inner.apply(view.now, source(1), records);
        extended
            .into_iter()
            .map(|(id, at)| (id, at - view.now))
            .collect::<Vec<_>>()
    };
    assert_eq!(apply(1, 0), [], "unknown so far");
    assert_eq!(apply(2, 5), [("a".into(), 5 * SECOND)], "cold by now");
    assert_eq!(apply(3, 4), [], "shorter");
    assert_eq!(apply(4, 6), [("a".into(), 6 * SECOND)], "longer");
    assert_eq!(apply(3, 9), [], "an older report");
}

#[test]
fn only_the_control_vm_with_the_newest_report_marks_an_upstream_silent() {
    let mut view = TestView::new(2);
    view.apply(1, report("a", 1, 1), false);
    view.apply(2, report("a", 1, 9), false);
    view.apply(1, report("a", 1, 1), true);
    assert_eq!(
        view.availability("a"),
        Some(Availability::Ready),
        "it has failed over to 2"
    );
    view.apply(2, report("a", 1, 9), true);
    assert_eq!(view.availability("a"), Some(Availability::Silent));
}

/// No other control VM has its report yet, so that it may still be failing over to one.
#[test]
fn an_upstream_stays_ready_for_a_time_after_the_loss_of_its_control_vm() {
    let mut view = TestView::new(2);
    view.apply(1, report("a", 1, 1), false);
    view.inner.source_disconnected(view.now, source(1));
    assert_eq!(view.availability("a"), Some(Availability::Ready));
    view.now += 5 * SECOND;
    assert_eq!(view.availability("a"), Some(Availability::Silent));
    view.apply(2, report("a", 1, 3), false);
    assert_eq!(view.availability("a"), Some(Availability::Ready));
}

#[test]
fn the_view_is_complete_some_time_after_the_first_connection() {
    let mut view = TestView::new(1);
    assert!(!view.inner.is_complete(view.now));
    view.now += 3 * SECOND;
    assert!(view.inner.is_complete(view.now));
    view.inner.source_connected(view.now, source(2));
    view.inner.source_disconnected(view.now, source(1));
    assert!(
        view.inner.is_complete(view.now),
        "another control VM is connected"
    );
    view.inner.source_disconnected(view.now, source(2));
    assert!(!view.inner.is_complete(view.now));
}

#[test]
fn an_older_report_is_ignored() {
    let mut view = TestView::new(2);
    let mut draining = report("a", 1, 5);
    draining.state = UpstreamState::Draining;
    view.apply(1, draining, false);
    view.apply(2, report("a", 1, 4), false);
    assert_eq!(view.availability("a"), Some(Availability::Closed));
}

/// A report that was delayed by a partition may contain an address that belongs to a
/// later upstream by now, perhaps of another service.
#[test]
fn an_address_belongs_to_the_upstream_that_started_last() {
    let mut view = TestView::new(1);
    let earlier = report("a", 1, 5);
    let mut later = report("b", 2, 1);
    later.address = earlier.address;
    view.apply(1, later, false);
    view.apply(1, earlier, false);
    assert_eq!(view.availability("a"), Some(Availability::Closed));
    assert_eq!(view.availability("b"), Some(Availability::Ready));
}

#[test]
fn an_upstream_that_left_stays_in_the_view_for_the_lifetime_of_flows() {
    let mut view = TestView::new(1);
    view.apply(1, report("a", 1, 1), false);
    let mut gone = report("a", 1, 2);
    gone.state = UpstreamState::Gone;
    view.apply(1, gone, false);
    assert_eq!(view.availability("a"), Some(Availability::Closed));
    view.now += 60 * SECOND;
    assert_eq!(view.availability("a"), Some(Availability::Closed));
    view.now += 60 * SECOND;
    assert_eq!(view.availability("a"), None);
}

#[test]
fn a_departure_without_a_report_closes_an_upstream() {
    let mut view = TestView::new(2);
    view.apply(1, report("a", 7, 1), false);
    view.apply(2, Report::departure("a", Some(7)), false);
    view.apply(1, report("a", 7, 2), false);
    assert_eq!(view.availability("a"), Some(Availability::Closed));
    view.apply(1, report("a", 8, 1), false);
    assert_eq!(view.availability("a"), Some(Availability::Ready));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Reports arrive late and at any control VM, and feeds are interrupted. Once all feeds
    /// are open, the view must have the newest report of each upstream.
    #[test]
    fn the_view_converges_to_the_newest_reports(
        steps in prop::collection::vec((0..3_usize, 0..4_usize, any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let mut registries: Vec<_> = (0..3)
            .map(|_| UpstreamRegistry::new(RegistrySettings::default()))
            .collect();
        let mut seen_changes = [0; 3];
        let mut view = UpstreamView::new(ViewSettings::default());
        let mut sequences = [0_u64; 4];
        let ids = ["a", "b", "c", "d"];
        for (vm, upstream, reconnects) in steps {
            if reconnects {
                view.source_disconnected(now, source(vm as u16));
                view.source_connected(now, source(vm as u16));
                seen_changes[vm] = 0;
            }
            sequences[upstream] += 1;
            let mut next = report(ids[upstream], 1, sequences[upstream]);
            if sequences[upstream] > 5 {
                next.state = UpstreamState::Draining;
            }
            registries[vm].apply_report(now, next);
            if !reconnects {
                view.apply(now, source(vm as u16), registries[vm].changes_after(seen_changes[vm]));
                seen_changes[vm] = registries[vm].last_change();
            }
        }
        for vm in 0..3 {
            view.apply(now, source(vm as u16), registries[vm].changes_after(seen_changes[vm]));
        }
        for upstream in view.upstreams(now) {
            let index = ids.iter().position(|id| *id == &*upstream.report.id).unwrap();
            let closed = sequences[index] > 5;
            prop_assert_eq!(upstream.availability == Availability::Closed, closed);
        }
    }
}

/// Guards against an entry that refuses all flows after it was cut off from all control VMs for
/// longer than the time after which upstreams are forgotten.
#[test]
fn no_upstream_is_forgotten_without_a_control_vm() {
    let mut view = TestView::new(1);
    view.apply(1, report("a", 1, 1), false);
    view.inner.source_disconnected(view.now, source(1));
    for _ in 0..300 {
        view.now += SECOND;
        let found = view.availability("a");
        assert!(found.is_some_and(|found| found != Availability::Closed));
    }
    // A control VM that has restarted has no record of it yet.
    view.inner.source_connected(view.now, source(1));
    assert_eq!(view.availability("a"), Some(Availability::Silent));
    view.now += 91 * SECOND;
    view.availability("a");
    assert_eq!(view.availability("a"), None);
}
