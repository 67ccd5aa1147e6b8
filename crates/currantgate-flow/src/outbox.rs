//! Builds the messages that are due, urgent ones first.

use std::time::Instant;

use currantgate_config::EntryId;
use currantgate_membership::Budget;

use crate::batch::Batch;
use crate::participant::PAGE_BYTES;
use crate::pin;
use crate::pull::PULL_RETRY;
use crate::router::{BucketId, Router};
use crate::transfer::{Progress, Stage, Transfer};
use crate::{Output, Step, Version};

/// Urgency of a step. New flows wait for steps of the first kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    PrepareOrCommit,
    Pins,
}

impl Router {
    /// Returns the next output, or `None` if none is due. While the send budget
    /// is exhausted, only refusals to callers are returned.
    pub fn poll_output(&mut self, now: Instant, budget: &mut Budget) -> Option<Output> {
        if let Some(refusal) = self.poll_refusal(now) {
            return Some(refusal);
        }
        if !self.has_due(now) || !budget.can_send(now) {
            return None;
        }
        let due = self.poll_replies();
        let due = due.or_else(|| self.poll_transfers(now, Urgency::PrepareOrCommit));
        let due = due.or_else(|| self.outputs.pop_front());
        let due = due.or_else(|| self.poll_pulls(now));
        let due = due.or_else(|| self.poll_merge_requests(now));
        // Joining entries wait for states and moves wait for pins, so the two
        // take turns.
        self.states_first = !self.states_first;
        let due = due.or_else(|| self.states_first.then(|| self.poll_states()).flatten());
        let due = due.or_else(|| self.poll_transfers(now, Urgency::Pins));
        let due = due.or_else(|| self.poll_states());
        let due = due.or_else(|| self.poll_copies(now));
        if due.is_none() {
            self.send_at = self.next_send_at();
        }
        due
    }

    fn has_due(&self, now: Instant) -> bool {
        let queued =
            !self.replies.is_empty() || !self.outputs.is_empty() || !self.state_requests.is_empty();
        queued || now >= self.send_at
    }

    /// Returns the instant at which the next step is due.
    fn next_send_at(&self) -> Instant {
        let steps = self.transfers.values().flat_map(|t| {
            let total = t.pins.len() as u32;
            let stage = t.stage;
            let is_waiting = move |p: &&Progress| match stage {
                Stage::Preparing => !p.prepared,
                Stage::Pinning => !p.has_all_pins(total),
                Stage::Committing => !p.committed,
            };
            t.peers.values().filter(is_waiting).map(|p| p.send_at)
        });
        let pulls = self.pulls.values().map(|p| p.send_at);
        let merge_requests = self.merge_requests.values().copied();
        let copies = self.copies.values().map(|c| c.send_at);
        let due = steps.chain(pulls).chain(merge_requests).chain(copies).min();
        due.unwrap_or_else(|| self.next_check_at())
    }

    fn poll_replies(&mut self) -> Option<Output> {
        let (to, t) = *self.replies.keys().next()?;
        let mut batch = Batch::new(to, self.tables[t].id);
        let queue = self.replies.get_mut(&(to, t))?;
        while let Some((bucket, version, step)) = queue.front() {
            if !batch.add(*bucket, *version, step) {
                break;
            }
            queue.pop_front();
        }
        if queue.is_empty() {
            self.replies.swap_remove(&(to, t));
        }
        batch.finish()
    }

    /// Returns one message with all steps that are due to one entry.
    fn poll_transfers(&mut self, now: Instant, urgency: Urgency) -> Option<Output> {
        let mut batch: Option<(EntryId, usize, Batch)> = None;
        for ((t, index), transfer) in &mut self.transfers {
            let table = &self.tables[*t];
            let bucket = &table.buckets[usize::from(*index)];
            let due: Vec<_> = due_peers(transfer, bucket.backup, now, urgency).collect();
            for peer in due {
                if batch
                    .as_ref()
                    .is_some_and(|(to, of, _)| (*to, *of) != (peer, *t))
                {
                    continue;
                }
                let (.., batch) =
                    batch.get_or_insert_with(|| (peer, *t, Batch::new(peer, table.id)));
                let Some(step) = next_step(transfer, peer, batch.bytes_left_for_flows()) else {
                    continue;
                };
                if batch.add(*index, bucket.version, &step) {
                    transfer.peers[&peer].on_sent(now);
                }
            }
        }
        batch?.2.finish()
    }

    fn poll_pulls(&mut self, now: Instant) -> Option<Output> {
        let first = self.pulls.iter().find(|(_, pull)| pull.send_at <= now);
        let (to, t) = first.map(|((t, _), pull)| (pull.donor, *t))?;
        let mut batch = Batch::new(to, self.tables[t].id);
        for ((of, index), pull) in &mut self.pulls {
            if pull.send_at > now || (pull.donor, *of) != (to, t) {
                continue;
            }
            let step = Step::Pull {
                after: pull.after(),
            };
            if batch.add(*index, Version::default(), &step) {
                pull.send_at = now + PULL_RETRY;
            }
        }
        batch.finish()
    }

