//! Processor time of merging a failure domain's observations at the size to design
//! for, and bytes of the messages.
//!
//! The bounds are the limits for control in `docs/CAPACITY.md`: 1.2 % of a core, and
//! 1 KB a second and entry for observations.

use std::time::{Duration, Instant};

use currantgate_observation::{
    FleetObservations, FleetSettings, ObservationLog, SlowUpstream, slowness_changes,
};

/// Entries of one of 6 failure domains, of 5,700.
const ENTRIES: u64 = 950;

/// Upstreams of one of 6 failure domains, of 40,000.
const UPSTREAMS: u32 = 6_667;

/// Flows of an entry in the half second of a report: 540,000 a second at 5,700 entries.
const FLOWS_PER_REPORT: u32 = 47;

/// Reports of an entry each second.
const REPORTS_PER_SECOND: u32 = 2;

/// Simulated seconds.
const SECONDS: u32 = 10;

/// Most processor time for a second of reports: 1.2 % of a core.
const MAX_PER_SECOND: Duration = Duration::from_millis(12);

/// Most bytes of reports a second and entry.
const MAX_REPORT_BYTES: usize = 1_024;

/// Bytes of a frame around a message: length, MAC and the headers of HTTP/2 and TCP/IP.
const FRAME_BYTES: usize = 4 + 32 + 9 + 40;

fn encoded_len(message: &impl serde::Serialize) -> usize {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
    encoded.expect("the message can be encoded").len()
}

fn main() {
    let start = Instant::now();
    let mut fleet = FleetObservations::new(start, FleetSettings::default());
    let mut spent_by_tick = Vec::new();
    let mut known: Vec<SlowUpstream> = Vec::new();
    let (mut report_bytes, mut change_bytes) = (0, 0);
    for tick in 0..SECONDS * REPORTS_PER_SECOND {
        let now = start + Duration::from_millis(500) * (tick + 1);
        let mut spent = Duration::ZERO;
        for entry in 0..ENTRIES {
            let mut log = ObservationLog::default();
            for flow in 0..FLOWS_PER_REPORT {
                // A multiplicative hash spreads the flows; keys are as large as tokens.
                let seed = tick.wrapping_mul(7_919) ^ (entry as u32 * 64 + flow);
                let upstream = seed.wrapping_mul(2_654_435_761) % UPSTREAMS;
                let slowness = if upstream.is_multiple_of(50) {
                    5.0
                } else {
                    1.0
                };
                log.record(upstream << 16, slowness, Duration::from_millis(30));
            }
            let report = log.take();
            report_bytes = report_bytes.max(encoded_len(&report));
            let merging = Instant::now();
            fleet.record(now, entry, &report);
            spent += merging.elapsed();
        }
        let merging = Instant::now();
        let slow = fleet.slow_upstreams(now).to_vec();
        spent_by_tick.push(spent + merging.elapsed());
        let changes = slowness_changes(&known, &slow);
        change_bytes = change_bytes.max(encoded_len(&changes));
        known = slow;
    }
    // The median leaves out ticks in which other processes had the core.
    spent_by_tick.sort_unstable();
    let per_second = spent_by_tick[spent_by_tick.len() / 2] * REPORTS_PER_SECOND;
    let report_bytes = (report_bytes + FRAME_BYTES) * REPORTS_PER_SECOND as usize;
    println!(
        "{ENTRIES} entries, {UPSTREAMS} upstreams, {} slow",
        known.len()
    );
    println!("merging a second of reports: {per_second:?} (at most {MAX_PER_SECOND:?})");
    println!("reports, bytes a second and entry: {report_bytes} (at most {MAX_REPORT_BYTES})");
    println!("largest message of changes: {change_bytes} bytes");
    assert!(per_second <= MAX_PER_SECOND, "merging takes {per_second:?}");
    assert!(
        report_bytes <= MAX_REPORT_BYTES,
        "reports take {report_bytes}"
    );
    assert!(!known.is_empty(), "no upstream is found slow");
}
