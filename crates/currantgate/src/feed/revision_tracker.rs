//! The revision that a VM holds, and requests for a newer one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_control::{Change, Revision, RevisionId, Update};
use indexmap::IndexMap;

/// Time after which an unanswered request is sent to another control VM: several
/// times what a large file takes on a small VM's link.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// A request for a newer revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpdateRequest {
    pub(crate) to: SocketAddr,
    pub(crate) revision: Revision,
    /// What the VM holds, from which the update may be made.
    pub(crate) base: RevisionId,
}

/// The state that a control VM has last reported.
#[derive(Debug)]
struct Reported {
    revision: Revision,
    is_in_quorum: bool,
}

/// The revision that a VM holds, and those that the reachable control VMs hold.
#[derive(Debug, Default)]
pub(crate) struct RevisionTracker {
    change: Option<Arc<Change>>,
    reported: IndexMap<SocketAddr, Reported>,
    pending: Option<(UpdateRequest, Instant)>,
    /// Whether the last update could not be applied, so that a whole file is
    /// needed.
    needs_full: bool,
}

impl RevisionTracker {
    /// Records the state that a reachable control VM reports.
    pub(crate) fn record(&mut self, from: SocketAddr, revision: Revision, is_in_quorum: bool) {
        let reported = Reported {
            revision,
            is_in_quorum,
        };
        self.reported.insert(from, reported);
    }

    /// Removes a control VM that is no longer reachable.
    pub(crate) fn remove(&mut self, from: SocketAddr) {
        self.reported.swap_remove(&from);
        self.pending.take_if(|(request, _)| request.to == from);
    }

    /// Applies an update as it was sent. Returns the resulting change, or `None`
    /// if that is not newer or can't be made.
    pub(crate) fn apply(&mut self, from: SocketAddr, packed: &[u8]) -> Option<Arc<Change>> {
        let update = match Update::unpack(packed) {
            Ok(update) => update,
            Err(e) => {
                log::error!("an update from {from} can't be decoded: {e}");
                return None;
            }
        };
        let target = update.target();
        self.pending
            .take_if(|(request, _)| request.revision <= target.revision);
        if target.revision <= self.revision() {
            return None;
        }
        let Some(change) = update.rebuild(self.change.as_ref()) else {
            log::warn!(
                "the update from {from} to {target} can't be applied to {}",
                self.base()
            );
            self.needs_full = true;
            return None;
        };
        self.set(Arc::clone(&change));
        Some(change)
    }

    /// Records a change that was not received as an update.
    pub(crate) fn set(&mut self, change: Arc<Change>) {
        self.needs_full = false;
        self.change = Some(change);
    }

    /// Returns the revision that is held, or 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.change.as_ref().map_or(0, |change| change.revision)
    }

    fn base(&self) -> RevisionId {
        let held = self.change.as_ref();
        held.map_or_else(RevisionId::empty, |change| change.revision_id())
    }

    /// Returns the base that updates are requested from, which is empty if a whole
    /// file is needed.
    fn request_base(&self) -> RevisionId {
        if self.needs_full {
            RevisionId::empty()
        } else {
            self.base()
        }
    }

    /// Returns whether the held revision is confirmed as the newest: a control VM
    /// is in contact with a quorum, and no reachable one holds a newer revision.
    pub(crate) fn is_current(&self) -> bool {
        let newest = self.reported.values().map(|r| r.revision).max();
        let is_confirmed = self.reported.values().any(|r| r.is_in_quorum);
        self.change.is_some()
            && is_confirmed
            && newest.is_some_and(|newest| newest <= self.revision())
    }

    /// Returns the next request to send, if a control VM holds a newer revision
    /// and no request for it is pending.
    pub(crate) fn next_request(&mut self, now: Instant) -> Option<UpdateRequest> {
        let newest = self.reported.values().map(|r| r.revision).max()?;
        if newest <= self.revision() {
            return None;
        }
        let (request, at) = self.pending.unzip();
        let is_waiting = at.is_some_and(|at| now < at + REQUEST_TIMEOUT);
        if is_waiting && request.is_some_and(|request| request.revision >= newest) {
            return None;
        }
        let previous = request.map(|request| request.to);
        let holders = || self.reported.iter().filter(|(_, r)| r.revision == newest);
        let to = holders()
            .map(|(address, _)| *address)
            .find(|address| Some(*address) != previous)
            .or(holders().map(|(address, _)| *address).next())?;
        let request = UpdateRequest {
            to,
            revision: newest,
            base: self.request_base(),
        };
        self.pending = Some((request, now));
        Some(request)
    }
}
