//! Records of another writer, with values at the ends of their types, at all readers of
//! records: control VMs, their restart from disk, and entries.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use common::report;
use currantgate_registry::{
    Availability, Record, RegistrySettings, Report, ReportVersion, UpstreamRegistry, UpstreamView,
    ViewSettings,
};
use rstest::rstest;

/// Changes a report of upstream `odd` into an odd one.
type Oddity = fn(&mut Report);

fn longest_warmup(report: &mut Report) {
    report.warmup_remaining = Duration::MAX;
}

fn most_slots(report: &mut Report) {
    report.slots = u32::MAX;
}

fn no_slots_at_port_0(report: &mut Report) {
    report.slots = 0;
    report.address = SocketAddrV4::new(Ipv4Addr::BROADCAST, 0);
}

fn last_version(report: &mut Report) {
    report.version = ReportVersion {
        started_ms: u64::MAX,
        sequence: u64::MAX,
    };
}

fn odd_report(change: Oddity) -> Report {
    let mut report = report("odd", 1, 1);
    change(&mut report);
    report
}

/// Returns the availability of upstreams `good` and `odd` at an entry with these records.
fn availability_at_entry(now: Instant, records: Vec<Record>) -> [Option<Availability>; 2] {
    let source = (Ipv4Addr::LOCALHOST, 1).into();
    let mut view = UpstreamView::new(ViewSettings::default());
    view.source_connected(now, source);
    view.apply(now, source, records.clone());
    view.apply(now, source, records);
    let upstreams = view.upstreams(now);
    ["good", "odd"].map(|id| {
        let found = upstreams.iter().find(|u| &*u.report.id == id);
        found.map(|u| u.availability)
    })
}

/// Guards against entries that stop following the upstreams at a record.
#[rstest]
fn an_odd_record_on_a_feed_affects_no_other(
    #[values(longest_warmup, most_slots, no_slots_at_port_0, last_version)] change: Oddity,
) {
    let reports = [odd_report(change), report("good", 1, 1)];
    let records = reports.map(|report| Record {
        report,
        is_silent: false,
    });
    let [good, _] = availability_at_entry(Instant::now(), records.to_vec());
    assert_eq!(good, Some(Availability::Ready));
}

/// Guards against processes that end at a record, again after each restart as it is stored,
/// and against records after it that are not read.
#[rstest]
fn an_odd_record_affects_no_other(
    #[values(longest_warmup, most_slots, no_slots_at_port_0, last_version)] change: Oddity,
) {
    let now = Instant::now();
    let settings = RegistrySettings::for_interval(Duration::from_secs(1));
    let mut registry = UpstreamRegistry::new(settings.clone());
    registry.apply_report(now, odd_report(change));
    registry.apply_report(now, odd_report(change));
    let mut newer = odd_report(change);
    newer.version.sequence = newer.version.sequence.saturating_add(1);
    registry.apply_report(now, newer);
    registry.apply_report(now, report("good", 1, 1));
    let records = registry.snapshot();
    assert_eq!(records.len(), 2);

    let mut restarted = UpstreamRegistry::new(settings);
    restarted.restore(now, records);
    assert!(restarted.apply_report(now, report("good", 1, 2)));
    restarted.mark_left(now, "odd", None);
    restarted.expire(now + Duration::from_secs(1));
    assert_eq!(restarted.snapshot().len(), 2);
}
