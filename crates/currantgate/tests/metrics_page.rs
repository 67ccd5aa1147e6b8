//! The guide's page lists the metrics of an entry.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use support::{Fixture, syn};

const PAGE: &str = include_str!("../../../guide/src/operators/entry.md");

#[actix_rt::test]
async fn the_guide_lists_exactly_the_metrics_of_an_entry() {
    let fixture = Fixture::start();
    // Metrics with labels are only served after their first increment.
    let to = fixture.entry.addresses().fabric;
    let packet = syn(SocketAddr::from(([127, 20, 0, 1], 443)));
    fixture.remote.send_to(&packet, to).unwrap();
    fixture.remote.send_to(b"no packet", to).unwrap();
    fixture
        .wait_for_sample("currantgate_entry_packets_refused", 1.0)
        .await;
    fixture
        .wait_for_sample("currantgate_entry_packets_dropped", 1.0)
        .await;
    let text = fixture.metrics().await;
    let served: BTreeSet<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    let rows = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `currantgate_"));
    let listed: BTreeSet<_> = rows
        .map(|row| format!("currantgate_{}", row.split('`').next().unwrap()))
        .collect();
    assert_eq!(
        listed.iter().map(String::as_str).collect::<BTreeSet<_>>(),
        served
    );
}
