//! Operators' requests: changes of the site file and of the voters, reads and
//! status.

use std::time::Instant;

use super::Replica;
use super::role::{
    Leader, PendingProposal, Proposal, ProposalKind, ReplaceStage, Replacement, Role,
};
use crate::{
    ApplyAnswer, ApplyRequest, Command, EvacuationAnswer, Members, Output, ReadAnswer,
    RefuseReason, ReplaceAnswer, ReplaceRequest, RequestId, RoleName, Status, VersionedRequest,
    VoterChange, VoterId,
};

/// The maximum number of changes that wait while another is replicated.
const MAX_QUEUED_CHANGES: usize = 64;

impl Replica {
    /// Requests a change of the site file. The answer is an [`Output::Applied`].
    pub fn apply(&mut self, now: Instant, id: RequestId, request: ApplyRequest) {
        self.propose(now, id, Proposal::OnBase(request));
    }

    /// Requests a site file with its own version. The answer is an
    /// [`Output::Applied`].
    pub fn apply_version(&mut self, now: Instant, id: RequestId, request: VersionedRequest) {
        self.propose(now, id, Proposal::Versioned(request));
    }

    pub(super) fn propose(&mut self, now: Instant, id: RequestId, request: Proposal) {
        if let Err(reason) = self.check_writable(now, &request) {
            self.refuse_proposal(id, request.kind(), reason);
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.queued.push_back((id, request));
        }
        self.propose_queued(now);
    }

    fn refuse_proposal(&mut self, id: RequestId, kind: ProposalKind, reason: RefuseReason) {
        match kind {
            ProposalKind::Change => self.answer_apply(id, ApplyAnswer::Refused(reason)),
            ProposalKind::Evacuation => self.answer_order(id, EvacuationAnswer::Refused(reason)),
        }
    }

    fn check_writable(&self, now: Instant, request: &Proposal) -> Result<(), RefuseReason> {
        let Role::Leader(leader) = &self.role else {
            let leader = self.leader_id();
            return Err(RefuseReason::NotLeader { leader });
        };
        if leader.is_resigning {
            return Err(RefuseReason::NotLeader { leader: None });
        }
        if !self.has_lease(now) {
            return Err(RefuseReason::NoLease);
        }
        if leader.queued.len() >= MAX_QUEUED_CHANGES {
            return Err(RefuseReason::Busy);
        }
        if request.len_bytes() > self.settings.max_site_file_bytes {
            return Err(RefuseReason::TooLarge);
        }
        Ok(())
    }

    /// Appends the next queued proposal to the log, or answers those that can't be
    /// accepted. Only one is replicated at a time, so that each is
    /// checked against a committed state.
    pub(super) fn propose_queued(&mut self, now: Instant) {
        loop {
            let Role::Leader(leader) = &mut self.role else {
                return;
            };
            let is_busy = leader.pending.is_some() || leader.is_resigning;
            if is_busy || self.commit < leader.first_index {
                return;
            }
            let Some((id, request)) = leader.queued.pop_front() else {
                return;
            };
            let has_lease = self.has_lease(now);
            match request.prepare_command(&self.state) {
                // Without the lease another leader may have accepted a change, so
                // the conflict reported here may be out of date.
                Err(ApplyAnswer::Conflict(_)) if !has_lease => {
                    self.answer_apply(id, ApplyAnswer::Refused(RefuseReason::NoLease));
                }
                Err(answer) => self.answer_apply(id, answer),
                Ok(command) => {
                    let index = self.append_command(command);
                    if let Role::Leader(leader) = &mut self.role {
                        leader.pending = Some(PendingProposal {
                            index,
                            request: id,
                            kind: request.kind(),
                        });
                    }
                    self.send_to_all(now);
                    return;
                }
            }
        }
    }

    pub(super) fn answer_apply(&mut self, request: RequestId, answer: ApplyAnswer) {
        self.outputs.push_back(Output::Applied { request, answer });
    }

    /// Requests a linearizable read that does not depend on clocks. The answer is
    /// an [`Output::ReadDone`].
    ///
    /// The leader first waits until a quorum acknowledges a message sent after
    /// the request, so that a VM that was suspended without noticing it never
    /// returns an outdated state.
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

    /// Answers the reads that a quorum has confirmed.
    pub(super) fn confirm_reads(&mut self, now: Instant) {
        let Some(ack_send_time) = self.quorum_ack_send_time(now) else {
            return;
        };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.commit < leader.first_index {
            return;
        }
        let confirmed = leader.reads.extract_if(.., |(_, at)| *at <= ack_send_time);
        let confirmed: Vec<_> = confirmed.map(|(id, _)| id).collect();
        for id in confirmed {
            let change = self.state.current().cloned();
            self.answer_read(id, Ok(change));
        }
    }

