//! UDP flows, which have no distinct first packet, and ICMP errors about flows.

mod common;

use std::time::Duration;

use common::{Simulation, TWO_SERVICES};
use currantgate_membership::UpstreamState;
use currantgate_packet::{FlowKey, PacketKind};

const UDP_SERVICE: &str = r#"
domains = ["a", "b", "c", "d"]

[[service]]
name = "booking"
address = "10.0.0.1:443"
protocol = "udp"
"#;

/// Opens UDP flows, whose first packet is any packet.
fn open_udp(sim: &mut Simulation, first: u32, count: u32) -> Vec<FlowKey> {
    let keys: Vec<_> = (first..first + count).map(|n| sim.flow_key(0, n)).collect();
    for _ in 0..6 {
        for key in &keys {
            sim.send(*key, PacketKind::Data);
            sim.run(Duration::from_millis(5));
        }
    }
    keys
}

#[test]
fn udp_flows_stay_at_a_drained_upstream_and_new_ones_go_elsewhere() {
    let mut sim = Simulation::new(21, 5, 64, UDP_SERVICE);
    let ups: Vec<_> = (0..5).map(|n| sim.add_upstream(0, n, 1)).collect();
    sim.publish_upstreams();
    sim.run_seconds(4);
    let keys = open_udp(&mut sim, 1, 200);
    assert!(keys.iter().all(|k| sim.flows[k].upstream.is_some()));
    let at_drained = keys
        .iter()
        .filter(|k| sim.flows[*k].upstream == Some(ups[0]))
        .count();
    assert!(at_drained > 0);

    sim.view_delay_ms = 1_500;
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.run_seconds(8);
    let later = open_udp(&mut sim, 1_000, 200);
    sim.send_via_all(&keys);
    sim.send_via_all(&later);
    assert_eq!(sim.broken_flows(), 0);
    assert_eq!(sim.misrouted, 0);
    let wrong = later
        .iter()
        .filter(|k| sim.flows[*k].upstream == Some(ups[0]));
    assert_eq!(wrong.count(), 0);
}

#[test]
fn errors_about_a_flow_reach_its_upstream_after_its_bucket_moved() {
    let mut sim = Simulation::new(22, 5, 64, TWO_SERVICES);
    let ups: Vec<_> = (0..5).map(|n| sim.add_upstream(0, n, 1)).collect();
    sim.publish_upstreams();
    sim.run_seconds(3);
    let keys = sim.open_flows_over(0, 200, Duration::from_secs(2));
    sim.set_state(ups[0], UpstreamState::Draining);
    sim.run_seconds(8);
    let entries: Vec<_> = sim.nodes.keys().copied().collect();
    for key in &keys {
        for entry in &entries {
            sim.send_via(*entry, *key, PacketKind::IcmpError);
        }
        sim.run(Duration::from_millis(5));
    }
    assert_eq!(sim.broken_flows(), 0);
    for key in &keys {
        assert_eq!(sim.flows[key].reached.len(), 1);
    }
}
