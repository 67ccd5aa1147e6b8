//! Which control VM becomes a voter when one is lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_control::{Members, VoterChange, VoterId, VoterPlanner, VoterPlannerSettings};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn address(host: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, host), 7_000).into()
}

/// Voters 1 to 3 at hosts 1 to 3, in domains a to c, led by 1.
struct Site {
    plan: VoterPlanner,
    members: Members,
    now: Instant,
}

impl Site {
    fn new(target: usize) -> Self {
        let now = Instant::now();
        let settings = VoterPlannerSettings {
            target,
            ..VoterPlannerSettings::default()
        };
        Self {
            plan: VoterPlanner::new(settings, now),
            members: Members::new((1..=3).map(|host| (VoterId::from(host), address(host)))),
            now,
        }
    }

    fn hear(&mut self, id: VoterId, host: u8, domain: &str) {
        self.plan
            .record_contact(self.now, id, address(host), domain);
    }

    /// Lets time pass in which the given voters are heard.
    fn pass(&mut self, time: Duration, heard: &[u8]) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND / 2;
            for host in heard {
                let domain = ["a", "b", "c"][usize::from(*host) - 1];
                self.hear(VoterId::from(*host), *host, domain);
            }
        }
    }

    fn next(&self) -> Option<VoterChange> {
        self.plan.next_change(self.now, 1, &self.members)
    }
}

#[test]
fn voters_that_are_heard_stay() {
    let mut site = Site::new(3);
    site.pass(10 * SECOND, &[2, 3]);
    site.hear(77, 4, "d");
    assert_eq!(site.next(), None);
}

#[test]
fn a_silent_voter_is_replaced_by_a_standby() {
    let mut site = Site::new(3);
    site.pass(5 * SECOND, &[2]);
    site.hear(77, 4, "d");
    let expected = VoterChange {
        lost: Some(3),
        fresh: 77,
        address: address(4),
    };
    assert_eq!(site.next(), Some(expected));
}

#[test]
fn a_silent_voter_stays_without_a_standby() {
    let mut site = Site::new(3);
    site.pass(5 * SECOND, &[2]);
    assert_eq!(site.next(), None);
}

#[test]
fn a_wiped_voter_is_replaced_at_once_by_its_successor() {
    let mut site = Site::new(3);
    site.pass(SECOND, &[2, 3]);
    site.now += 3 * SECOND;
    site.hear(2, 2, "b");
    // Started anew with an empty disk, and so with a new id.
    site.hear(77, 3, "c");
    let change = site.next().unwrap();
    assert_eq!((change.lost, change.fresh), (Some(3), 77));
}

#[test]
fn a_new_leader_gives_voters_time_to_be_heard() {
    let mut site = Site::new(3);
    site.pass(10 * SECOND, &[]);
    site.plan.restart_timeouts(site.now);
    site.hear(77, 4, "d");
    assert_eq!(site.next(), None);
}

#[rstest]
#[case::an_empty_domain_first(&[("b", 71, 4), ("d", 72, 5)], 72)]
#[case::else_the_least_crowded(&[("a", 71, 4), ("c", 72, 5)], 72)]
fn a_standby_is_chosen_by_its_domain(
    #[case] standbys: &[(&str, VoterId, u8)],
    #[case] expected: VoterId,
) {
    let mut site = Site::new(3);
    site.pass(5 * SECOND, &[1, 2]);
    // Voter 3 is lost, so that its domain c has none.
    site.plan
        .record_contact(site.now - 4 * SECOND, 3, address(3), "c");
    for (domain, id, host) in standbys {
        site.hear(*id, *host, domain);
    }
    assert_eq!(site.next().unwrap().fresh, expected);
}

#[test]
fn voters_are_added_up_to_the_target() {
    let mut site = Site::new(5);
    site.pass(SECOND, &[2, 3]);
    site.hear(77, 4, "d");
    let expected = VoterChange {
        lost: None,
        fresh: 77,
        address: address(4),
    };
    assert_eq!(site.next(), Some(expected));
}

#[test]
fn a_standby_at_a_voter_that_lives_is_no_candidate() {
    let mut site = Site::new(5);
    site.pass(SECOND, &[2, 3]);
    site.hear(77, 2, "b");
    // Voter 2 is heard still, so 77 must be another process at its address.
    assert_eq!(site.next(), None);
}
