//! Collects steps into one message.

use currantgate_config::{EntryId, ServiceId};

use crate::pin::{self, PinGroup};
use crate::{BucketIndex, BucketStep, Message, Output, Step, Version};

/// Maximum size of the steps in one message, in bytes; with its headers the
/// message stays below 1,200.
const MESSAGE_BYTES: usize = 1_100;

/// Maximum size of a version, a kind of step and a number of buckets, in bytes.
const STEP_HEADER_BYTES: usize = 9;

/// Maximum size of the distance to the next bucket, in bytes.
const BUCKET_BYTES: usize = 3;

/// Maximum size of the counts that accompany pins, in bytes.
const PINS_BYTES: usize = 16;

/// Maximum size of a state without its flows, in bytes.
const STATE_BYTES: usize = 32;

/// Collects steps into one message; buckets with equal steps share one.
#[derive(Debug)]
pub(crate) struct Batch {
    to: EntryId,
    service: ServiceId,
    steps: Vec<BucketStep>,
    last_buckets: Vec<BucketIndex>,
    bytes_left: usize,
}

impl Batch {
    /// Returns an empty message to entry `to` about `service`.
    pub(crate) fn new(to: EntryId, service: ServiceId) -> Self {
        Self {
            to,
            service,
            steps: Vec::new(),
            last_buckets: Vec::new(),
            bytes_left: MESSAGE_BYTES,
        }
    }

    /// Returns the size that flows in one more step may have, in bytes.
    pub(crate) fn bytes_left_for_flows(&self) -> usize {
        self.bytes_left
            .saturating_sub(STEP_HEADER_BYTES + BUCKET_BYTES + STATE_BYTES)
    }

    /// Adds a step. Returns false and adds nothing if it doesn't fit.
    pub(crate) fn add(&mut self, bucket: BucketIndex, version: Version, step: &Step) -> bool {
        let is_same = |i: &BucketStep| i.version == version && i.step == *step;
        let found = self.steps.iter().position(is_same);
        let cost = match found {
            Some(_) => BUCKET_BYTES,
            None => STEP_HEADER_BYTES + BUCKET_BYTES + step_bytes(step),
        };
        if cost > self.bytes_left {
            return false;
        }
        self.bytes_left -= cost;
        if let Some(i) = found {
            self.steps[i]
                .buckets
                .push(bucket.wrapping_sub(self.last_buckets[i]));
            self.last_buckets[i] = bucket;
        } else {
            self.steps.push(BucketStep {
                buckets: vec![bucket],
                version,
                step: step.clone(),
            });
            self.last_buckets.push(bucket);
        }
        true
    }

    /// Returns the message, or `None` if it is empty.
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

/// Returns the maximum size of a step in a message, in bytes.
fn step_bytes(step: &Step) -> usize {
    match step {
        Step::Prepare { .. } => 27,
        Step::Prepared { .. } => 2,
        Step::Committed | Step::VersionMismatch | Step::RequestMerge => 0,
        Step::Commit { .. } | Step::Copied { .. } => 9,
        Step::Pins { flows, .. } | Step::PinsReceived { flows, .. } => {
            PINS_BYTES + groups_bytes(flows)
        }
        Step::Copy { flows } => groups_bytes(flows),
        Step::Pull { .. } => 10,
        Step::State { flows, .. } => STATE_BYTES + groups_bytes(flows),
    }
}

fn groups_bytes(flows: &[PinGroup]) -> usize {
    let bytes = |g: &PinGroup| pin::GROUP_BYTES + g.flows.len() * pin::PIN_BYTES;
    flows.iter().map(bytes).sum()
}
