//! Tests of the schedule of view refreshes.

use std::time::{Duration, Instant};

use currantgate_registry::ViewRefreshTimer;
use rstest::rstest;

/// Simulates ten seconds with a change per `change_interval`. Returns the number of
/// refreshes and the longest time that a change waited for one.
fn simulate(upstreams: usize, change_interval: Duration) -> (u32, Duration) {
    let start = Instant::now();
    let mut timer = ViewRefreshTimer::new(start);
    let (mut refreshes, mut longest_wait) = (0, Duration::ZERO);
    let mut waiting_since: Option<Instant> = None;
    let mut next_change = start;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if now >= next_change {
            next_change = now + change_interval;
            timer.mark_changed();
            waiting_since.get_or_insert(now);
        }
        if timer.is_due(now) {
            timer.record_refresh(now, upstreams);
            refreshes += 1;
            if let Some(since) = waiting_since.take() {
                longest_wait = longest_wait.max(now - since);
            }
        }
    }
    (refreshes, longest_wait)
}

/// A refresh takes about 1 us per upstream; a hundredth of a core is 100 ms in ten
/// seconds. Drains must take effect in 3 s.
#[rstest]
#[case(18)]
#[case(150)]
#[case(3_000)]
#[case(40_000)]
fn frequent_changes_leave_time_for_packets(#[case] upstreams: usize) {
    let (refreshes, longest_wait) = simulate(upstreams, Duration::from_millis(2));
    let work = Duration::from_micros(u64::from(refreshes) * upstreams.min(10_000) as u64);
    assert!(
        work <= Duration::from_millis(100),
        "{refreshes} refreshes take {work:?}"
    );
    assert!(
        longest_wait <= Duration::from_millis(1_500),
        "a change waited {longest_wait:?}"
    );
}

/// The change may come right after a refresh that was due to time alone.
#[test]
fn a_single_change_is_applied_within_a_tenth_of_a_second() {
    let (_, longest_wait) = simulate(150, Duration::from_secs(2));
    assert!(
        longest_wait <= Duration::from_millis(100),
        "a change waited {longest_wait:?}"
    );
}

/// Upstreams also become unavailable by time alone.
#[test]
fn refreshes_go_on_without_changes() {
    let (refreshes, _) = simulate(150, Duration::from_secs(3_600));
    assert!(refreshes >= 10_000 / 1_500, "{refreshes} refreshes");
}
