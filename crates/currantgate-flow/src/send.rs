//! Builds the messages that are due, the urgent ones first.

use std::time::Instant;

use currantgate_config::EntryId;
use currantgate_membership::Budget;

use crate::follower::PAGE_BYTES;
use crate::pin::{self, PinGroup};
use crate::router::{Place, Router};
use crate::sync::PULL_RETRY;
use crate::transfer::{Progress, Stage, Transfer};
use crate::{BucketItem, Message, Output, Step, Version};

/// Bytes of steps in one message; with its headers it stays below 1,200.
const MESSAGE_BYTES: usize = 1_100;

/// Bytes of a step's bucket, version and kind, at most.
const ITEM_BYTES: usize = 12;

/// How soon a step must go: new flows wait for the first kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    Marks,
    Pins,
}

impl Router {
    /// Returns the next thing to do, or nothing while the budget is closed.
    pub fn poll_output(&mut self, now: Instant, budget: &mut Budget) -> Option<Output> {
        if let Some(refusal) = self.poll_refusal(now) {
            return Some(refusal);
        }
        if !self.has_due(now) || !budget.is_open(now) {
            return None;
        }
        let due = self.poll_replies();
        let due = due.or_else(|| self.poll_transfers(now, Urgency::Marks));
        let due = due.or_else(|| self.outputs.pop_front());
        let due = due.or_else(|| self.poll_pulls(now));
        let due = due.or_else(|| self.poll_reopens(now));
        let due = due.or_else(|| self.poll_transfers(now, Urgency::Pins));
        let due = due.or_else(|| self.poll_states());
        if due.is_none() {
            self.send_at = self.next_send();
        }
        due
    }

    fn has_due(&self, now: Instant) -> bool {
        let queued =
            !self.replies.is_empty() || !self.outputs.is_empty() || !self.requests.is_empty();
        queued || now >= self.send_at
    }

    /// Returns the instant at which the next step is due.
    fn next_send(&self) -> Instant {
        let steps = self.transfers.values().flat_map(|t| {
            let waiting = |p: &&Progress| !p.committed;
            t.peers.values().filter(waiting).map(|p| p.send_at)
        });
        let pulls = self.pulls.values().map(|p| p.send_at);
        let reopens = self.reopens.values().copied();
        let idle = self.idle_until();
        steps.chain(pulls).chain(reopens).min().unwrap_or(idle)
    }

    fn poll_replies(&mut self) -> Option<Output> {
        let (to, t) = *self.replies.keys().next()?;
        let queue = self.replies.get_mut(&(to, t))?;
        let mut items = Vec::new();
        let mut left = MESSAGE_BYTES;
        while let Some(item) = queue.front() {
            let cost = cost(&item.step);
            if cost > left && !items.is_empty() {
                break;
            }
            left = left.saturating_sub(cost);
            items.extend(queue.pop_front());
        }
        if queue.is_empty() {
            self.replies.swap_remove(&(to, t));
        }
        Some(self.buckets_message(to, t, items))
    }

    /// Returns one message with all that is due to one entry.
    fn poll_transfers(&mut self, now: Instant, urgency: Urgency) -> Option<Output> {
        let mut target = None;
        let mut items = Vec::new();
        let mut left = MESSAGE_BYTES;
        for ((t, index), transfer) in &mut self.transfers {
            let bucket = &self.tables[*t].buckets[usize::from(*index)];
            let due: Vec<_> = due_peers(transfer, bucket.backup, now, urgency).collect();
            for peer in due {
                if *target.get_or_insert((peer, *t)) != (peer, *t) {
                    continue;
                }
                let step = next_step(transfer, peer, left);
                let Some(step) = step.filter(|s| cost(s) <= left) else {
                    continue;
                };
                left -= cost(&step);
                items.push(BucketItem {
                    bucket: *index,
                    version: bucket.version,
                    step,
                });
                transfer.peers[&peer].sent(now);
            }
        }
        let (to, t) = target?;
        Some(self.buckets_message(to, t, items))
    }

    fn poll_pulls(&mut self, now: Instant) -> Option<Output> {
        let due = |p: &&mut crate::sync::Pull| p.send_at <= now;
        let mut target = None;
        let mut items = Vec::new();
        for ((t, index), pull) in &mut self.pulls {
            if !due(&pull) || items.len() >= MAX_PULLS {
                continue;
            }
            if *target.get_or_insert((pull.donor, *t)) != (pull.donor, *t) {
                continue;
            }
            pull.send_at = now + PULL_RETRY;
            items.push(BucketItem {
                bucket: *index,
                version: Version::default(),
                step: Step::Pull {
                    after: pull.after(),
                },
            });
        }
        let (to, t) = target?;
        Some(self.buckets_message(to, t, items))
    }

