//! The selection of new voters when voters are lost or missing.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_control::{Members, VoterChange, VoterId, VoterPlanner, VoterPlannerSettings};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn address(host: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, host), 7_000).into()
}

/// A site with voters 1 to 3 at hosts 1 to 3 in domains a to c. Voter 1 leads.
struct Site {
    planner: VoterPlanner,
    members: Members,
    now: Instant,
}

impl Site {
    fn new(target: usize) -> Self {
        let now = Instant::now();
        let settings = VoterPlannerSettings {
            min_voters: target,
            ..VoterPlannerSettings::default()
        };
        Self {
            planner: VoterPlanner::new(settings, now),
            members: Members::new((1..=3).map(|host| (VoterId::from(host), address(host)))),
            now,
        }
    }

    fn record_contact(&mut self, id: VoterId, host: u8, domain: &str) {
        self.planner
            .record_contact(self.now, id, address(host), domain);
    }

    /// Advances the time, with regular contact with the given voters.
    fn advance(&mut self, time: Duration, live: &[u8]) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND / 2;
            for host in live {
                let domain = ["a", "b", "c"][usize::from(*host) - 1];
                self.record_contact(VoterId::from(*host), *host, domain);
            }
        }
    }

    fn next_change(&mut self) -> Option<VoterChange> {
        self.next_change_with(&[])
    }

    fn next_change_with(&mut self, departing: &[VoterId]) -> Option<VoterChange> {
        let is_departing = |id| departing.contains(&id);
        self.planner
            .next_change(self.now, 1, &self.members, is_departing)
    }
}

#[test]
fn live_voters_are_not_replaced() {
    let mut site = Site::new(3);
    site.advance(10 * SECOND, &[2, 3]);
    site.record_contact(77, 4, "d");
    assert_eq!(site.next_change(), None);
}

#[test]
fn a_lost_voter_is_replaced_by_a_standby() {
    let mut site = Site::new(3);
    site.advance(5 * SECOND, &[2]);
    site.record_contact(77, 4, "d");
    let expected = VoterChange {
        lost: Some(3),
        fresh: 77,
        address: address(4),
    };
    assert_eq!(site.next_change(), Some(expected));
}

#[test]
fn a_lost_voter_is_kept_without_a_standby() {
    let mut site = Site::new(3);
    site.advance(5 * SECOND, &[2]);
    assert_eq!(site.next_change(), None);
}

#[test]
fn a_voter_that_lost_its_disk_is_replaced_immediately_by_its_successor() {
    let mut site = Site::new(3);
    site.advance(SECOND, &[2, 3]);
    site.now += 3 * SECOND;
    site.record_contact(2, 2, "b");
    // Voter 3 has restarted with an empty disk, and therefore with a new id.
    site.record_contact(77, 3, "c");
    let change = site.next_change().unwrap();
    assert_eq!((change.lost, change.fresh), (Some(3), 77));
}

/// Guards against a lost voter that stays when the leader changes after its successor was
/// added: the quorum of four voters needs all three that are alive.
#[rstest]
#[case::by_another_leader(1, 77)]
#[case::by_the_successor(77, 1)]
fn an_interrupted_replacement_is_completed_without_a_standby(
    #[case] leader: VoterId,
    #[case] expected: VoterId,
) {
    let mut site = Site::new(3);
    let voters = [(1, 1), (2, 2), (3, 3), (77, 3)];
    site.members = Members::new(voters.map(|(id, host)| (id, address(host))));
    for (id, host, domain) in [(1, 1, "a"), (2, 2, "b"), (77, 3, "c")] {
        if id != leader {
            site.record_contact(id, host, domain);
        }
    }
    let change = site
        .planner
        .next_change(site.now, leader, &site.members, |_| false);
    let expected = VoterChange {
        lost: Some(3),
        fresh: expected,
        address: site.members.address(expected).unwrap(),
    };
    assert_eq!(change, Some(expected));
}

