//! Announcements and leases of upstreams.

mod common;

use std::time::Duration;

use common::{Cluster, address, announcement, domain_name};
use currantgate_membership::{AnnounceError, Announcement, Presence, UpstreamState};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a cluster with the upstream `up-1` in incarnation 5.
fn with_upstream() -> Cluster {
    let mut cluster = Cluster::serving(8, 4, 1);
    let first = announcement(5, 1, 0);
    cluster.announce(0, "booking", "up-1", first).unwrap();
    cluster.run(SECOND);
    cluster
}

#[rstest]
#[case::unknown_service("ballots", "up-2", announcement(1, 2, 0),
    AnnounceError::UnknownService("ballots".into()))]
#[case::wrong_domain(
    "booking",
    "up-2",
    announcement(1, 2, 7),
    AnnounceError::WrongDomain(domain_name(7))
)]
#[case::old_incarnation("booking", "up-1", announcement(4, 1, 0),
    AnnounceError::OldIncarnation { given: 4, known: 5 })]
#[case::address_changed(
    "booking",
    "up-1",
    announcement(5, 2, 0),
    AnnounceError::AddressChanged(address(1))
)]
#[case::address_in_use(
    "booking",
    "up-2",
    announcement(1, 1, 0),
    AnnounceError::AddressInUse(address(1))
)]
#[case::address_in_use_elsewhere(
    "calendar",
    "up-2",
    announcement(1, 1, 0),
    AnnounceError::AddressInUse(address(1))
)]
#[case::no_slots("booking", "up-2", Announcement { slots: 0, ..announcement(1, 2, 0) },
    AnnounceError::OutOfRange("slots", 65_536))]
#[case::too_many_slots("booking", "up-2", Announcement { slots: 65_537, ..announcement(1, 2, 0) },
    AnnounceError::OutOfRange("slots", 65_536))]
#[case::empty_name("booking", "", announcement(1, 2, 0), AnnounceError::BadName(64))]
#[case::invalid_name("booking", "up 2", announcement(1, 2, 0), AnnounceError::BadName(64))]
#[case::long_name("booking", &"u".repeat(65), announcement(1, 2, 0), AnnounceError::BadName(64))]
#[case::no_port("booking", "up-2",
    Announcement { address: ([10, 0, 0, 2], 0).into(), ..announcement(1, 2, 0) },
    AnnounceError::BadAddress(([10, 0, 0, 2], 0).into()))]
fn an_invalid_announcement_is_rejected_by_every_entry(
    #[case] service: &str,
    #[case] name: &str,
    #[case] given: Announcement,
    #[case] error: AnnounceError,
) {
    let mut cluster = with_upstream();
    let before = cluster.view(0);
    for at in 0..8 {
        let result = cluster.announce(at, service, name, given.clone());
        assert_eq!(result.unwrap_err(), error, "at {at}");
    }
    cluster.run(SECOND);
    assert_eq!(cluster.view(0), before);
}

#[test]
fn a_service_accepts_upstreams_of_its_own_domains_only() {
    let mut cluster = Cluster::new(1, 1, 1);
    cluster.services[0].domains = vec![domain_name(3)];
    cluster.start(0);
    let error = cluster.announce(0, "booking", "up-1", announcement(1, 1, 0));
    assert_eq!(
        error.unwrap_err(),
        AnnounceError::WrongDomain(domain_name(0))
    );
    let other = cluster.announce(0, "booking", "up-1", announcement(1, 1, 3));
    assert!(other.is_ok());
}

#[test]
fn a_full_table_accepts_no_upstream_until_one_expires() {
    let mut cluster = Cluster::new(1, 1, 1);
    cluster.max_upstreams = 2;
    cluster.start(0);
    for host in 1..=2 {
        let name = format!("up-{host}");
        let given = announcement(1, host, 0);
        cluster.announce(0, "booking", &name, given).unwrap();
    }
    let third = announcement(1, 3, 0);
    let full = cluster.announce(0, "booking", "up-3", third.clone());
    assert_eq!(full.unwrap_err(), AnnounceError::TooManyUpstreams(2));
    cluster.run_renewing(20, &[(0, "up-2", announcement(1, 2, 0))]);
    assert_eq!(cluster.presence(0, "up-1"), Some(Presence::Expired));
    cluster.announce(0, "booking", "up-3", third).unwrap();
    assert_eq!(cluster.presence(0, "up-1"), None);
}

#[test]
fn a_leaving_entry_rejects_announcements() {
    let mut cluster = with_upstream();
    let now = cluster.now;
    cluster.members(0).leave(now);
    let result = cluster.announce(0, "booking", "up-1", announcement(5, 1, 0));
    assert_eq!(result.unwrap_err(), AnnounceError::EntryLeaving);
}

#[test]
fn state_and_remaining_warmup_reach_every_entry() {
    let mut cluster = with_upstream();
    let warm = Announcement {
        state: UpstreamState::Warming,
        ..announcement(1, 2, 1)
    };
    let started = cluster.now;
    cluster.announce(1, "booking", "up-2", warm).unwrap();
    cluster.run(SECOND);
    for entry in cluster.entries.values() {
        let mut all = entry.members.upstreams();
        let (found, presence) = all.find(|(u, _)| &*u.name == "up-2").unwrap();
        assert_eq!(found.state, UpstreamState::Warming);
        assert_eq!(presence, Presence::Leased);
        let until = entry.members.warmup_until(found.id()).unwrap();
        let expected = started + SECOND * 10;
        assert!(until >= expected && until <= expected + SECOND / 10);
    }
}

