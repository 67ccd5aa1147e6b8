//! Access to a control VM from other tasks of its process.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use currantgate_control::{
    ApplyAnswer, Change, EvacuationOrder, ReadAnswer, RefuseReason, Term, VersionedRequest,
    VoterId, VoterPlanner,
};
use tokio::sync::watch;

use super::call::Reply;
use super::core::{Core, HandOver};
use super::evacuation::{EvacuationReply, LocalEvacuations, execute_order};

/// The answer to a file that carries its own version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionedAnswer {
    /// The decision of the control VMs.
    Decided(ApplyAnswer),
    /// The file is invalid, and nothing was applied.
    InvalidFile(Box<str>),
}

/// A handle to a control VM for other tasks of its process.
#[derive(Clone)]
pub struct ControlHandle {
    core: Rc<RefCell<Core>>,
}

impl ControlHandle {
    pub(super) fn new(core: Rc<RefCell<Core>>) -> Self {
        Self { core }
    }

    /// Applies a file that carries a version number of its author.
    pub async fn apply_version(&self, request: VersionedRequest) -> VersionedAnswer {
        let reply = self.core.borrow_mut().apply_version(request);
        match reply.await {
            Ok(Reply::Apply(answer)) => VersionedAnswer::Decided(answer),
            Ok(Reply::InvalidFile(problem)) => VersionedAnswer::InvalidFile(problem),
            Ok(_) | Err(_) => VersionedAnswer::Decided(ApplyAnswer::Unknown),
        }
    }

    /// Has an order on a failure domain executed.
    pub async fn order_evacuation(&self, order: EvacuationOrder) -> EvacuationReply {
        execute_order(&self.core, order).await
    }

    /// Returns a receiver of the committed evacuations.
    pub(crate) fn evacuations(&self) -> watch::Receiver<LocalEvacuations> {
        self.core.borrow().evacuations()
    }

    /// Reads the accepted file with confirmation by a quorum.
    ///
    /// # Errors
    ///
    /// Returns the reason for which this VM can't read it.
    pub async fn read_confirmed(&self) -> ReadAnswer {
        let reply = self.core.borrow_mut().read_confirmed();
        match reply.await {
            Ok(Reply::Confirmed(answer)) => answer,
            Ok(_) | Err(_) => Err(RefuseReason::NotLeader { leader: None }),
        }
    }

    /// Returns the leader and the address that it listens on, if known.
    pub fn leader(&self) -> Option<(VoterId, SocketAddr)> {
        self.core.borrow().leader()
    }

    /// Returns whether this VM is in contact with a quorum.
    pub fn is_in_quorum(&self) -> bool {
        self.core.borrow().is_in_quorum()
    }

    /// Returns the term in which this VM holds the leader's lease, if it does. No other VM
    /// holds it at the same time, and none in an earlier term does so later.
    pub fn lease_term(&self) -> Option<Term> {
        self.core.borrow().lease_term()
    }

    /// Returns a receiver of the newest committed change.
    pub fn committed(&self) -> watch::Receiver<Option<Arc<Change>>> {
        self.core.borrow().committed()
    }

    /// Enables the automatic replacement of lost voters.
    pub fn set_planner(&self, planner: VoterPlanner) {
        self.core.borrow_mut().set_planner(planner);
    }

    /// Records a contact with a control VM, which may be no voter.
    pub fn record_contact(&self, id: VoterId, address: SocketAddr, domain: &str) {
        self.core.borrow_mut().record_contact(id, address, domain);
    }

    /// Records that a connection of another control VM has ended.
    pub(crate) fn record_disconnect(&self, id: VoterId) {
        self.core.borrow_mut().record_disconnect(id);
    }

    /// Passes the lead and the vote of this VM on before a planned stop; to be repeated until
    /// it is complete.
    pub(crate) fn hand_over(&self) -> HandOver {
        self.core.borrow_mut().hand_over()
    }

    /// Gives up leadership, before a planned stop.
    pub fn step_down(&self) {
        self.core.borrow_mut().step_down();
    }
}
