//! Tests of the division of demand among failure domains.

use currantgate_capacity::{DomainLoad, divide};
use proptest::prelude::*;

const LOCAL_FILL: f64 = 0.7;

fn loads() -> impl Strategy<Value = Vec<DomainLoad>> {
    let load = (0.0..300.0, 0.0..100.0).prop_map(|(demand, slots)| DomainLoad { demand, slots });
    prop::collection::vec(load, 1..6)
}

/// Returns the load of each domain after all domains have moved their demand.
fn filled(domains: &[DomainLoad]) -> Vec<f64> {
    let mut filled = vec![0.0; domains.len()];
    for (local, own) in domains.iter().enumerate() {
        let weights = divide(domains, local, LOCAL_FILL).expect("there are slots");
        for (sum, weight) in filled.iter_mut().zip(weights) {
            *sum += weight * own.demand;
        }
    }
    filled
}

proptest! {
    /// Guards against flows that are lost or counted twice.
    #[test]
    fn weights_are_shares(domains in loads(), local in 0_usize..6) {
        prop_assume!(domains.iter().any(|domain| domain.slots > 0.01));
        let weights = divide(&domains, local, LOCAL_FILL).unwrap();
        prop_assert!(weights.iter().all(|weight| *weight >= 0.0), "{weights:?}");
        let sum: f64 = weights.iter().sum();
        prop_assert!((sum - 1.0).abs() < 1e-6, "{sum}");
    }

    /// Guards against a domain whose queues fill while another one has free slots.
    #[test]
    fn no_domain_is_filled_beyond_the_cap(domains in loads()) {
        prop_assume!(domains.iter().all(|domain| domain.slots > 0.01));
        let slots: f64 = domains.iter().map(|domain| domain.slots).sum();
        let demand: f64 = domains.iter().map(|domain| domain.demand).sum();
        let cap = LOCAL_FILL.max(demand / slots);
        for (filled, domain) in filled(&domains).into_iter().zip(&domains) {
            prop_assert!(filled <= cap * domain.slots * (1.0 + 1e-6) + 1e-6);
        }
    }

    /// Guards against traffic between domains that is not needed.
    #[test]
    fn demand_stays_local_while_it_fits(domains in loads(), part in 0.0..1.0) {
        let mut domains = domains;
        prop_assume!(domains[0].slots > 0.01);
        domains[0].demand = part * LOCAL_FILL * domains[0].slots;
        let weights = divide(&domains, 0, LOCAL_FILL).unwrap();
        prop_assert!((weights[0] - 1.0).abs() < 1e-9, "{weights:?}");
    }

    /// Guards against entries that all move much load after a small change.
    #[test]
    fn a_small_change_of_demand_moves_little(domains in loads(), changed in 0_usize..6) {
        prop_assume!(domains.iter().all(|d| d.slots > 1.0 && d.demand > 1.0));
        let before = filled(&domains);
        let mut after = domains.clone();
        let changed = changed % domains.len();
        after[changed].demand += 1e-4;
        for (before, after) in before.iter().zip(filled(&after)) {
            prop_assert!((before - after).abs() < 0.01, "{before} {after}");
        }
    }
}

#[test]
fn without_slots_there_are_no_weights() {
    let load = DomainLoad {
        demand: 1.0,
        slots: 0.0,
    };
    assert_eq!(divide(&[load, load], 0, LOCAL_FILL), None);
}
