//! The spread of voters over failure domains: the loss that a site tolerates leaves a quorum.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use currantgate_control::{
    Members, VoterChange, VoterId, VoterPlanner, VoterPlannerSettings, VoterSpread,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// The time after the return of the last VM within which the voters must be spread:
/// `catch-up-s` of the sites in use.
const CATCH_UP: Duration = Duration::from_secs(4);

/// The interval of contacts, as of the heartbeats of a leader.
const CONTACT_INTERVAL: Duration = Duration::from_millis(200);

/// The number of contacts that a change of the voters takes.
const CHANGE_STEPS: u32 = 2;

/// A control VM of a [`Site`].
struct Vm {
    domain: usize,
    is_live: bool,
}

/// A site whose planned changes are made while a quorum of the voters lives.
struct Site {
    planner: VoterPlanner,
    vms: IndexMap<VoterId, Vm>,
    members: Members,
    leader: VoterId,
    now: Instant,
    /// The change in progress, and the contacts until it is made.
    pending: Option<(VoterChange, u32)>,
    changes: usize,
}

fn address(id: VoterId) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, id as u8), 7_000).into()
}

fn settings(tolerated: usize) -> VoterPlannerSettings {
    VoterPlannerSettings {
        min_voters: 2 * tolerated + 1,
        tolerated_domains: 1,
        ..VoterPlannerSettings::default()
    }
}

impl Site {
    /// Starts a site that tolerates the loss of `tolerated` VMs or of one domain, with a VM in
    /// each of `domains`. The first VMs vote.
    fn new(tolerated: usize, domains: &[usize]) -> Self {
        let now = Instant::now();
        let vm = |domain: &usize| Vm {
            domain: *domain,
            is_live: true,
        };
        let first = 1..=(2 * tolerated + 1) as VoterId;
        let mut site = Self {
            planner: VoterPlanner::new(settings(tolerated), now),
            vms: (1..).zip(domains.iter().map(vm)).collect(),
            members: Members::new(first.map(|id| (id, address(id)))),
            leader: 1,
            now,
            pending: None,
            changes: 0,
        };
        site.run(2 * CATCH_UP);
        site
    }

    fn is_live(&self, id: VoterId) -> bool {
        self.vms.get(&id).is_some_and(|vm| vm.is_live)
    }

    fn live_voters(&self) -> Vec<VoterId> {
        self.members.ids().filter(|id| self.is_live(*id)).collect()
    }

    fn has_quorum(&self) -> bool {
        self.live_voters().len() >= self.members.quorum()
    }

    /// Runs with contacts with all live VMs. Another voter leads when the leader is lost.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += CONTACT_INTERVAL;
            if !self.has_quorum() {
                continue;
            }
            if !self.live_voters().contains(&self.leader) {
                self.leader = self.live_voters()[0];
                self.pending = None;
                self.planner.restart_timeouts(self.now);
            }
            for (id, vm) in self.vms.iter().filter(|(_, vm)| vm.is_live) {
                let domain = vm.domain.to_string();
                self.planner
                    .record_contact(self.now, *id, address(*id), &domain);
            }
            self.advance_change();
        }
    }

    fn advance_change(&mut self) {
        let pending = self.pending.take().or_else(|| {
            let members = &self.members;
            let planned = self
                .planner
                .next_change(self.now, self.leader, members, |_| false);
            planned.map(|change| (change, CHANGE_STEPS))
        });
        let Some((change, steps)) = pending else {
            return;
        };
        if steps > 0 {
            self.pending = self.is_live(change.fresh).then_some((change, steps - 1));
            return;
        }
        self.changes += 1;
        let added = self.members.with_voter(change.fresh, change.address);
        self.members = match change.lost {
            Some(lost) => added.without_voter(lost),
            None => added,
        };
    }

    fn set_live(&mut self, ids: &[VoterId], is_live: bool) {
        for id in ids {
            self.vms[id].is_live = is_live;
        }
    }

    fn vms_of(&self, domain: usize) -> Vec<VoterId> {
        let vms = self.vms.iter().filter(|(_, vm)| vm.domain == domain);
        vms.map(|(id, _)| *id).collect()
    }

    /// Returns the number of VMs in each domain.
    fn sizes(&self) -> Vec<usize> {
        let domains = self.vms.values().map(|vm| vm.domain + 1).max().unwrap();
        (0..domains).map(|d| self.vms_of(d).len()).collect()
    }

    /// Checks that the loss of any domain leaves a quorum, if some set of voters allows that.
    fn check_spread(&self, tolerated: usize) -> Result<(), TestCaseError> {
        let sizes = self.sizes();
        // With k voters at most (k - 1) / 2 may be in a domain.
        let fits = |k: usize| sizes.iter().map(|s| (*s).min((k - 1) / 2)).sum::<usize>() >= k;
        let most = self.vms.len().min(9);
        let is_possible = (2 * tolerated + 1..=most).step_by(2).any(fits);
        let spread = self.planner.spread(self.now, &self.members, |_| false);
        prop_assert_eq!(is_possible, spread == VoterSpread::Spread, "{:?}", sizes);
        let voters = self.members.ids().count();
        prop_assert!(voters > 2 * tolerated, "{} voters", voters);
        for domain in 0..sizes.len() {
            let lost = self.vms_of(domain);
            let left = self.members.ids().filter(|id| !lost.contains(id)).count();
            prop_assert!(
                !is_possible || left >= self.members.quorum(),
                "domain {} of {:?}: {} of {} voters are left",
                domain,
                sizes,
                left,
                voters
            );
        }
        Ok(())
    }
}

