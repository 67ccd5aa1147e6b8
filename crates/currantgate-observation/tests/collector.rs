//! The choice of the control VM that merges a domain's observations, and the ids of
//! the entries that report to it.

use std::net::SocketAddr;

use currantgate_observation::{choose_collector, reporter_id};

fn addresses(last: std::ops::Range<u8>) -> Vec<SocketAddr> {
    last.map(|n| SocketAddr::from(([10, 0, 0, n], 7720)))
        .collect()
}

#[test]
fn entries_of_a_domain_choose_the_same_whatever_the_order() {
    let forward = addresses(1..7);
    let backward: Vec<_> = forward.iter().rev().copied().collect();
    assert_eq!(
        choose_collector("riga-a", forward),
        choose_collector("riga-a", backward)
    );
    assert_eq!(choose_collector("riga-a", []), None);
}

#[test]
fn domains_are_spread_over_the_control_vms() {
    let mut counts = [0; 6];
    for n in 0..600 {
        let domain = format!("domain-{n}");
        let chosen = choose_collector(&domain, addresses(0..6)).expect("there are six");
        let all = addresses(0..6);
        counts[all
            .iter()
            .position(|a| *a == chosen)
            .expect("it is one of them")] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..160).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn only_the_domains_of_a_lost_control_vm_move() {
    for n in 0..100 {
        let domain = format!("domain-{n}");
        let before = choose_collector(&domain, addresses(0..6));
        let after = choose_collector(&domain, addresses(1..6));
        assert!(before == after || before == addresses(0..1).first().copied());
    }
}

#[test]
fn an_entry_keeps_its_id_over_connections() {
    assert_eq!(reporter_id("entry-a-1"), reporter_id("entry-a-1"));
    assert_ne!(reporter_id("entry-a-1"), reporter_id("entry-a-2"));
}
