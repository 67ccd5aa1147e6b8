//! Applies the views of live entries and upstreams.

use std::net::SocketAddr;
use std::time::Instant;

use currantgate_config::{EntryId, Service, UpstreamId};
use currantgate_membership::{EntryStage, EntryView, Presence, Upstream};
use indexmap::IndexMap;

use crate::copy::{self};
use crate::replicas;
use crate::router::{BucketId, Router};
use crate::transfer::{Cause, Progress, Stage};
use crate::upstream_status::UpstreamStatus;
use crate::{BucketIndex, Phase};

/// Maximum number of gone upstreams that are remembered.
const MAX_GONE: usize = 4_096;

impl Router {
    /// Sets the view of all upstreams and their presence.
    pub fn set_upstreams<'a>(
        &mut self,
        now: Instant,
        upstreams: impl Iterator<Item = (&'a Upstream, Presence)>,
    ) {
        let upstreams: Vec<_> = upstreams.collect();
        let before = std::mem::take(&mut self.upstreams);
        self.addresses = newest_by_address(&upstreams);
        for (upstream, presence) in upstreams {
            let id = upstream.id();
            let presence = match self.addresses.get(&upstream.address) {
                // The address belongs to another upstream now, so it must
                // receive no packet of this one's flows.
                Some(holder) if *holder != id => Presence::Gone,
                _ => presence,
            };
            let service = self.service_of(upstream);
            let status = UpstreamStatus::new(now, (upstream, presence), service, before.get(&id));
            self.upstreams.insert(id, status);
        }
        if !before.keys().eq(self.upstreams.keys()) {
            self.view_changed_at = now;
        }
        self.update_gone(before.keys().copied());
        for t in 0..self.tables.len() {
            self.plan(now, t);
        }
    }

    /// Sets the view of live entries, including this one.
    pub fn set_entries(&mut self, now: Instant, entries: &[EntryView]) {
        let before = std::mem::take(&mut self.entries);
        self.entries = entries.iter().map(|e| (e.id, e.stage)).collect();
        if before != self.entries {
            self.view_changed_at = now;
        }
        self.choose_replicas(now);
        self.update_sync_peers(now, &before);
        let bucket_ids: Vec<_> = self.transfers.keys().copied().collect();
        for bucket_id in bucket_ids {
            self.update_peers(now, bucket_id);
        }
        for t in 0..self.tables.len() {
            self.plan(now, t);
        }
    }

    /// Chooses the primary and backup of every bucket.
    pub(crate) fn choose_replicas(&mut self, now: Instant) {
        let me = self.settings.id;
        let serving = |(id, stage): (&EntryId, &EntryStage)| {
            let serves = *stage == EntryStage::Serving && (*id != me || self.sync.is_done());
            serves.then_some(*id)
        };
        let candidates: Vec<_> = self.entries.iter().filter_map(serving).collect();
        let mut copies = Vec::new();
        for (t, table) in self.tables.iter_mut().enumerate() {
            for (index, bucket) in table.buckets.iter_mut().enumerate() {
                let key = u64::from(table.id) << 32 | index as u64;
                let (primary, backup) = replicas::choose(key, &candidates, &self.settings.domains);
                if primary == Some(me) && bucket.primary != Some(me) {
                    bucket.primary_since = (bucket.phase != Phase::Unowned).then_some(now);
                }
                let old = (bucket.primary, bucket.backup);
                let is_live = |id| self.entries.contains_key(&id);
                let receivers = copy::receivers(me, old, (primary, backup), is_live);
                copies.extend(receivers.map(|to| ((t, index as BucketIndex), to)));
                bucket.primary = primary;
                bucket.backup = backup;
            }
        }
        self.prune_copies();
        for (bucket_id, to) in copies {
            self.begin_copy(now, bucket_id, to);
        }
    }

    /// Adjusts the participants of a move to the live entries. Entries that
    /// appear during the commit don't join it.
    pub(crate) fn update_peers(&mut self, now: Instant, bucket_id: BucketId) {
        let live = self.live_peers();
        let Some(transfer) = self.transfers.get_mut(&bucket_id) else {
            return;
        };
        transfer.peers.retain(|peer, _| live.contains(peer));
        if transfer.stage < Stage::Committing {
            for peer in live {
                let progress = || Progress::new(now);
                transfer.peers.entry(peer).or_insert_with(progress);
            }
        }
        self.advance(now, bucket_id);
    }

    /// Restarts the moves whose coordinator is no longer live, for the buckets
    /// that this entry is the primary of.
    pub(crate) fn take_over_moves(&mut self, now: Instant, t: usize) {
        for index in 0..self.tables[t].buckets.len() {
            let bucket_id = (t, index as BucketIndex);
            let bucket = &self.tables[t].buckets[index];
            let Phase::Moving { from, to } = bucket.phase else {
                continue;
            };
            let coordinator = bucket.version.coordinator;
            let coordinator_is_live =
                coordinator != self.settings.id && self.entries.contains_key(&coordinator);
            if coordinator_is_live
                || self.transfers.contains_key(&bucket_id)
                || !self.is_primary(bucket_id)
            {
                continue;
            }
            self.start_move(now, bucket_id, (from, to), Cause::Takeover);
        }
    }

    /// Returns the service that an upstream announces, if it has a table.
    pub(crate) fn service_of(&self, upstream: &Upstream) -> Option<&Service> {
        let found = self.tables.iter().find(|t| t.id == upstream.service);
        found.map(|t| &t.service)
    }

    /// Updates the set of gone upstreams, and restarts the scan for their flows
    /// if one was added.
    pub(crate) fn update_gone(&mut self, before: impl Iterator<Item = UpstreamId>) {
        let mut gone: Vec<_> = before
            .filter(|id| !self.upstreams.contains_key(id))
            .collect();
        for (id, status) in &self.upstreams {
            if status.presence == Presence::Gone {
                gone.push(*id);
            } else {
                self.gone.shift_remove(id);
            }
        }
        for id in gone {
            if self.gone.insert(id) {
                self.gone_scan.restart();
            }
        }
        while self.gone.len() > MAX_GONE {
            self.gone.shift_remove_index(0);
        }
    }
}

/// Returns the upstream that holds each address: one with a lease before one
/// without, then the one with the highest incarnation.
fn newest_by_address(upstreams: &[(&Upstream, Presence)]) -> IndexMap<SocketAddr, UpstreamId> {
    let mut newest: IndexMap<SocketAddr, (bool, u64, UpstreamId)> = IndexMap::new();
    for (upstream, presence) in upstreams {
        let rank = (
            *presence == Presence::Leased,
            upstream.incarnation,
            upstream.id(),
        );
        let held = newest.entry(upstream.address).or_insert(rank);
        *held = rank.max(*held);
    }
    newest.into_iter().map(|(a, (.., id))| (a, id)).collect()
}
