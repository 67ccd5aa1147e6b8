//! The time at which upstreams count as warm.

use std::time::{Duration, Instant};

use currantgate_token::ServiceWarmup;

/// Guards against upstreams of a domain that returns which count as warm although they
/// have just started, and against a domain's return that shortens a reported warm-up.
#[test]
fn upstreams_of_a_returned_domain_count_as_cold() {
    let warmup = ServiceWarmup {
        duration: Some(Duration::from_secs(20)),
        flows_per_second: 0.0,
    };
    let now = Instant::now();
    let after = |s| now + Duration::from_secs(s);
    let margin = Duration::from_secs(1);
    assert_eq!(warmup.warm_at(None, None), None);
    let reported = warmup
        .warm_at(Some((after(30), Duration::from_secs(30))), None)
        .unwrap();
    assert!(reported >= after(30) && reported < after(30) + margin);
    assert_eq!(
        warmup.warm_at(Some((after(30), Duration::from_secs(30))), Some(now)),
        Some(reported),
        "the reported warm-up ends later"
    );
    let returned = warmup.warm_at(None, Some(now)).unwrap();
    assert!(returned >= after(20) && returned < after(20) + margin);
}

/// Guards against cold upstreams without a limit where the configuration does not say how
/// long they stay cold, and against upstreams that count as cold without a known end.
#[test]
fn without_a_duration_only_reported_warm_ups_count() {
    let warmup = ServiceWarmup {
        duration: None,
        flows_per_second: 0.0,
    };
    let now = Instant::now();
    let end = now + Duration::from_secs(30);
    assert!(warmup.warm_at(Some((end, end - now)), Some(now)).unwrap() >= end);
    assert_eq!(warmup.warm_at(None, Some(now)), None);
}

/// Guards against upstreams that are still cold by their own clock, which is slower by up to
/// 1 %, when an entry takes them for warm.
#[test]
fn the_margin_grows_with_the_warm_up() {
    let minutes = |n: u64| Duration::from_secs(60 * n);
    let warmup = ServiceWarmup {
        duration: Some(minutes(50)),
        flows_per_second: 0.0,
    };
    let now = Instant::now();
    let drift = Duration::from_secs(30);
    let reported = warmup.warm_at(Some((now + minutes(50), minutes(50))), None);
    assert!(reported.unwrap() > now + minutes(50) + drift);
    assert_eq!(warmup.warm_at(None, Some(now)), reported);
    // An end that is near has a small margin, and does not hide one that is later with it.
    let near = Some((now + minutes(50) + drift / 2, Duration::from_secs(1)));
    assert_eq!(warmup.warm_at(near, Some(now)), reported);
    assert!(warmup.warm_at(near, None).unwrap() < now + minutes(50) + drift);
}