    fn poll_reopens(&mut self, now: Instant) -> Option<Output> {
        let mut target = None;
        let mut items = Vec::new();
        for ((t, index), send_at) in &mut self.reopens {
            let bucket = &self.tables[*t].buckets[usize::from(*index)];
            let keeper = bucket.keeper.filter(|k| *k != self.settings.id);
            let Some(keeper) = keeper.filter(|_| *send_at <= now && items.len() < MAX_PULLS) else {
                continue;
            };
            if *target.get_or_insert((keeper, *t)) != (keeper, *t) {
                continue;
            }
            *send_at = now + PULL_RETRY;
            items.push(BucketItem {
                bucket: *index,
                version: bucket.version,
                step: Step::Reopen,
            });
        }
        let (to, t) = target?;
        Some(self.buckets_message(to, t, items))
    }

    /// Returns one message with states that another entry has asked for.
    fn poll_states(&mut self) -> Option<Output> {
        let ((to, (t, _)), _) = self.requests.first()?;
        let (to, t) = (*to, *t);
        let mut items = Vec::new();
        let mut left = MESSAGE_BYTES;
        let wanted: Vec<(Place, Option<u64>)> = self
            .requests
            .iter()
            .filter(|((peer, place), _)| *peer == to && place.0 == t)
            .map(|((_, place), after)| (*place, *after))
            .collect();
        for (place, after) in wanted {
            let item = self.state_item(place, after, left);
            let cost = cost(&item.step);
            if cost > left {
                break;
            }
            left -= cost;
            items.push(item);
            self.requests.shift_remove(&(to, place));
        }
        Some(self.buckets_message(to, t, items))
    }

    fn state_item(&self, place: Place, after: Option<u64>, left: usize) -> BucketItem {
        let bucket = &self.tables[place.0].buckets[usize::from(place.1)];
        let mut pins = bucket.exceptions();
        pins.retain(|(hash, _)| after.is_none_or(|after| *hash > after));
        let room = left
            .saturating_sub(ITEM_BYTES + STATE_BYTES)
            .min(PAGE_BYTES);
        let count = pin::fitting(&pins, room);
        BucketItem {
            bucket: place.1,
            version: bucket.version,
            step: Step::State {
                phase: bucket.phase,
                after,
                more: count < pins.len(),
                flows: pin::group(&pins[..count]),
            },
        }
    }

    fn buckets_message(&self, to: EntryId, t: usize, items: Vec<BucketItem>) -> Output {
        let service = self.tables[t].id;
        let message = Message::Buckets { service, items };
        Output::Send { to, message }
    }
}

/// Bytes of a state without its flows, at most.
const STATE_BYTES: usize = 32;

/// Pulls or requests to reopen in one message.
const MAX_PULLS: usize = 48;

/// Returns the entries that are due to be told a step of a move.
fn due_peers(
    transfer: &Transfer,
    backup: Option<EntryId>,
    now: Instant,
    urgency: Urgency,
) -> impl Iterator<Item = EntryId> {
    let total = transfer.list.len() as u32;
    transfer.peers.iter().filter_map(move |(peer, progress)| {
        let fills = transfer.stage == Stage::Filling && progress.marked;
        let is_due = match urgency {
            Urgency::Marks => !fills && !progress.committed,
            Urgency::Pins => {
                fills && transfer.may_fill(*peer, backup) && !progress.is_filled(total)
            }
        };
        (is_due && progress.send_at <= now).then_some(*peer)
    })
}

/// Returns the step that `peer` is to be told next, in at most `left` bytes.
fn next_step(transfer: &Transfer, peer: EntryId, left: usize) -> Option<Step> {
    let progress = &transfer.peers[&peer];
    match transfer.stage {
        Stage::Committing => Some(Step::Commit { owner: transfer.to }),
        Stage::Marking | Stage::Filling if progress.marked && transfer.stage == Stage::Marking => {
            None
        }
        Stage::Marking | Stage::Filling if !progress.marked => Some(Step::Prepare {
            from: transfer.from,
            to: transfer.to,
        }),
        Stage::Marking | Stage::Filling => {
            let rest = &transfer.list[progress.have as usize..];
            let room = left.saturating_sub(ITEM_BYTES + PINS_BYTES).min(PAGE_BYTES);
            let count = pin::fitting(rest, room);
            if count == 0 && !rest.is_empty() {
                return None;
            }
            Some(Step::Pins {
                offset: progress.have,
                total: transfer.list.len() as u32,
                extras_have: progress.extras_have,
                flows: pin::group(&rest[..count]),
            })
        }
    }
}

/// Bytes of the counts that go with pins, at most.
const PINS_BYTES: usize = 16;

/// Returns the bytes that a step takes in a message, at most.
fn cost(step: &Step) -> usize {
    let own = match step {
        Step::Prepare { .. } => 18,
        Step::Prepared { .. } | Step::Committed | Step::Refused | Step::Reopen => 0,
        Step::Commit { .. } => 9,
        Step::Pins { flows, .. } | Step::Filled { flows, .. } => PINS_BYTES + groups(flows),
        Step::Pull { .. } => 10,
        Step::State { flows, .. } => STATE_BYTES + groups(flows),
    };
    ITEM_BYTES + own
}

fn groups(flows: &[PinGroup]) -> usize {
    let bytes = |g: &PinGroup| pin::GROUP_BYTES + g.flows.len() * pin::PIN_BYTES;
    flows.iter().map(bytes).sum()
}
