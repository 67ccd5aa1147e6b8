//! Which revision an entry holds, and which control VM to ask for a newer one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_control::Revision;
use indexmap::IndexMap;

/// How long an answer is waited for before another control VM is asked: several
/// times what a large file takes on a small VM's link.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(600);

/// A request for a newer revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ask {
    pub(super) to: SocketAddr,
    pub(super) revision: Revision,
}

#[derive(Debug)]
struct Told {
    revision: Revision,
    is_in_quorum: bool,
}

/// Which revision an entry holds, and what the control VMs in reach hold.
#[derive(Debug, Default)]
pub(super) struct HeldRoutes {
    held: Revision,
    told: IndexMap<SocketAddr, Told>,
    asked: Option<(Ask, Instant)>,
}

impl HeldRoutes {
    /// Notes what a control VM in reach holds.
    pub(super) fn told(&mut self, from: SocketAddr, revision: Revision, is_in_quorum: bool) {
        let told = Told {
            revision,
            is_in_quorum,
        };
        self.told.insert(from, told);
    }

    /// Notes that a control VM is out of reach.
    pub(super) fn lost(&mut self, from: SocketAddr) {
        self.told.swap_remove(&from);
        self.asked.take_if(|(ask, _)| ask.to == from);
    }

    /// Notes a revision that has come; returns whether it is newer.
    pub(super) fn take(&mut self, revision: Revision) -> bool {
        let is_newer = revision > self.held;
        self.held = self.held.max(revision);
        self.asked.take_if(|(ask, _)| ask.revision <= revision);
        is_newer
    }

    /// Returns the revision that is held; 0 is none.
    pub(super) fn held(&self) -> Revision {
        self.held
    }

    /// Tells whether a control VM that is in contact with a quorum holds
    /// nothing newer.
    pub(super) fn is_current(&self) -> bool {
        let newest = self.told.values().map(|t| t.revision).max();
        let is_confirmed = self.told.values().any(|t| t.is_in_quorum);
        self.held > 0 && is_confirmed && newest.is_some_and(|newest| newest <= self.held)
    }

    /// Returns whom to ask for which revision, if any is newer than the held one.
    pub(super) fn next_ask(&mut self, now: Instant) -> Option<Ask> {
        let newest = self.told.values().map(|t| t.revision).max()?;
        if newest <= self.held {
            return None;
        }
        let (ask, at) = self.asked.unzip();
        let is_waiting = at.is_some_and(|at| now < at + ASK_AGAIN_AFTER);
        if is_waiting && ask.is_some_and(|ask| ask.revision >= newest) {
            return None;
        }
        let before = ask.map(|ask| ask.to);
        let holders = || self.told.iter().filter(|(_, t)| t.revision == newest);
        let to = holders()
            .map(|(address, _)| *address)
            .find(|address| Some(*address) != before)
            .or(holders().map(|(address, _)| *address).next())?;
        let ask = Ask {
            to,
            revision: newest,
        };
        self.asked = Some((ask, now));
        Some(ask)
    }
}