#[test]
fn a_new_incarnation_ends_the_old_one_permanently() {
    let mut cluster = with_upstream();
    cluster
        .announce(4, "booking", "up-1", announcement(6, 1, 0))
        .unwrap();
    cluster.run(SECOND);
    for entry in cluster.entries.values() {
        let all = entry.members.upstreams();
        let shown: Vec<_> = all.map(|(u, p)| (u.incarnation, p)).collect();
        assert_eq!(shown, [(6, Presence::Leased), (5, Presence::Gone)]);
    }
}

#[test]
fn a_withdrawn_incarnation_is_gone_and_cannot_return() {
    let mut cluster = with_upstream();
    let now = cluster.now;
    let result = cluster.members(4).withdraw(now, "booking", "up-1", 5);
    assert_eq!(result, Ok(()));
    cluster.run(SECOND);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Gone); 8]);
    let again = cluster.announce(0, "booking", "up-1", announcement(5, 1, 0));
    assert_eq!(again.unwrap_err(), AnnounceError::IncarnationEnded(5));
    cluster.run(SECOND * 70);
    assert_eq!(cluster.presences("up-1"), vec![None; 8]);
    let late = cluster.announce(0, "booking", "up-1", announcement(5, 1, 0));
    assert!(matches!(late, Err(AnnounceError::OldIncarnation { .. })));
    cluster
        .announce(0, "booking", "up-1", announcement(6, 1, 0))
        .unwrap();
}

#[test]
fn one_silent_upstream_of_many_expires_and_stays_expired() {
    let mut cluster = Cluster::serving(8, 4, 2);
    let others: Vec<_> = (2..8)
        .map(|i| {
            (
                i % 8,
                format!("up-{i}"),
                announcement(1, i, usize::from(i % 4)),
            )
        })
        .collect();
    let others: Vec<_> = others
        .iter()
        .map(|(e, n, a)| (*e, &**n, a.clone()))
        .collect();
    let silent = announcement(1, 1, 0);
    cluster
        .announce(0, "booking", "up-1", silent.clone())
        .unwrap();
    cluster.run_renewing(5, &others);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Leased); 8]);
    cluster.run_renewing(3, &others);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Expired); 8]);
    cluster.run_renewing(300, &others);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Expired); 8]);
    cluster.announce(0, "booking", "up-1", silent).unwrap();
    cluster.run(SECOND);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Leased); 8]);
}

#[test]
fn the_address_of_an_expired_upstream_can_be_reused() {
    let mut cluster = Cluster::serving(8, 4, 3);
    let others = [
        (1, "up-2", announcement(1, 2, 1)),
        (2, "up-3", announcement(1, 3, 2)),
    ];
    cluster
        .announce(0, "booking", "up-1", announcement(1, 1, 0))
        .unwrap();
    cluster.run_renewing(8, &others);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Expired); 8]);
    cluster
        .announce(4, "calendar", "up-9", announcement(1, 1, 0))
        .unwrap();
    cluster.run(SECOND);
    assert_eq!(cluster.presences("up-9"), vec![Some(Presence::Leased); 8]);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Gone); 8]);
}

#[test]
fn renewals_at_two_entries_in_turn_add_little_traffic() {
    let mut cluster = with_upstream();
    // Heartbeats grow with their encoded sequence number, so warm up before measuring.
    bytes_sent_with_renewals_at(&mut cluster, &[0]);
    bytes_sent_with_renewals_at(&mut cluster, &[0]);
    let sent_before = sent(&cluster);
    let at_one_entry = bytes_sent_with_renewals_at(&mut cluster, &[0]) - sent_before;
    let sent_before = sent(&cluster);
    let at_two_entries = bytes_sent_with_renewals_at(&mut cluster, &[0, 4]) - sent_before;
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Leased); 8]);
    // Every other second one renewal is forwarded between the two entries.
    assert!(
        at_two_entries < at_one_entry + 30 * 60,
        "{at_two_entries} against {at_one_entry} bytes"
    );
}

fn bytes_sent_with_renewals_at(cluster: &mut Cluster, entries: &[u16]) -> u64 {
    for second in 0..30 {
        let at = entries[second % entries.len()];
        let given = announcement(5, 1, 0);
        cluster.announce(at, "booking", "up-1", given).unwrap();
        cluster.run(SECOND);
    }
    sent(cluster)
}

fn sent(cluster: &Cluster) -> u64 {
    cluster.entries.values().map(|e| e.sent).sum()
}

#[test]
fn a_load_hint_is_kept_only_at_the_entry_that_received_it() {
    let mut cluster = with_upstream();
    let given = Announcement {
        load: Some(250),
        ..announcement(5, 1, 0)
    };
    cluster.announce(0, "booking", "up-1", given).unwrap();
    cluster.run(SECOND);
    let id = *cluster.view(0).keys().next().unwrap();
    assert_eq!(cluster.members(0).load_hint(id), Some(250));
    assert_eq!(cluster.members(1).load_hint(id), None);
}

#[test]
fn upstreams_of_a_removed_service_are_removed_and_may_return() {
    let mut cluster = with_upstream();
    let services = cluster.services.clone();
    for id in 0..8 {
        cluster.members(id).set_services(services[1..].to_vec());
    }
    cluster.run(SECOND);
    assert_eq!(cluster.presences("up-1"), vec![None; 8]);
    for id in 0..8 {
        cluster.members(id).set_services(services.clone());
    }
    let again = announcement(5, 1, 0);
    cluster.announce(0, "booking", "up-1", again).unwrap();
    cluster.run(SECOND);
    assert_eq!(cluster.presences("up-1"), vec![Some(Presence::Leased); 8]);
}
