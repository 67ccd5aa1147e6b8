//! Many upstreams that go silent at once.

mod common;

use std::time::Duration;

use common::{Cluster, announcement};
use currantgate_membership::{Announcement, Presence};

const SECOND: Duration = Duration::from_secs(1);

const LEASED: Option<Presence> = Some(Presence::Leased);
const EXPIRED: Option<Presence> = Some(Presence::Expired);

/// Upstreams `up-1` to `up-count`, in turn at the entries.
fn fleet(count: u16, domains: usize, entries: u16) -> Vec<(u16, String, Announcement)> {
    let one = |i: u16| {
        let domain = usize::from(i) % domains;
        (i % entries, format!("up-{i}"), announcement(1, i, domain))
    };
    (1..=count).map(one).collect()
}

fn borrowed(fleet: &[(u16, String, Announcement)]) -> Vec<(u16, &str, Announcement)> {
    fleet
        .iter()
        .map(|(e, n, a)| (*e, &**n, a.clone()))
        .collect()
}

fn all_are(
    cluster: &Cluster,
    fleet: &[(u16, &str, Announcement)],
    wanted: Option<Presence>,
) -> bool {
    let is_wanted = |name| cluster.presences(name).iter().all(|p| *p == wanted);
    fleet.iter().all(|(_, name, _)| is_wanted(name))
}

#[test]
fn a_service_that_falls_silent_as_a_whole_is_kept_for_the_grace() {
    let mut cluster = Cluster::serving(8, 4, 1);
    let fleet = fleet(8, 4, 8);
    let fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    cluster.run(SECOND * 10);
    assert!(all_are(&cluster, &fleet, LEASED));
    cluster.run(SECOND * 4);
    assert!(all_are(&cluster, &fleet, EXPIRED));
}

#[test]
fn a_failure_domain_that_falls_silent_is_kept_for_the_grace() {
    let mut cluster = Cluster::serving(8, 4, 2);
    let fleet = fleet(16, 4, 8);
    let fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    let is_silent = |a: &Announcement| a.domain == common::domain_name(1);
    let (silent, rest): (Vec<_>, Vec<_>) = fleet.into_iter().partition(|(.., a)| is_silent(a));
    // Entries 1 and 5 stand in the domain and hear of no other upstream, so
    // that neither of them can confirm the silence.
    cluster.run_renewing(10, &rest);
    assert!(all_are(&cluster, &silent, LEASED));
    cluster.run_renewing(4, &rest);
    assert!(all_are(&cluster, &silent, EXPIRED));
    assert!(all_are(&cluster, &rest, LEASED));
}

#[test]
fn another_entry_that_hears_others_confirms_silence() {
    let mut cluster = Cluster::serving(8, 4, 3);
    let fleet = fleet(4, 1, 1);
    let fleet = borrowed(&fleet);
    let other = (4, "up-9", announcement(1, 9, 0));
    let mut all = fleet.clone();
    all.push(other.clone());
    cluster.run_renewing(10, &all);
    cluster.run_renewing(8, &[other]);
    assert!(all_are(&cluster, &fleet, EXPIRED));
}

#[test]
fn a_domain_that_is_cut_off_serves_on_and_comes_back() {
    let mut cluster = Cluster::serving(8, 4, 4);
    let fleet = fleet(16, 4, 8);
    let fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    cluster.partition_domain(1);
    cluster.run_renewing(10, &fleet);
    let cut: Vec<_> = fleet.iter().filter(|(e, ..)| e % 4 == 1).cloned().collect();
    assert!(all_are(&cluster, &cut, LEASED), "kept for the grace");
    cluster.run_renewing(110, &fleet);
    for (_, name, _) in &cut {
        assert_eq!(cluster.presence(1, name), LEASED, "{name} at home");
        assert_eq!(cluster.presence(0, name), EXPIRED, "{name} on the far side");
    }
    cluster.heal();
    cluster.run_renewing(5, &fleet);
    assert!(all_are(&cluster, &fleet, LEASED));
}

#[test]
fn an_entry_that_was_cut_off_from_all_expires_nothing_elsewhere() {
    let mut cluster = Cluster::serving(4, 4, 5);
    let fleet = fleet(8, 4, 4);
    let fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    cluster.partition_domain(3);
    cluster.run_renewing(60, &fleet);
    cluster.heal();
    for _ in 0..400 {
        cluster.run(Duration::from_millis(10));
        let home = fleet.iter().filter(|(e, ..)| *e != 3);
        for (_, name, _) in home {
            assert_eq!(cluster.presence(0, name), LEASED, "{name}");
        }
    }
}

#[test]
fn an_entry_that_stood_still_expires_nothing_by_its_own_clock() {
    let mut cluster = Cluster::serving(2, 1, 6);
    let fleet = fleet(4, 1, 1);
    let fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    cluster.entries.get_mut(&0).unwrap().is_paused = true;
    cluster.entries.get_mut(&1).unwrap().is_paused = true;
    cluster.run(SECOND * 60);
    cluster.entries.get_mut(&0).unwrap().is_paused = false;
    cluster.entries.get_mut(&1).unwrap().is_paused = false;
    cluster.run(SECOND);
    assert!(all_are(&cluster, &fleet, LEASED));
}

#[test]
fn upstreams_of_dead_entries_stay_when_they_announce_elsewhere() {
    let mut cluster = Cluster::serving(8, 4, 7);
    let fleet = fleet(8, 4, 8);
    let mut fleet = borrowed(&fleet);
    cluster.run_renewing(10, &fleet);
    cluster.kill(1);
    cluster.kill(2);
    for (entry, ..) in fleet.iter_mut().filter(|(e, ..)| matches!(e, 1 | 2)) {
        *entry += 4;
    }
    for _ in 0..30 {
        cluster.run_renewing(1, &fleet);
        assert!(all_are(&cluster, &fleet, LEASED));
    }
}
