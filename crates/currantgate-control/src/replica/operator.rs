//! Requests of operators.

use std::time::Instant;

use super::Replica;
use super::role::{Leader, Proposal, ReplaceStage, Replacement, Role};
use crate::{
    ApplyAnswer, ApplyRequest, Command, Members, Output, ReadAnswer, RefuseReason, ReplaceAnswer,
    ReplaceRequest, RequestId, RoleName, Status, VersionedRequest, VoterChange, VoterId,
};
use std::sync::Arc;

/// How many changes may wait for the one that is on its way.
const MAX_WAITING: usize = 64;

impl Replica {
    /// Takes a change of an operator; the answer is an output.
    pub fn apply(&mut self, now: Instant, id: RequestId, request: ApplyRequest) {
        self.propose(now, id, Proposal::OnBase(request));
    }

    /// Takes a file that carries its own version; the answer is an output.
    pub fn apply_version(&mut self, now: Instant, id: RequestId, request: VersionedRequest) {
        self.propose(now, id, Proposal::Versioned(request));
    }

    fn propose(&mut self, now: Instant, id: RequestId, request: Proposal) {
        if let Err(reason) = self.check_writable(now, &request) {
            self.answer_apply(id, ApplyAnswer::Refused(reason));
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.waiting.push_back((id, request));
        }
        self.take_waiting(now);
    }

    fn check_writable(&self, now: Instant, request: &Proposal) -> Result<(), RefuseReason> {
        let Role::Leader(leader) = &self.role else {
            let leader = self.leader_id();
            return Err(RefuseReason::NotLeader { leader });
        };
        if !self.has_lease(now) {
            return Err(RefuseReason::NoLease);
        }
        if leader.waiting.len() >= MAX_WAITING {
            return Err(RefuseReason::Busy);
        }
        if request.len_bytes() > self.settings.max_site_file_bytes {
            return Err(RefuseReason::TooLarge);
        }
        Ok(())
    }

    /// Judges waiting changes, one on its way at a time: each is judged upon
    /// a state that is committed.
    pub(super) fn take_waiting(&mut self, now: Instant) {
        loop {
            let Role::Leader(leader) = &mut self.role else {
                return;
            };
            if leader.pending.is_some() || self.commit < leader.first_index {
                return;
            }
            let Some((id, request)) = leader.waiting.pop_front() else {
                return;
            };
            let has_lease = self.has_lease(now);
            match request.prepare_change(&self.state) {
                // A leader that was replaced may not know the winner.
                Err(ApplyAnswer::Conflict(_)) if !has_lease => {
                    self.answer_apply(id, ApplyAnswer::Refused(RefuseReason::NoLease));
                }
                Err(answer) => self.answer_apply(id, answer),
                Ok(change) => {
                    let index = self.append_as_leader(Command::Change(Arc::new(change)));
                    if let Role::Leader(leader) = &mut self.role {
                        leader.pending = Some((index, id));
                    }
                    self.send_to_all(now);
                    return;
                }
            }
        }
    }

    fn answer_apply(&mut self, request: RequestId, answer: ApplyAnswer) {
        self.outputs.push_back(Output::Applied { request, answer });
    }

    /// Reads what is in force without trust in clocks; the answer is an output.
    ///
    /// The leader first hears from a quorum that follows it still, so that a
    /// VM that stood still without noticing never tells an older state.
    pub fn read_confirmed(&mut self, now: Instant, id: RequestId) {
        let known = self.leader_id();
        let Role::Leader(leader) = &mut self.role else {
            let reason = RefuseReason::NotLeader { leader: known };
            return self.answer_read(id, Err(reason));
        };
        leader.reads.push((id, now));
        self.send_to_all(now);
        self.confirm_reads(now);
    }

    /// Answers the reads after which a quorum was heard from.
    pub(super) fn confirm_reads(&mut self, now: Instant) {
        let Some(acknowledged) = self.quorum_acknowledged(now) else {
            return;
        };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.commit < leader.first_index {
            return;
        }
        let confirmed = leader.reads.extract_if(.., |(_, at)| *at <= acknowledged);
        let confirmed: Vec<_> = confirmed.map(|(id, _)| id).collect();
        for id in confirmed {
            let change = self.state.current().cloned();
            self.answer_read(id, Ok(change));
        }
    }

    fn answer_read(&mut self, request: RequestId, answer: ReadAnswer) {
        self.outputs.push_back(Output::ReadDone { request, answer });
    }

    /// Takes a replacement of a lost voter; the answer is an output.
    pub fn replace(&mut self, now: Instant, id: RequestId, request: ReplaceRequest) {
        self.change_voters(now, id, request.into());
    }

