//! The queue: its order and its bounds.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::time::Instant;

use indexmap::IndexMap;

use super::{WaitingFlow, WaitingSettings};
use crate::Priority;

/// Place in the queue: by priority, and then by arrival.
type Position = (Priority, u64);

/// Flows that wait, in the order in which they leave.
///
/// The bound of the number of flows keeps the scans of the whole queue short.
#[derive(Clone, Debug)]
pub struct WaitingQueue<K> {
    flows: BTreeMap<Position, WaitingFlow<K>>,
    positions: IndexMap<K, Position>,
    bytes: usize,
    /// Number of the next flow.
    next_number: u64,
}

impl<K> Default for WaitingQueue<K> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            positions: IndexMap::new(),
            bytes: 0,
            next_number: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> WaitingQueue<K> {
    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the bytes of the first packets.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether a flow waits.
    pub fn contains(&self, key: &K) -> bool {
        self.positions.contains_key(key)
    }

    /// Returns a flow that waits.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut WaitingFlow<K>> {
        self.flows.get_mut(self.positions.get(key)?)
    }

    /// Tells whether a flow of a service waits.
    pub fn has_service(&self, service: &str) -> bool {
        self.flows.values().any(|flow| *flow.service == *service)
    }

    /// Returns the number of flows of a service that leave before a new one of the given
    /// priority.
    pub fn ahead(&self, service: &str, priority: Priority) -> usize {
        let ahead = self.flows.range(..=(priority, u64::MAX));
        ahead.filter(|(_, flow)| *flow.service == *service).count()
    }

    /// Adds a flow. If there is no place for it, the newest flows of the lowest priority
    /// below its own are removed and returned.
    ///
    /// # Errors
    ///
    /// Returns the flow if the queue is full of flows of its own or a higher priority, or
    /// has it already.
    pub fn push(
        &mut self,
        flow: WaitingFlow<K>,
        settings: &WaitingSettings,
    ) -> Result<Vec<WaitingFlow<K>>, WaitingFlow<K>> {
        if self.contains(&flow.key) {
            return Err(flow);
        }
        let (mut len, mut bytes) = (self.len() + 1, self.bytes + flow.bytes);
        let mut displaced = Vec::new();
        for (position, other) in self.flows.iter().rev() {
            if len <= settings.max_flows && bytes <= settings.max_bytes {
                break;
            }
            if position.0 <= flow.priority {
                return Err(flow);
            }
            (len, bytes) = (len - 1, bytes - other.bytes);
            displaced.push(other.key);
        }
        if len > settings.max_flows || bytes > settings.max_bytes {
            return Err(flow);
        }
        let displaced = displaced.iter().filter_map(|key| self.remove(key));
        let displaced = displaced.collect();
        let position = (flow.priority, self.next_number);
        self.next_number += 1;
        self.bytes += flow.bytes;
        self.positions.insert(flow.key, position);
        self.flows.insert(position, flow);
        Ok(displaced)
    }

    /// Removes a flow and returns it.
    pub fn remove(&mut self, key: &K) -> Option<WaitingFlow<K>> {
        let position = self.positions.swap_remove(key)?;
        let flow = self.flows.remove(&position)?;
        self.bytes -= flow.bytes;
        Some(flow)
    }

    /// Removes and returns a flow whose deadline has passed, if there is one.
    pub fn pop_expired(&mut self, now: Instant) -> Option<WaitingFlow<K>> {
        let expired = self.flows.values().find(|flow| flow.deadline <= now)?;
        let key = expired.key;
        self.remove(&key)
    }

    /// Removes and returns the first flow.
    pub fn pop_first(&mut self) -> Option<WaitingFlow<K>> {
        let key = self.flows.values().next()?.key;
        self.remove(&key)
    }

    /// Returns the first flow of each service, in order.
    pub fn heads(&self) -> Vec<&WaitingFlow<K>> {
        let mut heads: Vec<&WaitingFlow<K>> = Vec::new();
        for flow in self.flows.values() {
            if heads.iter().all(|head| head.service != flow.service) {
                heads.push(flow);
            }
        }
        heads
    }
}