    fn poll_merge_requests(&mut self, now: Instant) -> Option<Output> {
        let mut batch: Option<(EntryId, usize, Batch)> = None;
        for ((t, index), send_at) in &mut self.merge_requests {
            let table = &self.tables[*t];
            let bucket = &table.buckets[usize::from(*index)];
            let primary = bucket.primary.filter(|id| *id != self.settings.id);
            let Some(primary) = primary.filter(|_| *send_at <= now) else {
                continue;
            };
            let (to, of, batch) =
                batch.get_or_insert_with(|| (primary, *t, Batch::new(primary, table.id)));
            let is_same = (*to, *of) == (primary, *t);
            if is_same && batch.add(*index, Version::default(), &Step::RequestMerge) {
                *send_at = now + PULL_RETRY;
            }
        }
        batch?.2.finish()
    }

    /// Returns one message with states that another entry has requested.
    fn poll_states(&mut self) -> Option<Output> {
        let ((to, (t, _)), _) = self.state_requests.first()?;
        let (to, t) = (*to, *t);
        let wanted: Vec<(BucketId, Option<u64>)> = self
            .state_requests
            .iter()
            .filter(|((peer, bucket_id), _)| *peer == to && bucket_id.0 == t)
            .map(|((_, bucket_id), after)| (*bucket_id, *after))
            .collect();
        let mut batch = Batch::new(to, self.tables[t].id);
        for (bucket_id, after) in wanted {
            let (version, step) = self.state_step(bucket_id, after, batch.bytes_left_for_flows());
            if !batch.add(bucket_id.1, version, &step) {
                break;
            }
            self.state_requests.shift_remove(&(to, bucket_id));
        }
        batch.finish()
    }

    fn state_step(&self, bucket_id: BucketId, after: Option<u64>, bytes: usize) -> (Version, Step) {
        let bucket = &self.tables[bucket_id.0].buckets[usize::from(bucket_id.1)];
        let mut pins = bucket.exceptions();
        pins.retain(|(hash, _)| after.is_none_or(|after| *hash > after));
        let count = pin::count_fitting(&pins, bytes.min(PAGE_BYTES));
        let step = Step::State {
            phase: bucket.phase,
            after,
            has_more: count < pins.len(),
            flows: pin::group(&pins[..count]),
        };
        (bucket.version, step)
    }

    fn poll_copies(&mut self, now: Instant) -> Option<Output> {
        let mut batch: Option<(EntryId, usize, Batch)> = None;
        let due = self.copies.iter().filter(|(_, state)| state.send_at <= now);
        let due: Vec<_> = due.map(|(key, _)| *key).collect();
        for (bucket_id, to) in due {
            if batch
                .as_ref()
                .is_some_and(|(of, t, _)| (*of, *t) != (to, bucket_id.0))
            {
                continue;
            }
            let id = self.tables[bucket_id.0].id;
            let (.., batch) = batch.get_or_insert_with(|| (to, bucket_id.0, Batch::new(to, id)));
            let bytes = batch.bytes_left_for_flows().min(PAGE_BYTES);
            if let Some((version, step)) = self.copy_step(now, (bucket_id, to), bytes) {
                batch.add(bucket_id.1, version, &step);
            }
        }
        batch?.2.finish()
    }
}

/// Returns the entries to which a step of the move is due.
fn due_peers(
    transfer: &Transfer,
    backup: Option<EntryId>,
    now: Instant,
    urgency: Urgency,
) -> impl Iterator<Item = EntryId> {
    let total = transfer.pins.len() as u32;
    let is_due = move |peer: EntryId, progress: &Progress| match (transfer.stage, urgency) {
        (Stage::Committing, Urgency::PrepareOrCommit) => !progress.committed,
        (Stage::Preparing | Stage::Pinning, Urgency::PrepareOrCommit) => !progress.prepared,
        (Stage::Pinning, Urgency::Pins) => {
            let may_receive_pins = progress.prepared && transfer.may_receive_pins(peer, backup);
            may_receive_pins && !progress.has_all_pins(total)
        }
        (Stage::Preparing | Stage::Committing, Urgency::Pins) => false,
    };
    transfer
        .peers
        .iter()
        .filter(move |(peer, progress)| progress.send_at <= now && is_due(**peer, progress))
        .map(|(peer, _)| *peer)
}

/// Returns the next step for `peer`, with flows of at most `bytes` bytes.
fn next_step(transfer: &Transfer, peer: EntryId, bytes: usize) -> Option<Step> {
    let progress = &transfer.peers[&peer];
    if transfer.stage == Stage::Committing {
        return Some(Step::Commit { owner: transfer.to });
    }
    if !progress.prepared {
        return Some(Step::Prepare {
            from: transfer.from,
            to: transfer.to,
            base: transfer.base,
            full_list: transfer.lists_all_flows(),
        });
    }
    let rest = &transfer.pins[progress.received as usize..];
    let count = pin::count_fitting(rest, bytes.min(PAGE_BYTES));
    if count == 0 && !rest.is_empty() {
        return None;
    }
    Some(Step::Pins {
        offset: progress.received,
        total: transfer.pins.len() as u32,
        extras_received: progress.extras_received,
        flows: pin::group(&rest[..count]),
    })
}
