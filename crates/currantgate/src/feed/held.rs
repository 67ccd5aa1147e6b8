//! Which revision a VM holds, and which control VM to ask for a newer one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_control::{Change, Revision, RevisionId, Update};
use indexmap::IndexMap;

/// How long an answer is waited for before another control VM is asked: several
/// times what a large file takes on a small VM's link.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(600);

/// A request for a newer revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    pub(crate) to: SocketAddr,
    pub(crate) revision: Revision,
    /// What the VM holds, from which the update may be made.
    pub(crate) have: RevisionId,
}

#[derive(Debug)]
struct Told {
    revision: Revision,
    is_in_quorum: bool,
}

/// Which revision a VM holds, and what the control VMs in reach hold.
#[derive(Debug, Default)]
pub(crate) struct Held {
    change: Option<Arc<Change>>,
    told: IndexMap<SocketAddr, Told>,
    asked: Option<(Ask, Instant)>,
    /// Whether the last update could not be used, so that a whole file is needed.
    has_misfit: bool,
}

impl Held {
    /// Notes what a control VM in reach holds.
    pub(crate) fn told(&mut self, from: SocketAddr, revision: Revision, is_in_quorum: bool) {
        let told = Told {
            revision,
            is_in_quorum,
        };
        self.told.insert(from, told);
    }

    /// Notes that a control VM is out of reach.
    pub(crate) fn lost(&mut self, from: SocketAddr) {
        self.told.swap_remove(&from);
        self.asked.take_if(|(ask, _)| ask.to == from);
    }

    /// Takes an update as it was sent; returns the change that it makes, if
    /// that is newer.
    pub(crate) fn take(&mut self, from: SocketAddr, packed: &[u8]) -> Option<Arc<Change>> {
        let update = match Update::unpack(packed) {
            Ok(update) => update,
            Err(e) => {
                log::error!("an update of {from} can't be read: {e}");
                return None;
            }
        };
        let target = update.target();
        self.asked
            .take_if(|(ask, _)| ask.revision <= target.revision);
        if target.revision <= self.revision() {
            return None;
        }
        let Some(change) = update.rebuild(self.change.as_ref()) else {
            log::warn!("{target} of {from} can't be made from {}", self.base());
            self.has_misfit = true;
            return None;
        };
        self.set(Arc::clone(&change));
        Some(change)
    }

    /// Notes a change that was learnt in another way.
    pub(crate) fn set(&mut self, change: Arc<Change>) {
        self.has_misfit = false;
        self.change = Some(change);
    }

    /// Returns the revision that is held; 0 is none.
    pub(crate) fn revision(&self) -> Revision {
        self.change.as_ref().map_or(0, |change| change.revision)
    }

    fn base(&self) -> RevisionId {
        let held = self.change.as_ref();
        held.map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns what an update may be made from.
    fn base_for_updates(&self) -> RevisionId {
        if self.has_misfit {
            RevisionId::empty()
        } else {
            self.base()
        }
    }

    /// Tells whether a control VM that is in contact with a quorum holds
    /// nothing newer.
    pub(crate) fn is_current(&self) -> bool {
        let newest = self.told.values().map(|t| t.revision).max();
        let is_confirmed = self.told.values().any(|t| t.is_in_quorum);
        self.change.is_some()
            && is_confirmed
            && newest.is_some_and(|newest| newest <= self.revision())
    }

    /// Returns whom to ask for which revision, if any is newer than the held one.
    pub(crate) fn next_ask(&mut self, now: Instant) -> Option<Ask> {
        let newest = self.told.values().map(|t| t.revision).max()?;
        if newest <= self.revision() {
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
            have: self.base_for_updates(),
        };
        self.asked = Some((ask, now));
        Some(ask)
    }
}