/// An event of a site that it must tolerate.
#[derive(Clone, Debug)]
enum Event {
    /// A failure domain is lost for a time and comes back.
    LoseDomain(prop::sample::Index, Duration),
    /// As many VMs as the site tolerates are lost for a time and come back.
    LoseVms(prop::sample::Index, Duration),
    /// A VM is added to a domain.
    Add(prop::sample::Index),
    /// A VM gets a successor in its domain, and is removed without notice.
    Replace(prop::sample::Index),
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    let time = || (1_u64..20).prop_map(Duration::from_secs);
    prop_oneof![
        3 => (index(), time()).prop_map(|(i, t)| Event::LoseDomain(i, t)),
        2 => (index(), time()).prop_map(|(i, t)| Event::LoseVms(i, t)),
        1 => index().prop_map(Event::Add),
        2 => index().prop_map(Event::Replace),
    ]
}

impl Site {
    fn run_event(&mut self, event: &Event, tolerated: usize) {
        let ids: Vec<_> = self.vms.keys().copied().collect();
        let fresh = ids.iter().max().unwrap() + 1;
        let add = |site: &mut Self, domain| {
            let vm = Vm {
                domain,
                is_live: true,
            };
            site.vms.insert(fresh, vm);
        };
        match event {
            Event::LoseDomain(domain, time) => {
                let lost = self.vms_of(domain.index(self.sizes().len()));
                self.lose(&lost, *time);
            }
            Event::LoseVms(first, time) => {
                let first = first.index(ids.len());
                let lost: Vec<_> = ids.iter().cycle().skip(first).take(tolerated).collect();
                let lost: Vec<_> = lost.into_iter().copied().collect();
                self.lose(&lost, *time);
            }
            Event::Add(domain) if ids.len() < 19 => {
                let domain = domain.index(self.sizes().len());
                add(self, domain);
            }
            Event::Add(_) => {}
            Event::Replace(removed) => {
                let removed = ids[removed.index(ids.len())];
                let domain = self.vms[&removed].domain;
                add(self, domain);
                self.run(CATCH_UP);
                self.vms.shift_remove(&removed);
                // Until it is replaced, the removed VM is the only loss.
                self.run(2 * CATCH_UP);
            }
        }
    }

