//! Table of the flows that this entry has opened.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use ahash::RandomState;
use currantgate_placement::Priority;
use indexmap::IndexMap;

use crate::{FlowId, Token};

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowState {
    /// The first packet was forwarded and not answered yet.
    Opening,
    /// The upstream has answered.
    Established,
}

/// Record of a flow that this entry has opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRecord {
    pub(crate) token: Token,
    pub(crate) priority: Priority,
    /// Time at which the first packet was forwarded to this upstream.
    pub(crate) sent: Instant,
    /// Time within which an answer is of full value to the caller.
    pub(crate) latency_target: Duration,
    /// Time at which the caller has given up.
    pub(crate) deadline: Instant,
}

/// Records by flow. The hasher has a random key in each process, so that callers can't
/// choose flows that collide.
type FlowMap = IndexMap<FlowId, FlowRecord, RandomState>;

/// Table of the flows that this entry has opened, until they end or expire.
///
/// Opening flows are few and kept in a map of their own, so that the packets of
/// established flows need no lookup in the large map.
#[derive(Debug, Default)]
pub(crate) struct FlowTable {
    opening: FlowMap,
    established: FlowMap,
    deadlines: BinaryHeap<Reverse<(Instant, FlowId)>>,
    /// Times at which established flows become overdue, where that is tracked.
    overdue_times: BinaryHeap<Reverse<(Instant, FlowId)>>,
    /// Opening flows by the time until which an answer is expected, where that is tracked.
    /// The last part is the time at which the first packet was sent.
    answer_times: VecDeque<(Instant, FlowId, Instant)>,
}

impl FlowTable {
    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.opening.len() + self.established.len()
    }

    /// Returns the state and record of a flow.
    pub(crate) fn get(&self, flow: &FlowId) -> Option<(FlowState, FlowRecord)> {
        let opening = self.opening.get(flow).map(|r| (FlowState::Opening, *r));
        opening.or_else(|| {
            self.established
                .get(flow)
                .map(|r| (FlowState::Established, *r))
        })
    }

    /// Adds a flow in the opening state.
    pub(crate) fn insert(&mut self, flow: FlowId, record: FlowRecord) {
        self.deadlines.push(Reverse((record.deadline, flow)));
        self.opening.insert(flow, record);
    }

    /// Marks a flow as established; returns its record if it was opening before.
    ///
    /// This is on the path of every packet, and few packets are of opening flows: the rest
    /// must not pay for moving a record.
    pub(crate) fn establish(&mut self, flow: &FlowId) -> Option<FlowRecord> {
        let index = self.opening.get_index_of(flow)?;
        self.establish_at(index)
    }

    #[inline(never)]
    fn establish_at(&mut self, index: usize) -> Option<FlowRecord> {
        let (flow, record) = self.opening.swap_remove_index(index)?;
        self.established.insert(flow, record);
        Some(record)
    }

    /// Sets the time at which an established flow becomes overdue.
    pub(crate) fn track_overdue(&mut self, flow: FlowId, overdue_at: Instant) {
        self.overdue_times.push(Reverse((overdue_at, flow)));
    }

    /// Returns the record of an established flow that has become overdue since the last
    /// call, if there is one.
    pub(crate) fn pop_overdue(&mut self, now: Instant) -> Option<FlowRecord> {
        while let Some(Reverse((overdue_at, flow))) = self.overdue_times.peek().copied() {
            if overdue_at > now {
                return None;
            }
            self.overdue_times.pop();
            if let Some(record) = self.established.get(&flow) {
                return Some(*record);
            }
        }
        None
    }

    /// Sets the time until which an answer to a flow's first packet, sent at `sent`, is
    /// expected. Times are set in ascending order.
    pub(crate) fn track_answer(&mut self, flow: FlowId, sent: Instant, due: Instant) {
        self.answer_times.push_back((due, flow, sent));
    }

    /// Returns the earliest time until which an answer is expected that has not arrived.
    pub(crate) fn next_answer_time(&mut self) -> Option<Instant> {
        while let Some((due, flow, sent)) = self.answer_times.front() {
            let opening = self.opening.get(flow);
            if opening.is_some_and(|record| record.sent == *sent) {
                return Some(*due);
            }
            self.answer_times.pop_front();
        }
        None
    }

    /// Returns the record of an opening flow whose answer is late since the last call, if
    /// there is one, and until when it was expected.
    pub(crate) fn pop_late_answer(&mut self, now: Instant) -> Option<(Instant, FlowRecord)> {
        if self.next_answer_time()? > now {
            return None;
        }
        let (due, flow, _) = self.answer_times.pop_front()?;
        Some((due, *self.opening.get(&flow)?))
    }

    /// Removes a flow and returns its record.
    pub(crate) fn remove(&mut self, flow: &FlowId) -> Option<FlowRecord> {
        let opening = self.opening.swap_remove(flow);
        opening.or_else(|| self.established.swap_remove(flow))
    }

    /// Removes and returns a flow whose deadline has passed, if there is one.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<(FlowId, FlowState, FlowRecord)> {
        while let Some(Reverse((deadline, flow))) = self.deadlines.peek().copied() {
            if deadline > now {
                return None;
            }
            self.deadlines.pop();
            // The deadline may be that of an earlier flow with the same addresses and ports.
            let expired = self.get(&flow).filter(|(_, r)| r.deadline <= now);
            if let Some((state, record)) = expired {
                self.remove(&flow);
                return Some((flow, state, record));
            }
        }
        None
    }
}
