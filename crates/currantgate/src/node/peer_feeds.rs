//! The feeds that a control node receives from the other control VMs. By opening
//! them, it also announces itself to these VMs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use currantgate_control::Change;
use tokio::sync::{mpsc, watch};

use super::evacuations::AdoptedEvacuations;
use super::persistence::LatestWriter;
use crate::control::ControlHandle;
use crate::feed::{FeedEvent, FeedLinks, FeedMessage, FeedSource, Heartbeat, RevisionTracker};

/// The file of the newest change that a VM without a vote has adopted.
pub(super) const ADOPTED_FILE: &str = "adopted";

/// The address of the leader as another VM reported it, and the time of that
/// report.
pub(super) type LeaderHint = Rc<Cell<Option<(SocketAddr, Instant)>>>;

/// The feeds that a control node receives from the other control VMs.
pub(super) struct PeerFeeds {
    pub(super) links: FeedLinks,
    pub(super) source: Rc<FeedSource>,
    pub(super) handle: ControlHandle,
    pub(super) revisions: RevisionTracker,
    pub(super) adopted: LatestWriter<Change>,
    pub(super) evacuations: AdoptedEvacuations,
    pub(super) leader_hint: LeaderHint,
}

impl PeerFeeds {
    pub(super) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<FeedEvent>,
        mut seeds: watch::Receiver<Vec<SocketAddr>>,
    ) {
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                Ok(()) = seeds.changed() => {
                    let seeds = seeds.borrow_and_update().clone();
                    self.links.set_seeds(seeds);
                }
                else => return,
            }
            self.links.update_unlisted();
        }
    }

    fn handle_event(&mut self, event: FeedEvent) {
        self.links.handle_event(&event);
        match event {
            FeedEvent::Message(from, FeedMessage::Heartbeat(heartbeat)) => {
                self.handle_heartbeat(from, &heartbeat);
            }
            FeedEvent::Message(from, FeedMessage::Update(packed)) => self.adopt(from, &packed),
            FeedEvent::Message(_, FeedMessage::Evacuations(state)) => {
                self.evacuations.adopt(&self.source, state);
            }
            FeedEvent::Message(
                _,
                FeedMessage::Upstreams(_)
                | FeedMessage::SlowUpstreams(_)
                | FeedMessage::WarmupPermits { .. }
                | FeedMessage::Demand { .. },
            )
            | FeedEvent::Connected(_) => {}
            FeedEvent::Disconnected(from) => self.revisions.remove(from),
        }
    }

    fn handle_heartbeat(&mut self, from: SocketAddr, heartbeat: &Heartbeat) {
        self.source.record_control(from);
        self.evacuations.retry_write();
        self.adopted.retry();
        if !heartbeat.is_in_quorum {
            return;
        }
        if let Some(leader) = heartbeat.leader {
            self.leader_hint.set(Some((leader, Instant::now())));
        }
        self.revisions.record(from, heartbeat.revision, true);
        // Voters receive changes by the replicated log.
        if !self.handle.is_in_quorum() {
            self.request_newest();
            // The evacuations came before the heartbeat on the same feed.
            if self.source.evacuations().borrow_mut().confirm() {
                self.source.notify();
            }
        }
    }

    /// Requests a newer change, if there is one. Entries that have no feed from
    /// another control VM then receive the newest from this one, also after a
    /// restart.
    fn request_newest(&mut self) {
        if let Some(newest) = self.source.newest_change() {
            self.revisions.set(newest);
        }
        self.links.set_revision(self.revisions.revision());
        if let Some(request) = self.revisions.next_request(Instant::now()) {
            self.links.request_update(request);
        }
    }

    fn adopt(&mut self, from: SocketAddr, packed: &[u8]) {
        let Some(change) = self.revisions.apply(from, packed) else {
            return;
        };
        log::info!(
            event = "revision",
            revision = change.revision,
            from:% = from;
            "revision is adopted"
        );
        self.adopted.save(Change::clone(&change));
        self.source.publish(change);
    }
}
