//! Orders to evacuate failure domains.

use std::sync::Arc;
use std::time::Instant;

use super::Replica;
use super::role::{Proposal, ProposalKind, Role};
use crate::{
    Command, EvacuationAnswer, EvacuationOrder, Evacuations, Output, RefuseReason, RequestId,
};

impl Replica {
    /// Requests the execution of an order. The answer is an [`Output::Ordered`].
    pub fn order_evacuation(&mut self, now: Instant, id: RequestId, order: EvacuationOrder) {
        self.propose(now, id, Proposal::Evacuation(order));
    }

    /// Returns why an order would be refused at once, if it would.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica does not lead or has no lease.
    pub fn check_order(&self, now: Instant) -> Result<(), RefuseReason> {
        if !self.is_leader() {
            let leader = self.leader_id();
            return Err(RefuseReason::NotLeader { leader });
        }
        if !self.has_lease(now) {
            return Err(RefuseReason::NoLease);
        }
        Ok(())
    }

    /// Drops an order that is not in the log yet, and returns whether there was one.
    /// It is called when the order's sender has given up: if the order were executed
    /// later, it could undo a newer one.
    pub fn cancel_order(&mut self, id: RequestId) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let is_cancelled = |(queued, proposal): &(RequestId, Proposal)| {
            *queued == id && proposal.kind() == ProposalKind::Evacuation
        };
        let position = leader.queued.iter().position(is_cancelled);
        position.is_some_and(|position| leader.queued.remove(position).is_some())
    }

    /// Returns the committed evacuations that this replica knows of.
    pub fn evacuations(&self) -> &Arc<Evacuations> {
        &self.evacuations
    }

    /// Returns whether the log has orders that are not known to be committed.
    pub fn has_uncommitted_orders(&self) -> bool {
        self.uncommitted_orders().next().is_some()
    }

    /// Returns whether a domain is evacuated, or may be by an order that is not known to be
    /// committed. A leader that has restarted may not know yet that an order was accepted.
    pub fn may_be_evacuated(&self, domain: &str) -> bool {
        let mut orders = self.uncommitted_orders();
        self.evacuations.contains(domain) || orders.any(|order| *order.domain == *domain)
    }

    fn uncommitted_orders(&self) -> impl Iterator<Item = &EvacuationOrder> {
        let entries = self.log.entries().iter().rev();
        let uncommitted = entries.take_while(|entry| entry.index > self.commit);
        uncommitted.filter_map(|entry| match &entry.command {
            Command::Evacuation(order) => Some(order),
            _ => None,
        })
    }

    /// Returns whether all that was acknowledged before the current term, or up to a commit
    /// index that a leader has sent, is in force on this replica: it is in contact
    /// with a quorum, has committed an entry of the term, and has reached the highest commit
    /// index that a leader has sent since it started. After a restart, acknowledged entries
    /// may not be known as committed until then. An entry of the term does not suffice, as a
    /// follower that returns while the leader keeps its term has one from before.
    pub fn is_caught_up(&self, now: Instant) -> bool {
        let has_leader_commit = self.is_leader()
            || self
                .leader_commit
                .is_some_and(|leader_commit| leader_commit <= self.commit);
        has_leader_commit
            && self.is_in_quorum(now)
            && self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Executes the order in the entry that was committed last.
    pub(super) fn execute_order(&mut self, order: &EvacuationOrder) {
        Arc::make_mut(&mut self.evacuations).execute(self.commit, order);
        self.output_evacuations();
    }

    pub(super) fn output_evacuations(&mut self) {
        let evacuations = Arc::clone(&self.evacuations);
        self.outputs.push_back(Output::Evacuated(evacuations));
    }

    pub(super) fn answer_order(&mut self, request: RequestId, answer: EvacuationAnswer) {
        self.outputs.push_back(Output::Ordered { request, answer });
    }
}
