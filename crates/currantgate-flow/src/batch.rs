//! Gathers steps into one message.

use currantgate_config::{EntryId, ServiceId};

use crate::pin::{self, PinGroup};
use crate::{BucketIndex, BucketStep, Message, Output, Step, Version};

/// Bytes of steps in one message; with its headers it stays below 1,200.
const MESSAGE_BYTES: usize = 1_100;

/// Bytes of a version, a kind and the number of buckets, at most.
const ITEM_BYTES: usize = 9;

/// Bytes of one bucket's distance to the next, at most.
const BUCKET_BYTES: usize = 3;

/// Bytes of the counts that go with pins, at most.
const PINS_BYTES: usize = 16;

/// Bytes of a state without its flows, at most.
const STATE_BYTES: usize = 32;

/// Gathers steps into one message; buckets with the same step share it.
#[derive(Debug)]
pub(crate) struct Batch {
    to: EntryId,
    service: ServiceId,
    steps: Vec<BucketStep>,
    last: Vec<BucketIndex>,
    left: usize,
}

impl Batch {
    /// Returns an empty message to entry `to` about `service`.
    pub(crate) fn new(to: EntryId, service: ServiceId) -> Self {
        Self {
            to,
            service,
            steps: Vec::new(),
            last: Vec::new(),
            left: MESSAGE_BYTES,
        }
    }

    /// Returns the bytes that flows in one more step may take.
    pub(crate) fn bytes_left_for_flows(&self) -> usize {
        self.left
            .saturating_sub(ITEM_BYTES + BUCKET_BYTES + STATE_BYTES)
    }

    /// Adds a step; gives false and adds nothing if it doesn't fit any more.
    pub(crate) fn add(&mut self, bucket: BucketIndex, version: Version, step: &Step) -> bool {
        let same = |i: &BucketStep| i.version == version && i.step == *step;
        let found = self.steps.iter().position(same);
        let cost = match found {
            Some(_) => BUCKET_BYTES,
            None => ITEM_BYTES + BUCKET_BYTES + step_bytes(step),
        };
        if cost > self.left {
            return false;
        }
        self.left -= cost;
        if let Some(i) = found {
            self.steps[i]
                .buckets
                .push(bucket.wrapping_sub(self.last[i]));
            self.last[i] = bucket;
        } else {
            self.steps.push(BucketStep {
                buckets: vec![bucket],
                version,
                step: step.clone(),
            });
            self.last.push(bucket);
        }
        true
    }

    /// Returns the message, unless it is empty.
    pub(crate) fn finish(self) -> Option<Output> {
        if self.steps.is_empty() {
            return None;
        }
        Some(Output::Send {
            to: self.to,
            message: Message::Steps {
                service: self.service,
                steps: self.steps,
            },
        })
    }
}

/// Returns the bytes that a step takes in a message, at most.
fn step_bytes(step: &Step) -> usize {
    match step {
        Step::Prepare { .. } => 27,
        Step::Prepared { .. } => 2,
        Step::Committed | Step::VersionMismatch | Step::RequestMerge => 0,
        Step::Commit { .. } | Step::Copied { .. } => 9,
        Step::Pins { flows, .. } | Step::PinsReceived { flows, .. } => PINS_BYTES + groups(flows),
        Step::Copy { flows } => groups(flows),
        Step::Pull { .. } => 10,
        Step::State { flows, .. } => STATE_BYTES + groups(flows),
    }
}

fn groups(flows: &[PinGroup]) -> usize {
    let bytes = |g: &PinGroup| pin::GROUP_BYTES + g.flows.len() * pin::PIN_BYTES;
    flows.iter().map(bytes).sum()
}
