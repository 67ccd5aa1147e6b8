//! Processor time of merging reports of demand at the size to design for.
//!
//! The bound is the limit for control in `docs/CAPACITY.md`: 1.2 % of a core for the
//! reports of a failure domain. The bytes of the messages are counted with real feeds in
//! `platform/tests/shared_demand.rs`.

use std::time::{Duration, Instant};

use currantgate_capacity::{
    ClassDemand, DemandCollector, DemandSettings, DomainDemand, Priority, ServiceDemand,
};

/// Failure domains of the site.
const DOMAINS: [&str; 6] = ["riga-a", "riga-b", "riga-c", "faro-a", "faro-b", "faro-c"];

/// Entries of one failure domain, of 5,700.
const ENTRIES: u64 = 950;

/// Reports of an entry each second.
const REPORTS_PER_SECOND: u32 = 2;

/// Times that a control VM merges the reports between two reports of an entry.
const UPDATES_PER_REPORT: u32 = 2;

/// Simulated seconds.
const SECONDS: u32 = 10;

/// Most processor time for a second of a domain's reports: 1.2 % of a core.
const MAX_PER_SECOND: Duration = Duration::from_millis(12);

/// Returns the report of one entry, of 3 classes of 2 services: 84 flows a second as a
/// mean.
fn report(entry: u64, tick: u32) -> Vec<ServiceDemand> {
    let service = |name: &str| ServiceDemand {
        service: name.into(),
        classes: (0..3)
            .map(|level| ClassDemand {
                priority: Priority {
                    is_idempotent: level > 0,
                    level,
                },
                // The multiplication varies the arrivals among entries and reports.
                arrivals: (entry * 7_919 + u64::from(tick * 31 + level) * 104_729) as f32 % 15.0,
            })
            .collect(),
        completions: 21.0,
        slot_ms: 21.0 * 30.0,
        slots: 80.0,
    };
    vec![service("availability"), service("booking")]
}

/// Merges the reports of all entries of `domains`; returns the median processor time for
/// a second of them, and the figures at the end.
fn measure(domains: &[&str]) -> (Duration, Vec<DomainDemand>) {
    let start = Instant::now();
    let report_interval = Duration::from_secs(1) / REPORTS_PER_SECOND;
    let mut collector = DemandCollector::new(DemandSettings::default());
    let mut spent_by_tick = Vec::new();
    let mut figures = Vec::new();
    for tick in 0..SECONDS * REPORTS_PER_SECOND {
        let now = start + report_interval * (tick + 1);
        let mut spent = Duration::ZERO;
        for (domain, first) in domains.iter().zip((0..).step_by(ENTRIES as usize)) {
            for entry in first..first + ENTRIES {
                let report = report(entry, tick);
                let merging = Instant::now();
                collector.record(now, entry, domain, report_interval, &report);
                spent += merging.elapsed();
            }
        }
        for update in 0..UPDATES_PER_REPORT {
            let updated_at = now + report_interval / UPDATES_PER_REPORT * update;
            let merging = Instant::now();
            figures = collector.published(updated_at);
            spent += merging.elapsed();
        }
        spent_by_tick.push(spent);
    }
    // The median leaves out ticks in which other processes had the core.
    spent_by_tick.sort_unstable();
    let per_second = spent_by_tick[spent_by_tick.len() / 2] * REPORTS_PER_SECOND;
    (per_second, figures)
}

fn main() {
    let (of_domain, _) = measure(&DOMAINS[..1]);
    let (of_all, figures) = measure(&DOMAINS);
    println!(
        "a second of reports of {ENTRIES} entries: {of_domain:?} (at most {MAX_PER_SECOND:?})"
    );
    println!(
        "of all {} entries at one control VM: {of_all:?}",
        ENTRIES * 6
    );
    assert_eq!(figures.len(), DOMAINS.len(), "a domain has no figure");
    assert!(of_domain <= MAX_PER_SECOND, "merging takes {of_domain:?}");
}
