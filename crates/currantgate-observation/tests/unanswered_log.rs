//! Reports of unanswered first packets.

use std::time::{Duration, Instant};

use currantgate_observation::{UnansweredLog, UnansweredPackets};

/// Guards against a report for each packet while many upstreams are unresponsive.
#[test]
fn the_first_packet_is_reported_at_once_and_later_ones_together() {
    let start = Instant::now();
    let mut log = UnansweredLog::default();
    assert_eq!(log.due_at(start), None);
    log.record(7);
    assert_eq!(log.due_at(start), Some(start));
    assert_eq!(log.take(start), [UnansweredPackets { key: 7, count: 1 }]);
    assert_eq!(log.due_at(start), None);
    log.record(8);
    log.record(8);
    let due = start + Duration::from_millis(100);
    assert_eq!(log.due_at(start), Some(due));
    assert_eq!(log.take(due), [UnansweredPackets { key: 8, count: 2 }]);
}

/// Guards against reports that exceed the limit of control traffic.
#[test]
fn a_report_is_bounded() {
    let mut log = UnansweredLog::default();
    (0..1_000).for_each(|key| log.record(key));
    assert_eq!(log.take(Instant::now()).len(), 32);
}
