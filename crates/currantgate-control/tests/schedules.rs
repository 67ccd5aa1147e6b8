//! Random schedules of faults and operators' requests. The invariants in
//! `common` hold at every step, and after the end of all faults the site recovers
//! and all VMs have the same accepted revision.

mod common;

use std::time::Duration;

use common::net::{Net, address};
use currantgate_control::{
    ApplyAnswer, Digest, EvacuationAction, ReplaceAnswer, RevisionId, VoterChange, VoterId,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An action between two periods of operators' requests.
#[derive(Clone, Debug)]
enum Action {
    Nothing,
    CutOneWay {
        from: usize,
        to: usize,
    },
    CutFromLeader(usize),
    Isolate(usize),
    IsolateLeader,
    Heal,
    Crash(usize),
    CrashLeader,
    /// The leader passes its lead on if it can, and resigns otherwise.
    TransferLead,
    /// A leader that goes on running passes its lead on to a VM.
    PassLead(usize),
    /// The leader gives up its vote while it leads, and is added again later.
    DropLeaderVote,
    /// The leader passes its lead on if it can, and stops.
    StopLeader,
    CrashAtOperation {
        vm: usize,
        after: usize,
    },
    RestartAll,
    /// All VMs crash, and all but a minority restart.
    PowerLoss {
        down: usize,
    },
    Faults {
        loss: u32,
        slow_writes: u32,
        delay_ms: u64,
    },
    LoseDisk(usize),
    /// A voter is added to the site.
    Grow,
}

fn any_action() -> impl Strategy<Value = Action> {
    let vm = 0..5_usize;
    prop_oneof![
        4 => Just(Action::Nothing),
        2 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Action::CutOneWay { from, to }),
        2 => vm.clone().prop_map(Action::CutFromLeader),
        1 => vm.clone().prop_map(Action::Isolate),
        3 => Just(Action::IsolateLeader),
        6 => Just(Action::Heal),
        1 => vm.clone().prop_map(Action::Crash),
        2 => Just(Action::CrashLeader),
        2 => Just(Action::TransferLead),
        2 => vm.clone().prop_map(Action::PassLead),
        3 => Just(Action::DropLeaderVote),
        2 => Just(Action::StopLeader),
        2 => (vm.clone(), 0..6_usize).prop_map(|(vm, after)| Action::CrashAtOperation { vm, after }),
        5 => Just(Action::RestartAll),
        4 => vm.clone().prop_map(|down| Action::PowerLoss { down }),
        4 => (0..20_u32, 0..98_u32, 10..400_u64).prop_map(|(loss, slow_writes, delay_ms)| {
            Action::Faults { loss, slow_writes, delay_ms }
        }),
        1 => vm.prop_map(Action::LoseDisk),
        1 => Just(Action::Grow),
    ]
}

/// The fewest voters of which one is removed: the others outlast the loss of a disk.
const MIN_VOTERS_TO_DROP: u64 = 5;

/// The maximum number of voters of a site.
const MAX_VOTERS: u64 = 7;

/// The replacement of a lost voter.
struct Repair {
    lost: VoterId,
    fresh: VoterId,
}

/// A leader that gives up its vote, and gets it back.
struct DroppedVote {
    id: VoterId,
    is_removed: bool,
}

struct Simulation {
    net: Net,
    rng: ChaCha8Rng,
    repair: Option<Repair>,
    /// The voter that is being added.
    added: Option<VoterId>,
    dropped: Option<DroppedVote>,
    voters: u64,
    next_id: VoterId,
}

