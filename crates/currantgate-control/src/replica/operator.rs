//! Requests of operators.

use std::time::Instant;

use super::Replica;
use super::role::{Leader, ReplaceStage, Replacement, Role};
use crate::{
    ApplyAnswer, ApplyRequest, Command, Output, RefuseReason, ReplaceAnswer, ReplaceRequest,
    RequestId, RoleName, Status, VoterId,
};
use std::sync::Arc;

/// How many changes may wait for the one that is on its way.
const MAX_WAITING: usize = 64;

impl Replica {
    /// Takes a change of an operator; the answer is an output.
    pub fn apply(&mut self, now: Instant, id: RequestId, request: ApplyRequest) {
        if let Err(reason) = self.check_writable(now, &request) {
            self.answer_apply(id, ApplyAnswer::Refused(reason));
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.waiting.push_back((id, request));
        }
        self.take_waiting(now);
    }

    fn check_writable(&self, now: Instant, request: &ApplyRequest) -> Result<(), RefuseReason> {
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
        if request.text.len() > self.settings.max_text_bytes {
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
            match self.state.judge(&request) {
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

    /// Takes a replacement of a lost voter; the answer is an output.
    pub fn replace(&mut self, now: Instant, id: RequestId, request: ReplaceRequest) {
        let leader = self.leader_id();
        let has_lease = self.has_lease(now);
        let members = self.log.members().1;
        let done = members.contains(request.fresh) && !members.contains(request.lost);
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
        if !members.contains(request.lost) || request.lost == self.settings.id {
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
        let ReplaceRequest {
            lost,
            fresh,
            address,
        } = replacement.request;
        let caught_up = leader
            .progress
            .get(&fresh)
            .is_some_and(|p| p.matched >= self.commit);
        let next = match replacement.stage {
            ReplaceStage::CatchUp if members.contains(fresh) => Some(members.without(lost)),
            ReplaceStage::CatchUp if caught_up => Some(members.with(fresh, address)),
            ReplaceStage::CatchUp => return,
            ReplaceStage::Adding(_) => Some(members.without(lost)),
            ReplaceStage::Removing(_) => None,
        };
        let Some(next) = next else {
            let id = replacement.request_id;
            if let Role::Leader(leader) = &mut self.role {
                leader.replacement = None;
            }
            return self.answer_replace(id, ReplaceAnswer::Done);
        };
        let removes = !next.contains(lost);
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
        for (id, _) in before.waiting {
            let reason = RefuseReason::NotLeader { leader };
            self.answer_apply(id, ApplyAnswer::Refused(reason));
        }
        if let Some(replacement) = before.replacement {
            self.answer_replace(replacement.request_id, ReplaceAnswer::Unknown);
        }
    }

    /// Returns where another control VM listens: a voter, or the one that is
    /// to become one.
    pub fn address_of(&self, id: VoterId) -> Option<std::net::SocketAddr> {
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
            term: self.hard.term,
            leader: self.leader_id(),
            freshness: self.freshness(now),
            accepted: self.state.base(),
            commit: self.commit,
            last_index: self.log.last_index(),
            members: self.log.members().1.clone(),
            matched: matched.unwrap_or_default(),
        }
    }
}