    fn answer_read(&mut self, request: RequestId, answer: ReadAnswer) {
        self.outputs.push_back(Output::ReadDone { request, answer });
    }

    /// Requests the replacement of a lost voter. The answer is an
    /// [`Output::Replaced`].
    pub fn replace(&mut self, now: Instant, id: RequestId, request: ReplaceRequest) {
        if request.lost == self.id() {
            // Operators name a VM that is lost, so that this is a mistake.
            return self.answer_replace(id, ReplaceAnswer::WrongMembers);
        }
        self.change_voters(now, id, request.into());
    }

    /// Cancels the change of the voters in progress if the new voter has not
    /// caught up yet, and returns whether it was cancelled.
    pub fn abandon_catch_up(&mut self) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let catching_up = |r: &mut Replacement| r.stage == ReplaceStage::CatchUp;
        let Some(cancelled) = leader.replacement.take_if(catching_up) else {
            return false;
        };
        self.track_followers();
        self.answer_replace(cancelled.request_id, ReplaceAnswer::Unknown);
        true
    }

    /// Requests a change of the voters. The answer is an [`Output::Replaced`].
    ///
    /// The leader itself may be removed or added. It goes on to lead without a vote: entries are
    /// committed and leases held by a majority of the voters, among which it does not count.
    pub fn change_voters(&mut self, now: Instant, id: RequestId, request: VoterChange) {
        let leader = self.leader_id();
        let has_lease = self.has_lease(now);
        let members = self.log.members().1;
        let done = request.is_done(members);
        let Role::Leader(leader_state) = &mut self.role else {
            let reason = RefuseReason::NotLeader { leader };
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        };
        if !has_lease {
            let reason = RefuseReason::NoLease;
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        }
        if leader_state.replacement.is_some() || leader_state.is_resigning {
            let reason = RefuseReason::Busy;
            return self.answer_replace(id, ReplaceAnswer::Refused(reason));
        }
        if done {
            return self.answer_replace(id, ReplaceAnswer::Done);
        }
        if request.lost.is_some_and(|lost| !members.contains(lost)) {
            return self.answer_replace(id, ReplaceAnswer::WrongMembers);
        }
        leader_state.replacement = Some(Replacement {
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

    /// Starts the next step of the change of the voters. A step adds or removes
    /// one voter, and starts only after the previous step is committed.
    pub(super) fn advance_replacement(&mut self, now: Instant) {
        let (members_index, members) = self.log.members();
        let is_committed = members_index <= self.commit;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(replacement) = &leader.replacement else {
            return;
        };
        if !is_committed || self.commit < leader.first_index {
            return;
        }
        let VoterChange {
            lost,
            fresh,
            address,
        } = replacement.request;
        let progress = leader.progress.get(&fresh);
        let caught_up = fresh == self.settings.id
            || progress.is_some_and(|progress| progress.matched >= self.commit);
        let without_lost = |members: &Members| lost.map(|lost| members.without_voter(lost));
        let next = match replacement.stage {
            ReplaceStage::CatchUp if members.contains(fresh) => without_lost(members),
            ReplaceStage::CatchUp if caught_up => Some(members.with_voter(fresh, address)),
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
        let index = self.append_command(Command::Members(next));
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

    /// Answers the open requests of a leader that has stepped down.
    pub(super) fn answer_open_requests(&mut self, former: Leader, leader: Option<VoterId>) {
        if let Some(pending) = former.pending {
            match pending.kind {
                ProposalKind::Change => self.answer_apply(pending.request, ApplyAnswer::Unknown),
                ProposalKind::Evacuation => {
                    self.answer_order(pending.request, EvacuationAnswer::Unknown);
                }
            }
        }
        for (id, _) in former.reads {
            let reason = RefuseReason::NotLeader { leader };
            self.answer_read(id, Err(reason));
        }
        for (id, proposal) in former.queued {
            self.refuse_proposal(id, proposal.kind(), RefuseReason::NotLeader { leader });
        }
        if let Some(replacement) = former.replacement {
            self.answer_replace(replacement.request_id, ReplaceAnswer::Unknown);
        }
    }

    /// Returns the change of the voters that is in progress.
    pub fn voter_change(&self) -> Option<VoterChange> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        leader.replacement.as_ref().map(|r| r.request)
    }

    /// Steps down as leader, for a planned stop.
    pub fn step_down(&mut self, now: Instant) {
        if self.is_leader() {
            self.become_follower(now, None);
        }
    }

    /// Returns the address of a voter, or of the control VM that is being added
    /// as one.
    pub fn peer_address(&self, id: VoterId) -> Option<std::net::SocketAddr> {
        let fresh = self
            .voter_change()
            .filter(|r| r.fresh == id)
            .map(|r| r.address);
        self.log.members().1.address(id).or(fresh)
    }

    /// Returns the status of this replica for operators.
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