#[test]
fn a_new_leader_waits_before_it_replaces_voters() {
    let mut site = Site::new(3);
    site.advance(10 * SECOND, &[]);
    site.planner.restart_timeouts(site.now);
    site.record_contact(77, 4, "d");
    assert_eq!(site.next_change(), None);
}

#[rstest]
#[case::an_empty_domain_first(&[("b", 71, 4), ("d", 72, 5)], 72)]
#[case::otherwise_the_domain_with_the_fewest_voters(&[("a", 71, 4), ("c", 72, 5)], 72)]
fn a_standby_is_chosen_by_its_domain(
    #[case] standbys: &[(&str, VoterId, u8)],
    #[case] expected: VoterId,
) {
    let mut site = Site::new(3);
    site.advance(5 * SECOND, &[1, 2]);
    // Voter 3 is lost, so that its domain c has no voter.
    site.planner
        .record_contact(site.now - 4 * SECOND, 3, address(3), "c");
    for (domain, id, host) in standbys {
        site.record_contact(*id, *host, domain);
    }
    assert_eq!(site.next_change().unwrap().fresh, expected);
}

#[test]
fn voters_are_added_up_to_the_target() {
    let mut site = Site::new(5);
    site.advance(SECOND, &[2, 3]);
    site.record_contact(77, 4, "d");
    let expected = VoterChange {
        lost: None,
        fresh: 77,
        address: address(4),
    };
    assert_eq!(site.next_change(), Some(expected));
}

#[test]
fn a_standby_at_the_address_of_a_live_voter_is_not_added() {
    let mut site = Site::new(5);
    site.advance(SECOND, &[2, 3]);
    site.record_contact(77, 2, "b");
    // There still is contact with voter 2, so 77 is another process at its address.
    assert_eq!(site.next_change(), None);
}

/// Guards against a vote that a removed VM takes along: a voter that stops is replaced while
/// it still answers.
#[test]
fn a_voter_that_stops_is_replaced_at_once() {
    let mut site = Site::new(3);
    site.advance(SECOND, &[2, 3]);
    site.record_contact(77, 4, "d");
    let expected = VoterChange {
        lost: Some(2),
        fresh: 77,
        address: address(4),
    };
    assert_eq!(site.next_change_with(&[2]), Some(expected));
}

#[test]
fn a_standby_that_stops_is_not_chosen() {
    let mut site = Site::new(3);
    site.advance(SECOND, &[2, 3]);
    site.record_contact(77, 4, "d");
    assert_eq!(site.next_change_with(&[2, 77]), None);
}

/// Guards against a replacement that waits for a standby without a working disk, or for one
/// whose process has ended, while another one could vote.
#[rstest]
#[case::it_did_not_catch_up(|site: &mut Site| site.planner.avoid(site.now, 71))]
#[case::its_connection_has_ended(|site: &mut Site| site.planner.record_disconnect(71))]
fn a_doubtful_standby_is_avoided(#[case] doubt: fn(&mut Site)) {
    let mut site = Site::new(3);
    site.advance(5 * SECOND, &[2]);
    site.record_contact(71, 4, "c");
    doubt(&mut site);
    assert_eq!(site.next_change().unwrap().fresh, 71, "there is no other");
    site.record_contact(72, 5, "b");
    assert!(site.planner.has_alternative(site.now, 71, &site.members));
    assert_eq!(site.next_change().unwrap().fresh, 72);
}

/// Guards against a lost vote that is not replaced before the next loss: the end of a process
/// shows at once by its connections, not only after the time without contact.
#[rstest]
#[case::refused(true, true, true)]
#[case::only_disconnected(true, false, false)]
#[case::only_refused(false, true, false)]
fn a_voter_whose_process_has_ended_is_replaced_at_once(
    #[case] is_disconnected: bool,
    #[case] is_refused: bool,
    #[case] is_replaced: bool,
) {
    let mut site = Site::new(3);
    site.advance(SECOND, &[2, 3]);
    site.record_contact(77, 4, "d");
    if is_disconnected {
        site.planner.record_disconnect(3);
    }
    if is_refused {
        site.planner.record_refusal(3);
    }
    let change = site.next_change();
    assert_eq!(change.and_then(|c| c.lost), is_replaced.then_some(3));
    // The process runs again.
    site.record_contact(3, 3, "c");
    assert_eq!(site.next_change(), None);
}