    fn lose(&mut self, ids: &[VoterId], time: Duration) {
        self.set_live(ids, false);
        self.run(time);
        self.set_live(ids, true);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against voters that stay crowded in a failure domain after another one was lost
    /// and is back: the loss of the crowded one would take the quorum.
    #[test]
    fn a_tolerated_loss_always_leaves_a_quorum(
        tolerated in 1..=2_usize,
        domains in 2..=6_usize,
        more in prop::collection::vec(any::<prop::sample::Index>(), 0..=13),
        events in prop::collection::vec(event(), 1..8),
    ) {
        // At least one VM in each domain, and enough for the first voters.
        let first = (0..domains.max(2 * tolerated + 1)).map(|vm| vm % domains);
        let more = more.iter().map(|index| index.index(domains));
        let mut site = Site::new(tolerated, &first.chain(more).collect::<Vec<_>>());
        site.check_spread(tolerated)?;
        for event in &events {
            let before = site.changes;
            site.run_event(event, tolerated);
            prop_assert!(site.has_quorum(), "{event:?} takes the quorum");
            site.run(CATCH_UP);
            site.check_spread(tolerated)?;
            let changes = site.changes - before;
            prop_assert!(changes <= 20, "{event:?} takes {changes} changes");
            let settled = site.changes;
            site.run(15 * SECOND);
            site.check_spread(tolerated)?;
            prop_assert!(site.changes <= settled + 1, "{event:?}: the voters keep changing");
        }
    }
}

/// Guards against the loss of a quorum by one domain after another: the voter of the domain
/// that was lost was replaced by a second one of another domain.
#[test]
fn a_vote_returns_to_a_domain_that_is_back() {
    let mut site = Site::new(1, &[0, 1, 2, 1]);
    site.lose(&[1], 5 * SECOND);
    let lost = site.members.clone();
    assert!(!lost.contains(1) && lost.contains(4), "{lost:?}");
    site.run(CATCH_UP);
    let domains: Vec<_> = site.members.ids().map(|id| site.vms[&id].domain).collect();
    for domain in 0..3 {
        assert!(domains.contains(&domain), "{domains:?}");
    }
    assert_eq!(site.changes, 2);
}

/// Guards against a vote that moves each time a VM is lost and back: the moves of a minute are
/// limited.
#[test]
fn a_vm_that_flaps_moves_votes_a_limited_number_of_times() {
    let mut site = Site::new(1, &[0, 1, 2, 1]);
    site.run(60 * SECOND);
    site.changes = 0;
    for _ in 0..15 {
        site.lose(&[1], 2_700 * SECOND / 1_000);
        site.run(1_300 * SECOND / 1_000);
    }
    // Each replacement of the lost voter is needed, and each move back is one of at most 20.
    assert!(site.changes <= 15 + 20, "{} changes", site.changes);
    site.run(60 * SECOND);
    site.check_spread(1).unwrap();
}

/// Guards against a change of the voters by a leader that can't write it to its own disk: the
/// joining voter would make the quorum larger for as long as the disk takes.
#[test]
fn a_leader_with_a_slow_disk_moves_no_vote() {
    let mut site = Site::new(1, &[0, 1, 2, 1]);
    site.lose(&[1], 5 * SECOND);
    let before = site.changes;
    for _ in 0..20 {
        site.planner.record_slow_write(site.now);
        site.run(SECOND);
    }
    assert_eq!(site.changes, before);
    site.run(CATCH_UP);
    site.check_spread(1).unwrap();
}

/// Guards against operators that are not informed of a site whose voters can't be spread.
#[rstest]
#[case::two_domains(1, &[0, 1, 0, 1], VoterSpread::Unattainable)]
#[case::one_domain(1, &[0, 0, 0], VoterSpread::Unattainable)]
#[case::one_large_domain(2, &[0, 0, 0, 1, 2], VoterSpread::Unattainable)]
#[case::three_domains(1, &[0, 1, 2], VoterSpread::Spread)]
#[case::a_larger_number_can_not_be_spread(1, &[0, 1, 2, 0, 0], VoterSpread::Spread)]
#[case::six_in_three_domains(2, &[0, 1, 2, 0, 1, 2], VoterSpread::Spread)]
fn the_spread_is_reported(
    #[case] tolerated: usize,
    #[case] domains: &[usize],
    #[case] expected: VoterSpread,
) {
    let site = Site::new(tolerated, domains);
    let spread = site.planner.spread(site.now, &site.members, |_| false);
    assert_eq!(spread, expected);
}

/// Guards against a candidate that is chosen although it stops.
#[test]
fn a_vote_does_not_move_to_a_vm_that_stops() {
    let mut site = Site::new(1, &[0, 1, 2, 1]);
    site.lose(&[1], 5 * SECOND);
    site.run(CATCH_UP / 4);
    let members = site.members.clone();
    for _ in 0..20 {
        site.now += CONTACT_INTERVAL;
        for id in 1..=4 {
            let domain = site.vms[&id].domain.to_string();
            site.planner
                .record_contact(site.now, id, address(id), &domain);
        }
        let change = site
            .planner
            .next_change(site.now, site.leader, &members, |id| id == 1);
        assert_eq!(change, None);
    }
}
