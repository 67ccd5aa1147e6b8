//! Overlapping attempts to connect to a VM that starts while they are made.

use std::cell::Cell;
use std::time::Duration;

use currantgate_control::{ReconnectBackoff, first_to_end};
use rstest::rstest;
use tokio::time::{Instant, sleep_until, timeout};

const INTERVAL: Duration = Duration::from_millis(40);
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Attempts that were made before the VM has started are never answered, like
/// connection requests to a VM without power.
async fn connect(starts_at: Instant, attempts: &Cell<u32>) -> Instant {
    attempts.set(attempts.get() + 1);
    if Instant::now() < starts_at {
        std::future::pending::<()>().await;
    }
    sleep_until(Instant::now() + ROUND_TRIP).await;
    Instant::now()
}

#[rstest]
#[case::running(0)]
#[case::starts_soon(1)]
#[case::starts_between_two_attempts(130)]
#[case::starts_late(279)]
#[tokio::test(start_paused = true)]
async fn a_vm_is_reached_within_an_interval_of_its_start(#[case] starts_after_ms: u64) {
    let attempts = Cell::new(0);
    let starts_at = Instant::now() + Duration::from_millis(starts_after_ms);
    let connected = first_to_end(INTERVAL, || connect(starts_at, &attempts)).await;
    let delay = connected - starts_at;
    assert!(
        delay <= INTERVAL + ROUND_TRIP + Duration::from_millis(1),
        "{delay:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_refusal_ends_the_attempts_at_once() {
    let attempts = Cell::new(0);
    let refused: Result<(), &str> = first_to_end(INTERVAL, || {
        attempts.set(attempts.get() + 1);
        async { Err("refused") }
    })
    .await;
    assert_eq!(refused, Err("refused"));
    assert_eq!(attempts.get(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_timeout_bounds_the_number_of_attempts() {
    let attempts = Cell::new(0);
    let starts_at = Instant::now() + Duration::from_secs(60);
    let never = first_to_end(INTERVAL, || connect(starts_at, &attempts));
    let limit = Duration::from_millis(300);
    assert!(timeout(limit, never).await.is_err());
    assert_eq!(attempts.get(), 8);
}

/// Milliseconds between consecutive attempts of a connection that never succeeds.
fn delays_ms(isolated_for: Option<Duration>, attempts: usize) -> Vec<u128> {
    let start = std::time::Instant::now();
    let mut now = start + Duration::from_secs(60);
    let isolated_since = isolated_for.map(|time| now - time);
    let mut backoff = ReconnectBackoff::default();
    let mut next = || {
        let at = backoff.next_attempt(now, isolated_since);
        let delay = at - now;
        now = at;
        delay.as_millis()
    };
    (0..attempts).map(|_| next()).collect()
}

#[test]
fn a_lost_vm_is_tried_less_and_less_often() {
    assert_eq!(delays_ms(None, 6), [40, 80, 160, 320, 400, 400]);
}

#[test]
fn a_process_without_any_connection_tries_often_for_five_seconds() {
    let delays = delays_ms(Some(Duration::ZERO), 130);
    assert!(delays[..125].iter().all(|delay| *delay == 40), "{delays:?}");
    assert_eq!(delays[125..], [40, 80, 160, 320, 400]);
}

/// Guards against a removed VM that is tried as often as a live one, and against a process that
/// has lost all VMs and tries them as if they were removed.
#[test]
fn an_unlisted_vm_is_tried_rarely_unless_the_process_has_no_connection() {
    let now = std::time::Instant::now();
    let mut backoff = ReconnectBackoff::default();
    let next = backoff.next_attempt_to_unlisted(now, None);
    assert_eq!(next - now, Duration::from_secs(5));
    let isolated_since = Some(now - Duration::from_secs(60));
    for _ in 0..10 {
        let next = backoff.next_attempt_to_unlisted(now, isolated_since);
        assert!(next - now <= Duration::from_millis(400));
    }
}
