//! Open flows of evacuated failure domains: when an entry reports them, and their sums.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate::{
    EntryFlows, EvacuatedDomain, EvacuatedFlows, EvacuationStatus, FlowReports, OpenFlows,
};

const SECOND: Duration = Duration::from_secs(1);

fn control(n: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, n), 1).into()
}

fn report(evacuations: u64, open: &[(&str, u32)]) -> EvacuatedFlows {
    let open = open
        .iter()
        .map(|(domain, flows)| ((*domain).into(), *flows));
    EvacuatedFlows {
        evacuations,
        open: open.collect(),
    }
}

fn evacuated(domain: &str) -> EvacuatedDomain {
    EvacuatedDomain {
        domain: domain.into(),
        since_ms: None,
    }
}

/// Guards against reports that use up the bytes of control, and against a control VM that
/// has an outdated report or none after its feed was lost or a report could not be sent.
#[test]
fn a_report_is_sent_once_a_second_where_it_is_not_known() {
    let start = Instant::now();
    let mut reports = FlowReports::new(start);
    let due = |reports: &mut FlowReports, ms, flows, controls: &[u8]| {
        let now = start + Duration::from_millis(ms);
        let connected = controls.iter().map(|n| control(*n));
        reports.take_due(now, &report(1, &[("a", flows)]), connected)
    };
    assert_eq!(due(&mut reports, 0, 5, &[1]), [control(1)]);
    assert_eq!(due(&mut reports, 999, 4, &[1, 2]), []);
    assert_eq!(due(&mut reports, 1_000, 5, &[1, 2]), [control(2)]);
    assert_eq!(due(&mut reports, 2_000, 5, &[1, 2]), []);
    reports.remove(control(1));
    assert_eq!(due(&mut reports, 3_000, 5, &[1, 2]), [control(1)]);
    assert!(!reports.is_due(start + 3 * SECOND));
    let both = [control(1), control(2)];
    assert_eq!(due(&mut reports, 4_000, 4, &[1, 2]), both);
}

/// Guards against a domain that seems empty, or to have more flows than it has, by entries
/// that several control VMs know, that have not reported, or whose report is from before
/// the last order, and against a control VM that has not learned of the last order.
#[test]
fn each_entry_counts_once_and_unknown_ones_are_not_zero() {
    let entries = [
        // Control VM 1.
        ("e1", Some(report(7, &[("a", 3), ("b", 1)]))),
        ("e2", Some(report(7, &[]))),
        ("earlier-build", None),
        ("lagging", Some(report(6, &[("a", 9)]))),
        ("e4", None),
        // Control VM 2, which has the newer report of e1 and an earlier one of e2.
        ("e1", Some(report(7, &[("a", 2)]))),
        ("e2", Some(report(6, &[("a", 9)]))),
        ("earlier-build", None),
        ("e4", Some(report(7, &[("a", 4)]))),
    ];
    let entries = entries.map(|(name, report)| EntryFlows {
        name: name.into(),
        report,
    });
    let status = |revision, domains: &[&str]| EvacuationStatus {
        revision,
        evacuated: domains.iter().map(|d| evacuated(d)).collect(),
        ..EvacuationStatus::default()
    };
    let statuses = [
        status(6, &["a"]),
        status(7, &["a", "b", "c"]),
        status(0, &[]),
    ];
    let sum = |domain: &str, flows| OpenFlows {
        domain: domain.into(),
        flows,
        reported: 3,
        unknown: 2,
    };
    assert_eq!(
        OpenFlows::sum(&statuses, &entries),
        [sum("a", 7), sum("b", 1), sum("c", 0)]
    );
}
