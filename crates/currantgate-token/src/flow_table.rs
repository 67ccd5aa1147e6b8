//! Flows that this entry has opened, until they end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use indexmap::IndexMap;

use crate::{FlowId, Token};

/// How far a flow has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its first packet is on its way.
    Opening,
    /// Its upstream has answered.
    Open,
}

/// A flow that this entry has opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRecord {
    pub(crate) token: Token,
    pub(crate) phase: Phase,
    /// When its first packet, or the copy that counts, was sent on.
    pub(crate) sent: Instant,
    /// When its caller gives up.
    pub(crate) deadline: Instant,
}

/// Flows that this entry has opened, until they end.
#[derive(Debug, Default)]
pub(crate) struct FlowTable {
    flows: IndexMap<FlowId, FlowRecord>,
    deadlines: BinaryHeap<Reverse<(Instant, FlowId)>>,
}

impl FlowTable {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn get_mut(&mut self, flow: &FlowId) -> Option<&mut FlowRecord> {
        self.flows.get_mut(flow)
    }

    pub(crate) fn insert(&mut self, flow: FlowId, record: FlowRecord) {
        self.deadlines.push(Reverse((record.deadline, flow)));
        self.flows.insert(flow, record);
    }

    pub(crate) fn remove(&mut self, flow: &FlowId) -> Option<FlowRecord> {
        self.flows.swap_remove(flow)
    }

    /// Removes and returns a flow whose caller has given up.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(FlowId, FlowRecord)> {
        while let Some(Reverse((deadline, flow))) = self.deadlines.peek().copied() {
            if deadline > now {
                return None;
            }
            self.deadlines.pop();
            // An earlier flow of the same name left its deadline here.
            let is_due = self.flows.get(&flow).is_some_and(|r| r.deadline <= now);
            if is_due {
                return self.flows.swap_remove_entry(&flow);
            }
        }
        None
    }
}