    /// Gives up a change of voters whose new voter did not catch up; returns
    /// whether there was one that could still be given up.
    pub fn abandon_catch_up(&mut self) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let waits = |r: &mut Replacement| r.stage == ReplaceStage::CatchUp;
        let Some(abandoned) = leader.replacement.take_if(waits) else {
            return false;
        };
        self.track_followers();
        self.answer_replace(abandoned.request_id, ReplaceAnswer::Unknown);
        true
    }

    /// Takes a change of the voters; the answer is an output.
    pub fn change_voters(&mut self, now: Instant, id: RequestId, request: VoterChange) {
        let leader = self.leader_id();
        let has_lease = self.has_lease(now);
        let members = self.log.members().1;
        let done = request.is_done(members);
        let Role::Leader(own) = &mut self.role else {
            let reason = RefuseReason::NotLeader { leader };
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        };
        if !has_lease {
            let reason = RefuseReason::NoLease;
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        }
        if own.replacement.is_some() {
            let reason = RefuseReason::Busy;
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        }
        if done {
            return self.answer_replace(id, ReplaceAnswer::Done);
        }
        let removable = |id| members.contains(id) && id != self.settings.id;
        if request.lost.is_some_and(|lost| !removable(lost)) {
            return self.answer_replace(id, ReplaceAnswer::WrongMembers);
        }
        own.replacement = Some(Replacement {
            request_id: id,
            request,
            stage: ReplaceStage::CatchUp,
        });
        self.track_followers();
        self.send_to_all(now);
        self.advance_replacement(now);
    }

    fn answer_replace(&mut self, request: RequestId, answer: ReplaceAnswer) {
        self.outputs.push_back(Output::Replaced { request, answer });
    }

    /// Takes the next step of a replacement: the voters change by one, and
    /// only when the change before is committed.
    pub(super) fn advance_replacement(&mut self, now: Instant) {
        let (members_index, members) = self.log.members();
        let settled = members_index <= self.commit;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(replacement) = &leader.replacement else {
            return;
        };
        if !settled || self.commit < leader.first_index {
            return;
        }
        let VoterChange {
            lost,
            fresh,
            address,
        } = replacement.request;
        let caught_up = leader
            .progress
            .get(&fresh)
            .is_some_and(|p| p.matched >= self.commit);
        let without_lost = |members: &Members| lost.map(|lost| members.without(lost));
        let next = match replacement.stage {
            ReplaceStage::CatchUp if members.contains(fresh) => without_lost(members),
            ReplaceStage::CatchUp if caught_up => Some(members.with(fresh, address)),
            ReplaceStage::CatchUp => return,
            ReplaceStage::Adding(_) => without_lost(members),
            ReplaceStage::Removing(_) => None,
        };
        let Some(next) = next else {
            let id = replacement.request_id;
            if let Role::Leader(leader) = &mut self.role {
                leader.replacement = None;
            }
            return self.answer_replace(id, ReplaceAnswer::Done);
        };
        let removes = lost.is_some_and(|lost| !next.contains(lost));
        let index = self.append_as_leader(Command::Members(next));
        if let Role::Leader(leader) = &mut self.role
            && let Some(replacement) = &mut leader.replacement
        {
            replacement.stage = if removes {
                ReplaceStage::Removing(index)
            } else {
                ReplaceStage::Adding(index)
            };
        }
        self.track_followers();
        self.send_to_all(now);
        self.advance_commit(now);
    }

    /// Answers what a leader was asked for when it no longer leads.
    pub(super) fn settle_requests(&mut self, before: Leader, leader: Option<VoterId>) {
        if let Some((_, id)) = before.pending {
            self.answer_apply(id, ApplyAnswer::Unknown);
        }
        for (id, _) in before.reads {
            let reason = RefuseReason::NotLeader { leader };
            self.answer_read(id, Err(reason));
        }
        for (id, _) in before.waiting {
            let reason = RefuseReason::NotLeader { leader };
            self.answer_apply(id, ApplyAnswer::Refused(reason));
        }
        if let Some(replacement) = before.replacement {
            self.answer_replace(replacement.request_id, ReplaceAnswer::Unknown);
        }
    }

    /// Returns the control VM that is about to become a voter.
    pub fn joining_voter(&self) -> Option<VoterId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        leader.replacement.as_ref().map(|r| r.request.fresh)
    }

    /// Gives up the lead, for a planned stop.
    pub fn step_down(&mut self, now: Instant) {
        if self.leads() {
            self.follow(now, None);
        }
    }

    /// Returns where another control VM listens: a voter, or the one that is
    /// to become one.
    pub fn peer_address(&self, id: VoterId) -> Option<std::net::SocketAddr> {
        let fresh = match &self.role {
            Role::Leader(leader) => leader.replacement.as_ref().map(|r| r.request),
            _ => None,
        };
        let fresh = fresh.filter(|r| r.fresh == id).map(|r| r.address);
        self.log.members().1.address(id).or(fresh)
    }

    /// Tells operators what this replica knows.
    pub fn status(&self, now: Instant) -> Status {
        let (role, matched) = match &self.role {
            Role::Follower { .. } => (RoleName::Follower, None),
            Role::PreCandidate { .. } | Role::Candidate { .. } => (RoleName::Candidate, None),
            Role::Leader(leader) => {
                let matched = leader.progress.iter().map(|(id, p)| (*id, p.matched));
                (RoleName::Leader, Some(matched.collect()))
            }
        };
        Status {
            id: self.id(),
            role,
            term: self.hard_state.term,
            leader: self.leader_id(),
            freshness: self.freshness(now),
            accepted: self.state.current_id(),
            commit: self.commit,
            last_index: self.log.last_index(),
            members: self.log.members().1.clone(),
            matched: matched.unwrap_or_default(),
        }
    }
}
