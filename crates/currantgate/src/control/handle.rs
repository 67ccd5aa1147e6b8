//! What the rest of a process uses of its control VM.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use currantgate_control::{
    ApplyAnswer, Change, ReadAnswer, RefuseReason, VersionedRequest, VoterId, VoterPlanner,
};
use tokio::sync::watch;

use super::call::Reply;
use super::core::Core;

/// What became of a file that carries its own version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionedAnswer {
    /// What the control VMs decided.
    Decided(ApplyAnswer),
    /// The file is wrong; nothing was applied.
    InvalidFile(Box<str>),
}

/// What the rest of a process uses of its control VM.
#[derive(Clone)]
pub struct ControlHandle {
    core: Rc<RefCell<Core>>,
}

impl ControlHandle {
    pub(super) fn new(core: Rc<RefCell<Core>>) -> Self {
        Self { core }
    }

    /// Puts a file in force whose author numbered it.
    pub async fn apply_version(&self, request: VersionedRequest) -> VersionedAnswer {
        let waiting = self.core.borrow_mut().apply_version(request);
        match waiting.await {
            Ok(Reply::Apply(answer)) => VersionedAnswer::Decided(answer),
            Ok(Reply::InvalidFile(problem)) => VersionedAnswer::InvalidFile(problem),
            Ok(_) | Err(_) => VersionedAnswer::Decided(ApplyAnswer::Unknown),
        }
    }

    /// Reads what is in force, as a quorum confirms.
    ///
    /// # Errors
    ///
    /// Returns why this VM can't tell.
    pub async fn read_confirmed(&self) -> ReadAnswer {
        let waiting = self.core.borrow_mut().read_confirmed();
        match waiting.await {
            Ok(Reply::Confirmed(answer)) => answer,
            Ok(_) | Err(_) => Err(RefuseReason::NotLeader { leader: None }),
        }
    }

    /// Returns who leads and where it listens for control VMs.
    pub fn leader(&self) -> Option<(VoterId, SocketAddr)> {
        self.core.borrow().leader()
    }

    /// Tells whether this VM is in contact with a quorum.
    pub fn is_in_quorum(&self) -> bool {
        self.core.borrow().is_in_quorum()
    }

    /// Returns the newest committed change, and wakes its holder for each newer.
    pub fn committed(&self) -> watch::Receiver<Option<Arc<Change>>> {
        self.core.borrow().committed()
    }

    /// Lets the VM replace lost voters by itself.
    pub fn set_planner(&self, planner: VoterPlanner) {
        self.core.borrow_mut().set_planner(planner);
    }

    /// Notes that a control VM, voter or not, is alive.
    pub fn record_contact(&self, id: VoterId, address: SocketAddr, domain: &str) {
        self.core.borrow_mut().record_contact(id, address, domain);
    }

    /// Stops leading at once, for a planned stop.
    pub fn step_down(&self) {
        self.core.borrow_mut().step_down();
    }
}
