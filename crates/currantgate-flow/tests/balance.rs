//! Balance of open flows between upstreams, by the reports of the primaries.

mod common;

use std::time::Duration;

use common::{Simulation, TWO_SERVICES};
use currantgate_flow::Phase;
use currantgate_membership::UpstreamState;
use currantgate_packet::{FlowKey, PacketKind};
use indexmap::IndexMap;

/// Guards against an upstream whose flows never end receiving its full share of
/// new flows, whatever its load endpoint reports.
#[test]
fn upstream_with_endless_flows_gets_fewer_new_ones() {
    let mut sim = Simulation::new(5, 4, 256, TWO_SERVICES);
    let slow = sim.add_upstream(0, 0, 1);
    for n in 1..5 {
        sim.add_upstream(0, n, 1);
    }
    sim.publish_upstreams();
    sim.run_seconds(22);
    let mut open = Vec::new();
    for _ in 0..60 {
        open.extend(sim.open_flows_over(0, 50, Duration::from_secs(1)));
        let at_slow = |sim: &Simulation, key: &FlowKey| sim.flows[key].upstream == Some(slow);
        let (kept, ending): (Vec<_>, Vec<_>) = open.into_iter().partition(|k| at_slow(&sim, k));
        for key in ending {
            sim.close_flow(key);
        }
        open = kept;
    }
    let mut counts: IndexMap<_, usize> = IndexMap::new();
    for key in sim.open_flows_over(0, 1_000, Duration::from_secs(4)) {
        if let Some(upstream) = sim.flows[&key].upstream {
            *counts.entry(upstream).or_default() += 1;
        }
    }
    let mean = counts.values().sum::<usize>() / counts.len();
    assert!(
        counts[&slow] * 100 < mean * 85,
        "{} new flows went to the slow upstream, the mean is {mean}",
        counts[&slow]
    );
}

/// Guards against first packets to a service without upstreams delaying the
/// plans of another service: planning for such a packet used to postpone the
/// timer that all services share.
#[test]
fn service_without_upstreams_does_not_delay_plans_of_another() {
    let mut sim = Simulation::new(6, 4, 32, TWO_SERVICES);
    sim.add_upstream(0, 0, 1);
    sim.publish_upstreams();
    sim.run_seconds(4);
    let late = sim.add_upstream(0, 1, 1);
    sim.upstreams[&late].0.state = UpstreamState::Warming;
    sim.publish_upstreams();
    for _ in 0..300 {
        for n in 0..24 {
            let key = sim.flow_key(1, n);
            sim.send(key, PacketKind::Open);
        }
        sim.run(Duration::from_millis(100));
    }
    let states = sim.nodes[&1].router.bucket_states();
    let owned = states
        .iter()
        .filter(|(_, phase)| *phase == Phase::Stable { owner: late });
    let owned = owned.count();
    assert!(owned >= 10, "the late upstream has {owned} of 32 buckets");
}
