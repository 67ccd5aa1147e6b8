//! The detection of suspensions from two clocks.

use std::cell::Cell;
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

/// Guards against a pause between the clocks that hides a suspension of the same length, and
/// against one that is taken for a suspension.
#[test]
fn a_pause_between_the_clocks_hides_no_suspension() {
    let ms = Duration::from_millis;
    // The process is paused before or after the first reading of the second clock.
    for paused_before in [false, true] {
        let time = Cell::new(ms(5_000));
        let mut pauses = 1;
        let boottime = || {
            let pause = ms(50 * u64::from(std::mem::take(&mut pauses) > 0));
            let read_at = time.get() + if paused_before { pause } else { ms(0) };
            time.set(time.get() + pause);
            read_at + ms(50)
        };
        let read = ClockReading::read(boottime, || time.get());
        assert_eq!(read, reading(5_100, 5_050), "suspended by 50 ms");
    }
    // All attempts are paused.
    let time = Cell::new(ms(5_000));
    let boottime = || {
        let read_at = time.get();
        time.set(read_at + ms(50));
        read_at + ms(50)
    };
    let read = ClockReading::read(boottime, || time.get());
    assert!(SuspensionDetector::new(reading(0, 0)).detect(read));
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