impl Simulation {
    fn new(voters: u64, seed: u64) -> Self {
        Self {
            net: Net::new(voters, seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            repair: None,
            added: None,
            dropped: None,
            voters,
            next_id: voters + 1,
        }
    }

    fn vm(&self, n: usize) -> VoterId {
        let ids = self.net.ids();
        ids[n % ids.len()]
    }

    fn apply_action(&mut self, action: &Action) {
        match *action {
            Action::Nothing => {}
            Action::CutOneWay { from, to } => self.net.cut(self.vm(from), self.vm(to)),
            Action::CutFromLeader(to) => {
                if let Some(leader) = self.net.leader() {
                    self.net.cut(leader, self.vm(to));
                }
            }
            Action::Isolate(vm) => self.net.isolate(self.vm(vm)),
            Action::IsolateLeader => {
                if let Some(leader) = self.net.leader() {
                    self.net.isolate(leader);
                }
            }
            Action::Heal => self.net.heal(),
            Action::Crash(vm) => self.net.crash(self.vm(vm)),
            Action::CrashLeader => {
                if let Some(leader) = self.net.leader() {
                    self.net.crash(leader);
                }
            }
            Action::TransferLead => {
                if let Some(leader) = self.net.leader()
                    && !self.net.transfer_lead(leader)
                {
                    self.net.step_down(leader);
                }
            }
            Action::PassLead(to) => {
                if let Some(leader) = self.net.leader() {
                    self.net.pass_lead(leader, self.vm(to));
                }
            }
            Action::DropLeaderVote => self.drop_leader_vote(),
            Action::StopLeader => {
                if let Some(leader) = self.net.leader() {
                    self.net.transfer_lead(leader);
                    self.net.announce_departure(leader);
                    self.net.step();
                    self.net.crash(leader);
                }
            }
            Action::CrashAtOperation { vm, after } => {
                let disk = self.net.disk(self.vm(vm));
                disk.crash_at(disk.operations() + after);
            }
            Action::RestartAll => self.restart_all(),
            Action::PowerLoss { down } => self.power_loss(down),
            Action::Faults {
                loss,
                slow_writes,
                delay_ms,
            } => {
                self.net.loss = loss;
                self.net.slow_writes = slow_writes;
                self.net.delay_ms = delay_ms;
            }
            Action::LoseDisk(vm) => self.lose_disk(self.vm(vm)),
            Action::Grow => self.grow(),
        }
        self.continue_repair();
        self.continue_growth();
        self.continue_drop();
    }

    /// Runs for a number of steps, with random requests of operators.
    fn run_with_requests(&mut self, steps: u64) {
        for _ in 0..steps {
            self.net.step();
            if self.rng.random_range(0..8) == 0 {
                self.send_random_request();
            }
            if self.rng.random_range(0..16) == 0 {
                self.send_random_order();
            }
        }
    }

    /// Sends a resent change, a change based on the receiver's revision, two
    /// concurrent changes, or, in most cases, a change of the newest revision.
    fn send_random_request(&mut self) {
        let to = self.target();
        let newest = self.net.checks.newest();
        match self.rng.random_range(0..10) {
            0 => {
                let n = self.rng.random_range(0..=self.net.checks.accepted.len());
                if let Some((request, _)) = self.net.checks.accepted.get(n).cloned() {
                    self.net.apply(to, request.base, &request.text);
                }
            }
            1 => {
                let base = self.net.accepted(to).unwrap_or_else(RevisionId::empty);
                self.apply(to, base);
            }
            2 => {
                self.apply(to, newest);
                let other = self.target();
                self.apply(other, newest);
            }
            _ => self.apply(to, newest),
        }
    }

    /// Sends an order on one of three failure domains; some are given up at once.
    fn send_random_order(&mut self) {
        let to = self.target();
        let domain = ["a", "b", "c"][self.rng.random_range(0..3)];
        let actions = [EvacuationAction::Start, EvacuationAction::Finish];
        let action = actions[self.rng.random_range(0..2)];
        let id = self.net.order(to, domain, action);
        if self.rng.random_range(0..4) == 0 {
            self.net.cancel_order(to, id);
        }
    }

    fn apply(&mut self, to: VoterId, base: RevisionId) {
        let text = format!("{}.{}", base.revision, self.rng.random_range(0..9));
        self.net.apply(to, base, &text);
    }

    /// Returns the leader in most cases, so that many changes are accepted,
    /// otherwise any VM.
    fn target(&mut self) -> VoterId {
        let any = self.rng.random_range(0..5);
        let leader = self.net.leader().filter(|_| any < 4);
        leader.unwrap_or_else(|| self.vm(any))
    }

    fn restart_all(&mut self) {
        for id in self.net.ids() {
            self.net.restart(id);
        }
    }

    fn power_loss(&mut self, down: usize) {
        let ids = self.net.ids();
        for id in &ids {
            self.net.crash(*id);
        }
        let minority = (ids.len() - 1) / 2;
        for n in minority..ids.len() {
            self.net.restart(ids[(down + n) % ids.len()]);
        }
    }

    /// Loses a VM and its disk, and starts a VM to replace it. The next disk can be
    /// lost only after the replacement is complete.
    fn lose_disk(&mut self, lost: VoterId) {
        // The VM that is being added may not be a voter yet, so there may be
        // nothing to replace.
        if self.repair.is_some() || self.added == Some(lost) || self.dropped.is_some() {
            return;
        }
        let fresh = self.next_id;
        self.next_id += 1;
        self.net.remove(lost);
        self.net.join(fresh);
        self.repair = Some(Repair { lost, fresh });
    }

    fn grow(&mut self) {
        if self.added.is_some() || self.dropped.is_some() || self.voters == MAX_VOTERS {
            return;
        }
        let fresh = self.next_id;
        self.next_id += 1;
        self.voters += 1;
        self.net.join(fresh);
        self.added = Some(fresh);
    }

    fn drop_leader_vote(&mut self) {
        let is_changing = self.repair.is_some() || self.added.is_some() || self.dropped.is_some();
        if let Some(id) = self.net.leader()
            && !is_changing
            && self.voters >= MIN_VOTERS_TO_DROP
        {
            let is_removed = false;
            self.dropped = Some(DroppedVote { id, is_removed });
        }
    }

    /// Requests the removal of the vote from the leader that gives it up, and its return once
    /// the removal is complete or another VM leads.
    fn continue_drop(&mut self) {
        let (Some(dropped), Some(leader)) = (&mut self.dropped, self.net.leader()) else {
            return;
        };
        let id = dropped.id;
        if dropped.is_removed {
            let change = VoterChange {
                lost: None,
                fresh: id,
                address: address(id),
            };
            let request = self.net.change_voters(leader, change);
            if self.net.replaced.get(&request) == Some(&ReplaceAnswer::Done) {
                self.dropped = None;
            }
            return;
        }
        let Some(other) = self.net.ids().into_iter().find(|other| *other != id) else {
            return;
        };
        let change = VoterChange {
            lost: Some(id),
            fresh: other,
            address: address(other),
        };
        let request = self.net.change_voters(leader, change);
        let is_done = self.net.replaced.get(&request) == Some(&ReplaceAnswer::Done);
        dropped.is_removed = is_done || leader != id;
    }

    /// Requests the addition of the new voter again until it is complete.
    fn continue_growth(&mut self) {
        let (Some(fresh), Some(leader)) = (self.added, self.net.leader()) else {
            return;
        };
        let change = VoterChange {
            lost: None,
            fresh,
            address: address(fresh),
        };
        let id = self.net.change_voters(leader, change);
        // `WrongMembers` means that an earlier request has already added it.
        if let Some(ReplaceAnswer::Done | ReplaceAnswer::WrongMembers) = self.net.replaced.get(&id)
        {
            self.added = None;
        }
    }

    /// Requests the replacement again until it is complete, like an operator who
    /// received no answer.
    fn continue_repair(&mut self) {
        let (Some(repair), Some(leader)) = (&self.repair, self.net.leader()) else {
            return;
        };
        let id = self.net.replace(leader, repair.lost, repair.fresh);
        if self.net.replaced.get(&id) == Some(&ReplaceAnswer::Done) {
            self.repair = None;
        }
    }

    /// Ends all faults, and checks that the site recovers without intervention.
    fn check_recovery(&mut self) {
        self.net.heal();
        self.net.loss = 0;
        self.net.slow_writes = 0;
        for id in self.net.ids() {
            self.net.disk(id).cancel_crash();
        }
        self.restart_all();
        self.net.delay_ms = 10;
        for _ in 0..60 {
            self.net.run(Duration::from_millis(500));
            self.restart_all();
            self.continue_repair();
            self.continue_growth();
            self.continue_drop();
            let is_complete =
                self.repair.is_none() && self.added.is_none() && self.dropped.is_none();
            if is_complete && self.net.all_at(self.net.checks.newest()) {
                break;
            }
        }
        self.net.run(Duration::from_secs(5));
        assert!(self.repair.is_none(), "the replacement is complete");
        assert!(self.added.is_none(), "the new voter is added");
        let leader = self.net.leader().expect("a leader is elected");
        let base = self.net.checks.newest();
        let id = self.net.apply(leader, base, "end");
        self.net.run(Duration::from_secs(1));
        assert_eq!(
            self.net.answers.get(&id),
            Some(&ApplyAnswer::Accepted(base.revision + 1))
        );
        let end = RevisionId {
            revision: base.revision + 1,
            digest: Digest::of("end"),
        };
        assert!(self.net.all_at(end), "all voters have the last change");
        let is_current = self.net.all_evacuations_current();
        assert!(is_current, "all voters have the same evacuations");
        for (request, revision) in self.net.checks.accepted.clone() {
            let id = self.net.apply(leader, request.base, &request.text);
            let answer = &self.net.answers[&id];
            assert_eq!(*answer, ApplyAnswer::AlreadyAccepted(revision));
        }
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(128))]

    #[test]
    fn accepted_revisions_survive_any_schedule(
        voters in prop_oneof![Just(3_u64), Just(5)],
        seed in any::<u64>(),
        actions in prop::collection::vec((any_action(), 5..150_u64), 20..60),
    ) {
        let mut simulation = Simulation::new(voters, seed);
        simulation.run_with_requests(250);
        for (action, steps) in &actions {
            simulation.apply_action(action);
            simulation.run_with_requests(*steps);
        }
        simulation.check_recovery();
    }
}
