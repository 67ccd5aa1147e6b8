//! What an entry makes of several control VMs' words.

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

struct Entry {
    view: UpstreamView,
    now: Instant,
}

impl Entry {
    fn new(sources: u16) -> Self {
        let now = Instant::now();
        let mut view = UpstreamView::new(ViewSettings::default());
        for n in 1..=sources {
            view.source_connected(now, source(n));
        }
        Self { view, now }
    }

    fn hear(&mut self, from: u16, report: Report, is_silent: bool) {
        let records = vec![Record { report, is_silent }];
        self.view.apply(self.now, source(from), records);
    }

    fn availability(&mut self, id: &str) -> Option<Availability> {
        let upstreams = self.view.upstreams(self.now);
        let found = upstreams.into_iter().find(|u| &*u.report.id == id);
        found.map(|u| u.availability)
    }
}

#[test]
fn an_upstream_that_reports_is_ready() {
    let mut entry = Entry::new(1);
    entry.hear(1, report("a", 1, 1), false);
    assert_eq!(entry.availability("a"), Some(Availability::Ready));
}

#[test]
fn only_the_holder_of_the_newest_report_tells_silence() {
    let mut entry = Entry::new(2);
    entry.hear(1, report("a", 1, 1), false);
    entry.hear(2, report("a", 1, 9), false);
    entry.hear(1, report("a", 1, 1), true);
    assert_eq!(
        entry.availability("a"),
        Some(Availability::Ready),
        "it turned to 2"
    );
    entry.hear(2, report("a", 1, 9), true);
    assert_eq!(entry.availability("a"), Some(Availability::Silent));
}

/// Nobody else has heard it yet, so it may be alive and on its way.
#[test]
fn an_upstream_outlives_the_loss_of_its_control_vm_for_a_while() {
    let mut entry = Entry::new(2);
    entry.hear(1, report("a", 1, 1), false);
    entry.view.source_disconnected(entry.now, source(1));
    assert_eq!(entry.availability("a"), Some(Availability::Ready));
    entry.now += 5 * SECOND;
    assert_eq!(entry.availability("a"), Some(Availability::Silent));
    entry.hear(2, report("a", 1, 3), false);
    assert_eq!(entry.availability("a"), Some(Availability::Ready));
}

#[test]
fn the_view_is_complete_some_time_after_the_first_feed() {
    let mut entry = Entry::new(1);
    assert!(!entry.view.is_complete(entry.now));
    entry.now += 3 * SECOND;
    assert!(entry.view.is_complete(entry.now));
    entry.view.source_connected(entry.now, source(2));
    entry.view.source_disconnected(entry.now, source(1));
    assert!(entry.view.is_complete(entry.now), "another feed is open");
    entry.view.source_disconnected(entry.now, source(2));
    assert!(!entry.view.is_complete(entry.now));
}

#[test]
fn an_older_word_changes_nothing() {
    let mut entry = Entry::new(2);
    let mut draining = report("a", 1, 5);
    draining.state = UpstreamState::Draining;
    entry.hear(1, draining, false);
    entry.hear(2, report("a", 1, 4), false);
    assert_eq!(entry.availability("a"), Some(Availability::Closed));
}

/// A report that was delayed by a partition names an address that a later
/// upstream, of another service perhaps, has by now.
#[test]
fn an_address_belongs_to_the_upstream_that_started_last() {
    let mut entry = Entry::new(1);
    let earlier = report("a", 1, 5);
    let mut later = report("b", 2, 1);
    later.address = earlier.address;
    entry.hear(1, later, false);
    entry.hear(1, earlier, false);
    assert_eq!(entry.availability("a"), Some(Availability::Closed));
    assert_eq!(entry.availability("b"), Some(Availability::Ready));
}

#[test]
fn an_upstream_that_left_is_remembered_for_the_life_of_its_flows() {
    let mut entry = Entry::new(1);
    entry.hear(1, report("a", 1, 1), false);
    let mut gone = report("a", 1, 2);
    gone.state = UpstreamState::Gone;
    entry.hear(1, gone, false);
    assert_eq!(entry.availability("a"), Some(Availability::Closed));
    entry.now += 60 * SECOND;
    assert_eq!(entry.availability("a"), Some(Availability::Closed));
    entry.now += 60 * SECOND;
    assert_eq!(entry.availability("a"), None);
}

#[test]
fn the_bare_word_that_it_left_closes_an_upstream() {
    let mut entry = Entry::new(2);
    entry.hear(1, report("a", 7, 1), false);
    entry.hear(2, Report::departure("a", Some(7)), false);
    entry.hear(1, report("a", 7, 2), false);
    assert_eq!(entry.availability("a"), Some(Availability::Closed));
    entry.hear(1, report("a", 8, 1), false);
    assert_eq!(entry.availability("a"), Some(Availability::Ready));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Reports reach control VMs in any order and late; feeds break and open
    /// again. Once all feeds are open, the view has each upstream's last word.
    #[test]
    fn the_view_comes_to_the_newest_report(
        steps in prop::collection::vec((0..3_usize, 0..4_usize, any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let mut registries: Vec<_> = (0..3)
            .map(|_| UpstreamRegistry::new(RegistrySettings::default()))
            .collect();
        let mut told = [0; 3];
        let mut view = UpstreamView::new(ViewSettings::default());
        let mut sequences = [0_u64; 4];
        let ids = ["a", "b", "c", "d"];
        for (vm, upstream, breaks) in steps {
            if breaks {
                view.source_disconnected(now, source(vm as u16));
                view.source_connected(now, source(vm as u16));
                told[vm] = 0;
            }
            sequences[upstream] += 1;
            let mut next = report(ids[upstream], 1, sequences[upstream]);
            if sequences[upstream] > 5 {
                next.state = UpstreamState::Draining;
            }
            registries[vm].apply_report(now, next);
            if !breaks {
                view.apply(now, source(vm as u16), registries[vm].changes_after(told[vm]));
                told[vm] = registries[vm].last_change();
            }
        }
        for vm in 0..3 {
            view.apply(now, source(vm as u16), registries[vm].changes_after(told[vm]));
        }
        for upstream in view.upstreams(now) {
            let index = ids.iter().position(|id| *id == &*upstream.report.id).unwrap();
            let closed = sequences[index] > 5;
            prop_assert_eq!(upstream.availability == Availability::Closed, closed);
        }
    }
}
