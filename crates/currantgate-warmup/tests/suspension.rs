//! The detection of suspensions from two clocks.

use std::time::Duration;

use currantgate_warmup::{ClockReading, SuspensionDetector};

fn reading(boottime_ms: u64, monotonic_ms: u64) -> ClockReading {
    ClockReading {
        boottime: Duration::from_millis(boottime_ms),
        monotonic: Duration::from_millis(monotonic_ms),
    }
}

/// Guards against permits that outlive a suspension, and against those dropped without one
/// because the process was delayed between the two clocks.
#[test]
fn only_a_suspension_is_detected() {
    // The VM had been suspended before the process started.
    let mut detector = SuspensionDetector::new(reading(9_000, 5_000));
    assert!(!detector.detect(reading(10_000, 6_000)));
    assert!(!detector.detect(reading(10_100, 6_150)), "delayed by 50 ms");
    assert!(!detector.detect(reading(10_200, 6_200)));
    assert!(
        detector.detect(reading(10_300, 6_250)),
        "suspended by 50 ms"
    );
    assert!(!detector.detect(reading(10_400, 6_350)), "detected before");
}

/// Guards against short suspensions that add up without being noticed.
#[test]
fn short_suspensions_add_up() {
    let mut detector = SuspensionDetector::new(reading(0, 0));
    let detected = (1..=4).map(|n| detector.detect(reading(106 * n, 100 * n)));
    assert_eq!(detected.collect::<Vec<_>>(), [false, true, false, true]);
}

/// Guards against clocks whose readings can't be compared on this system.
#[test]
fn the_clocks_of_the_system_can_be_compared() {
    let mut detector = SuspensionDetector::new(ClockReading::now());
    let reading = ClockReading::now();
    let lead = reading.monotonic.saturating_sub(reading.boottime);
    assert!(lead < Duration::from_secs(1), "{reading:?}");
    assert!(reading.monotonic > Duration::ZERO);
    // A delay between the first two clocks can count as one suspension.
    detector.detect(reading);
}
