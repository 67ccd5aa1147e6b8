//! Expiry of leases when many upstreams are silent at the same time.

mod common;

use std::time::Duration;

use common::{Cluster, announcement};
use currantgate_membership::{Announcement, Presence};

const SECOND: Duration = Duration::from_secs(1);

const LEASED: Option<Presence> = Some(Presence::Leased);
const EXPIRED: Option<Presence> = Some(Presence::Expired);

/// Returns the upstreams `up-1` to `up-count`, assigned to the entries in turn.
fn upstreams(count: u16, domains: usize, entries: u16) -> Vec<(u16, String, Announcement)> {
    let one = |i: u16| {
        let domain = usize::from(i) % domains;
        (i % entries, format!("up-{i}"), announcement(1, i, domain))
    };
    (1..=count).map(one).collect()
}

fn as_renewals(upstreams: &[(u16, String, Announcement)]) -> Vec<(u16, &str, Announcement)> {
    upstreams
        .iter()
        .map(|(e, n, a)| (*e, &**n, a.clone()))
        .collect()
}

fn all_are(
    cluster: &Cluster,
    upstreams: &[(u16, &str, Announcement)],
    expected: Option<Presence>,
) -> bool {
    let is_expected = |name| cluster.presences(name).iter().all(|p| *p == expected);
    upstreams.iter().all(|(_, name, _)| is_expected(name))
}

#[test]
fn leases_of_a_silent_service_last_for_the_grace_period() {
    let mut cluster = Cluster::serving(8, 4, 1);
    let upstreams = upstreams(8, 4, 8);
    let upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    cluster.run(SECOND * 10);
    assert!(all_are(&cluster, &upstreams, LEASED));
    cluster.run(SECOND * 4);
    assert!(all_are(&cluster, &upstreams, EXPIRED));
}

#[test]
fn leases_of_a_silent_failure_domain_last_for_the_grace_period() {
    let mut cluster = Cluster::serving(8, 4, 2);
    let upstreams = upstreams(16, 4, 8);
    let upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    let is_silent = |a: &Announcement| a.domain == common::domain_name(1);
    let (silent, rest): (Vec<_>, Vec<_>) = upstreams.into_iter().partition(|(.., a)| is_silent(a));
    // Entries 1 and 5 are in the domain and get announcements of no other upstream,
    // so neither of them can confirm the silence.
    cluster.run_renewing(10, &rest);
    assert!(all_are(&cluster, &silent, LEASED));
    cluster.run_renewing(4, &rest);
    assert!(all_are(&cluster, &silent, EXPIRED));
    assert!(all_are(&cluster, &rest, LEASED));
}

#[test]
fn an_entry_that_gets_other_announcements_confirms_silence() {
    let mut cluster = Cluster::serving(8, 4, 3);
    let upstreams = upstreams(4, 1, 1);
    let upstreams = as_renewals(&upstreams);
    let other = (4, "up-9", announcement(1, 9, 0));
    let mut all = upstreams.clone();
    all.push(other.clone());
    cluster.run_renewing(10, &all);
    cluster.run_renewing(8, &[other]);
    assert!(all_are(&cluster, &upstreams, EXPIRED));
}

#[test]
fn a_partitioned_domain_keeps_its_leases_and_recovers() {
    let mut cluster = Cluster::serving(8, 4, 4);
    let upstreams = upstreams(16, 4, 8);
    let upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    cluster.partition_domain(1);
    cluster.run_renewing(10, &upstreams);
    let partitioned: Vec<_> = upstreams
        .iter()
        .filter(|(e, ..)| e % 4 == 1)
        .cloned()
        .collect();
    assert!(
        all_are(&cluster, &partitioned, LEASED),
        "kept for the grace period"
    );
    cluster.run_renewing(110, &upstreams);
    for (_, name, _) in &partitioned {
        assert_eq!(
            cluster.presence(1, name),
            LEASED,
            "{name} in its own domain"
        );
        assert_eq!(
            cluster.presence(0, name),
            EXPIRED,
            "{name} in another domain"
        );
    }
    cluster.heal();
    cluster.run_renewing(5, &upstreams);
    assert!(all_are(&cluster, &upstreams, LEASED));
}

#[test]
fn a_partitioned_entry_expires_no_lease_of_others() {
    let mut cluster = Cluster::serving(4, 4, 5);
    let upstreams = upstreams(8, 4, 4);
    let upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    cluster.partition_domain(3);
    cluster.run_renewing(60, &upstreams);
    cluster.heal();
    for _ in 0..400 {
        cluster.run(Duration::from_millis(10));
        let elsewhere = upstreams.iter().filter(|(e, ..)| *e != 3);
        for (_, name, _) in elsewhere {
            assert_eq!(cluster.presence(0, name), LEASED, "{name}");
        }
    }
}

#[test]
fn a_resumed_entry_expires_no_lease_for_time_that_it_was_paused() {
    let mut cluster = Cluster::serving(2, 1, 6);
    let upstreams = upstreams(4, 1, 1);
    let upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    cluster.entries.get_mut(&0).unwrap().is_paused = true;
    cluster.entries.get_mut(&1).unwrap().is_paused = true;
    cluster.run(SECOND * 60);
    cluster.entries.get_mut(&0).unwrap().is_paused = false;
    cluster.entries.get_mut(&1).unwrap().is_paused = false;
    cluster.run(SECOND);
    assert!(all_are(&cluster, &upstreams, LEASED));
}

#[test]
fn upstreams_of_dead_entries_stay_leased_when_they_announce_elsewhere() {
    let mut cluster = Cluster::serving(8, 4, 7);
    let upstreams = upstreams(8, 4, 8);
    let mut upstreams = as_renewals(&upstreams);
    cluster.run_renewing(10, &upstreams);
    cluster.kill(1);
    cluster.kill(2);
    for (entry, ..) in upstreams.iter_mut().filter(|(e, ..)| matches!(e, 1 | 2)) {
        *entry += 4;
    }
    for _ in 0..30 {
        cluster.run_renewing(1, &upstreams);
        assert!(all_are(&cluster, &upstreams, LEASED));
    }
}