/// A site of live VMs whose planned changes are made at once.
struct Fleet {
    site: Site,
    live: Vec<VoterId>,
    changes: usize,
}

impl Fleet {
    fn new(vms: usize) -> Self {
        let mut fleet = Self {
            site: Site::new(3),
            live: (1..=vms as VoterId).collect(),
            changes: 0,
        };
        fleet.run(5 * SECOND);
        fleet
    }

    /// Runs with contact with all live VMs; the leader is the first live voter.
    fn run(&mut self, time: Duration) {
        let end = self.site.now + time;
        while self.site.now < end {
            self.site.now += SECOND / 5;
            for id in &self.live {
                let domain = ["a", "b", "c", "d"][*id as usize % 4];
                self.site.record_contact(*id, *id as u8, domain);
            }
            let leader = self.voters().find(|id| self.live.contains(id)).unwrap();
            let (now, members) = (self.site.now, self.site.members.clone());
            let change = self
                .site
                .planner
                .next_change(now, leader, &members, |_| false);
            if let Some(change) = change {
                self.changes += 1;
                let added = members.with_voter(change.fresh, change.address);
                self.site.members = match change.lost {
                    Some(lost) => added.without_voter(lost),
                    None => added,
                };
            }
        }
    }

    fn voters(&self) -> impl Iterator<Item = VoterId> + '_ {
        self.site.members.ids()
    }

    /// Removes the VMs without notice.
    fn remove(&mut self, ids: &[VoterId]) {
        self.live.retain(|id| !ids.contains(id));
    }
}

/// The most VMs of `vms` that may be removed at once without notice while as many successors
/// run: a minority of the voters, of which there are nine at most.
fn removable(vms: usize) -> usize {
    let quorum_holds = |count: &usize| {
        let voters = vms + count - usize::from((vms + count).is_multiple_of(2));
        2 * count < voters.min(9)
    };
    (1..vms).rev().find(quorum_holds).unwrap()
}

proptest! {
    /// Guards against removed VMs that leave no quorum: as many VMs as have successors are
    /// removed at once without notice, again and again.
    #[test]
    fn voters_follow_the_live_vms(
        vms in 3..10_usize,
        rounds in prop::collection::vec(any::<prop::sample::Index>(), 1..6),
    ) {
        let mut fleet = Fleet::new(vms);
        let count = removable(vms);
        let mut next = 50;
        for round in rounds {
            let before = fleet.changes;
            for _ in 0..count {
                fleet.live.push(next);
                next += 1;
            }
            fleet.run(4 * SECOND);
            let first = round.index(fleet.live.len());
            fleet.live.rotate_left(first);
            let removed = fleet.live[..count].to_vec();
            fleet.remove(&removed);
            let left = fleet.voters().filter(|id| fleet.live.contains(id)).count();
            let quorum = fleet.site.members.quorum();
            prop_assert!(left >= quorum, "{left} voters are left of a quorum of {quorum}");
            fleet.run(15 * SECOND);
            prop_assert!(fleet.voters().all(|id| fleet.live.contains(&id)));
            let voters = fleet.voters().count();
            prop_assert_eq!(voters, vms.max(3) - usize::from(vms.is_multiple_of(2)));
            prop_assert!(fleet.changes - before <= 3 * count + 2, "the voters keep changing");
        }
    }
}

/// Guards against votes that move each time a VM starts and ends.
#[test]
fn a_vm_that_flaps_adds_no_voter() {
    let mut fleet = Fleet::new(4);
    fleet.changes = 0;
    for _ in 0..20 {
        fleet.live.push(9);
        fleet.run(SECOND * 4 / 5);
        fleet.remove(&[9]);
        fleet.run(3 * SECOND);
    }
    assert_eq!(fleet.changes, 0);
}
