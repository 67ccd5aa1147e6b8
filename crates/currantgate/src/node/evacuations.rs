//! The evacuations of a control node: from its log or other control VMs to its
//! feeds and its disk.

use std::rc::Rc;
use std::time::Instant;

use currantgate_control::{DataDirectory, ValueFile};

use super::persistence::{self, LatestWriter};
use crate::control::{ControlHandle, LocalEvacuations};
use crate::feed::{EvacuationState, FeedSource, evacuations};

/// The file of the newest evacuations that a VM has adopted from another one. A VM
/// without a vote has no other record of them.
pub(super) const ADOPTED_EVACUATIONS_FILE: &str = "adopted-evacuations";

/// The file with the adopted evacuations.
pub(super) type AdoptedEvacuationsFile = ValueFile<DataDirectory, EvacuationState>;

/// Publishes the evacuations that the VM has stored before its start.
pub(super) fn restore(
    source: &FeedSource,
    file: &mut AdoptedEvacuationsFile,
    local: &LocalEvacuations,
) {
    let mut published = source.evacuations().borrow_mut();
    if let Some(state) = persistence::load(file, ADOPTED_EVACUATIONS_FILE) {
        let domains = state.evacuated.iter().map(|domain| &**domain);
        published.restore(state.revision, domains);
    }
    let evacuations = &local.evacuations;
    let domains = evacuations.iter().map(|(domain, _)| domain);
    published.restore(evacuations.revision(), domains);
    // Whether these orders are in force is known once a quorum is heard.
    if local.has_uncommitted_orders {
        published.hold_upstreams(Instant::now());
    }
}

/// Publishes the evacuations that the VM's log commits.
pub(super) async fn publish_commits(source: Rc<FeedSource>, handle: ControlHandle) {
    let mut local = handle.evacuations();
    loop {
        publish(&source, &local.borrow_and_update());
        if local.changed().await.is_err() {
            return;
        }
    }
}

fn publish(source: &FeedSource, local: &LocalEvacuations) {
    let evacuations = &local.evacuations;
    let domains = evacuations.iter().map(|(domain, _)| domain);
    let mut published = source.evacuations().borrow_mut();
    let is_newer = published.update(Instant::now(), evacuations.revision(), domains);
    let is_released = local.is_caught_up && published.confirm();
    drop(published);
    if is_newer || is_released {
        source.notify();
    }
}

/// The evacuations that are adopted from other control VMs.
pub(super) struct AdoptedEvacuations {
    writer: LatestWriter<EvacuationState>,
}

impl AdoptedEvacuations {
    pub(super) fn new(file: AdoptedEvacuationsFile) -> Self {
        Self {
            writer: LatestWriter::spawn(file, ADOPTED_EVACUATIONS_FILE),
        }
    }

    /// Publishes the state of another control VM and saves it if it is newer. A VM with
    /// a vote does so too: all published orders are committed, and the link to the
    /// leader may be down.
    pub(super) fn adopt(&mut self, source: &FeedSource, state: EvacuationState) {
        let now = Instant::now();
        let mut published = source.evacuations().borrow_mut();
        let change = published.change();
        let is_newer = evacuations::adopt(&mut published, now, &state);
        let is_changed = published.change() != change;
        drop(published);
        if is_changed {
            source.notify();
        }
        if is_newer {
            log::info!(
                event = "evacuation",
                revision = state.revision,
                domains:? = state.evacuated;
                "evacuations are adopted"
            );
            self.writer.save(EvacuationState {
                returned: Vec::new(),
                ..state
            });
        }
        self.retry_write();
    }

    /// Has the newest state written if the disk was busy before.
    pub(super) fn retry_write(&mut self) {
        self.writer.retry();
    }
}
