//! Tests of the registry of one control VM.

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
#[case::next(1, 6, true)]
#[case::repeated(1, 5, false)]
#[case::delayed(1, 3, false)]
#[case::after_a_restart(2, 1, true)]
#[case::of_an_earlier_incarnation(0, 9, false)]
fn reports_are_ordered_by_start_and_sequence(
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
fn only_reports_that_affect_routing_are_changes() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 1));
    registry.apply_report(now, report("b", 1, 1));
    let seen_change = registry.last_change();
    registry.apply_report(now, report("a", 1, 2));
    assert!(
        registry.changes_after(seen_change).is_empty(),
        "a consecutive report with the same values is no change"
    );
    let mut draining = report("b", 1, 2);
    draining.state = UpstreamState::Draining;
    registry.apply_report(now, draining);
    let changed = registry.changes_after(seen_change);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].report.state, UpstreamState::Draining);
}

/// The upstream reported to another control VM in between. Listeners must get its new
/// report: otherwise that of the other control VM would count as the newest, also when it
/// marks the upstream as silent there.
#[test]
fn a_gap_in_the_sequence_is_a_change() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 1));
    let seen_change = registry.last_change();
    registry.apply_report(now, report("a", 1, 4));
    assert_eq!(registry.changes_after(seen_change).len(), 1);
}

#[test]
fn an_overdue_upstream_becomes_silent_and_is_removed_later() {
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
fn reports_of_an_incarnation_that_has_left_are_ignored() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 1, 5));
    registry.mark_left(now, "a", Some(1));
    assert!(!registry.apply_report(now, report("a", 1, 6)));
    assert_eq!(registry.snapshot()[0].report.state, UpstreamState::Gone);
    assert!(
        registry.apply_report(now, report("a", 2, 1)),
        "a later incarnation is accepted"
    );
}

#[test]
fn the_departure_of_an_earlier_incarnation_is_ignored() {
    let (mut registry, now) = registry();
    registry.apply_report(now, report("a", 2, 1));
    assert!(!registry.mark_left(now, "a", Some(1)));
    assert_eq!(registry.snapshot()[0].report.state, UpstreamState::Ready);
}

#[test]
fn the_departure_of_an_unknown_upstream_is_a_change() {
    let (mut registry, now) = registry();
    registry.mark_left(now, "a", Some(1));
    assert!(registry.changes_after(0)[0].report.is_departure());
}

#[test]
fn restored_records_are_in_use_until_they_are_overdue() {
    let (mut before, now) = registry();
    before.apply_report(now, report("a", 1, 5));
    let (mut after, _) = registry();
    after.restore(now, before.snapshot());
    assert_eq!(after.snapshot(), before.snapshot());
    after.expire(now + INTERVAL * 3);
    assert!(after.snapshot()[0].is_silent);
}

#[test]
fn upstreams_beyond_the_limit_are_ignored() {
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

/// Guards against entries that take an upstream for warm while it is cold: it becomes cold
/// again, or stays cold for longer, without a restart. Reports that only count down must
/// not be sent, as each would go to every entry.
#[rstest]
#[case::counts_down(9_000, 1_000, 8_000, false)]
#[case::arrives_a_little_late(9_000, 1_050, 8_000, false)]
#[case::does_not_advance(9_000, 1_000, 9_000, true)]
#[case::starts_again(9_000, 1_000, 20_000, true)]
#[case::cold_again(0, 1_000, 9_000, true)]
#[case::warm(1_000, 1_000, 0, true)]
fn a_longer_warm_up_is_a_change(
    #[case] before_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] after_ms: u64,
    #[case] is_change: bool,
) {
    let (mut registry, now) = registry();
    let mut cold = report("a", 1, 1);
    cold.warmup_remaining = Duration::from_millis(before_ms);
    registry.apply_report(now, cold);
    let seen_change = registry.last_change();
    let mut cold = report("a", 1, 2);
    cold.warmup_remaining = Duration::from_millis(after_ms);
    registry.apply_report(now + Duration::from_millis(elapsed_ms), cold);
    assert_eq!(registry.last_change() > seen_change, is_change);
}

/// Guards against a warm-up that grows by less than the tolerance with each report.
#[test]
fn a_warm_up_that_grows_slowly_is_a_change() {
    let (mut registry, now) = registry();
    let mut cold = report("a", 1, 1);
    cold.warmup_remaining = Duration::from_secs(10);
    registry.apply_report(now, cold.clone());
    let seen_change = registry.last_change();
    for n in 1..=3 {
        cold.version.sequence += 1;
        cold.warmup_remaining -= Duration::from_millis(950);
        registry.apply_report(now + n * Duration::from_secs(1), cold.clone());
    }
    assert!(registry.last_change() > seen_change);
}
