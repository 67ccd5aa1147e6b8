//! What one control VM keeps of the upstreams that report to it.

mod common;

use std::time::{Duration, Instant};

use common::report;
use currantgate_registry::{RegistrySettings, UpstreamRegistry, UpstreamState};
use rstest::rstest;

const INTERVAL: Duration = Duration::from_millis(1_200);

fn registry() -> (UpstreamRegistry, Instant) {
    let settings = RegistrySettings::for_interval(INTERVAL);
    (UpstreamRegistry::new(settings), Instant::now())
}

#[rstest]
#[case::the_next(1, 6, true)]
#[case::the_same_again(1, 5, false)]
#[case::one_that_was_delayed(1, 3, false)]
#[case::a_restart_counts_anew(2, 1, true)]
#[case::an_earlier_start(0, 9, false)]
fn reports_are_ordered_by_start_and_number(
    #[case] started_ms: u64,
    #[case] sequence: u64,
    #[case] expected: bool,
) {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 5));
    assert_eq!(
        registry.apply_report(now, report("a", started_ms, sequence)),
        expected
    );
}

#[test]
fn listeners_are_told_only_what_is_new() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 1));
    registry.apply_report(now, report("b", 1, 1));
    let told = registry.last_change();
    registry.apply_report(now, report("a", 1, 2));
    assert!(
        registry.changes_after(told).is_empty(),
        "a report as expected is no news"
    );
    let mut draining = report("b", 1, 2);
    draining.state = UpstreamState::Draining;
    registry.apply_report(now, draining);
    let news = registry.changes_after(told);
    assert_eq!(news.len(), 1);
    assert_eq!(news[0].report.state, UpstreamState::Draining);
}

/// It reported to another control VM meanwhile, whose word would otherwise
/// count as the newest when it says that the upstream fell silent there.
#[test]
fn an_upstream_that_has_come_back_is_news() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 1));
    let told = registry.last_change();
    registry.apply_report(now, report("a", 1, 4));
    assert_eq!(registry.changes_after(told).len(), 1);
}

#[test]
fn an_upstream_falls_silent_and_is_forgotten_later() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 1));
    registry.expire(now + INTERVAL * 2);
    assert!(!registry.snapshot()[0].is_silent);
    registry.expire(now + INTERVAL * 3);
    assert!(registry.snapshot()[0].is_silent);
    registry.expire(now + Duration::from_secs(200));
    assert!(registry.is_empty());
}

#[test]
fn nothing_brings_back_an_upstream_that_has_left() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 5));
    registry.mark_left(now, "a", Some(1));
    assert!(!registry.apply_report(now, report("a", 1, 6)));
    assert_eq!(registry.snapshot()[0].report.state, UpstreamState::Gone);
    assert!(
        registry.apply_report(now, report("a", 2, 1)),
        "it may start again"
    );
}

#[test]
fn an_earlier_incarnation_does_not_end_a_later_one() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 2, 1));
    assert!(!registry.mark_left(now, "a", Some(1)));
    assert_eq!(registry.snapshot()[0].report.state, UpstreamState::Ready);
}

#[test]
fn the_departure_of_an_unknown_upstream_is_told() {
    let (mut registry, now) = registry();
    registry.mark_left(now, "a", Some(1));
    assert!(registry.changes_after(0)[0].report.is_departure());
}

#[test]
fn what_was_known_before_a_restart_is_in_use_until_it_falls_silent() {
    let (mut before, now) = registry();
    before.apply_report(now, report("a", 1, 5));
    let (mut after, _) = registry();
    after.restore(now, before.snapshot());
    assert_eq!(after.snapshot(), before.snapshot());
    after.expire(now + INTERVAL * 3);
    assert!(after.snapshot()[0].is_silent);
}

#[test]
fn upstreams_beyond_the_limit_are_left_out() {
    let settings = RegistrySettings {
        max_upstreams: 1,
        ..RegistrySettings::default()
    };
    let mut registry = UpstreamRegistry::new(settings);
    let now = Instant::now();
    assert!(registry.apply_report(now, report("a", 1, 1)));
    assert!(!registry.apply_report(now, report("b", 1, 1)));
    assert_eq!(registry.len(), 1);
}
