//! How an entry divides its new flows.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::Priority;

/// How an entry divides its new flows of a service, and how many of them fit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShares {
    /// Weights of the failure domains for new flows of this entry; they add up to 1.
    pub domains: IndexMap<Box<str>, f64>,
    /// Flows a second that the fleet's upstreams can complete.
    pub fleet_capacity: f64,
    /// Slots of the fleet's upstreams, those of slow ones at their speed.
    pub fleet_slots: f64,
    /// Flows that can be in slots at a time, those of slow upstreams included in full.
    pub fleet_flows: f64,
    /// Demand of the fleet relative to its slots.
    pub load: f64,
    /// Estimated work of a flow in its slot, in milliseconds.
    pub work_ms: f64,
    /// Part of the fleet's demand that arrives at this entry, from 0 to 1.
    pub own_share: f64,
    /// Part of each class's new flows that the fleet has slots for, from 0 to 1.
    pub admitted: BTreeMap<Priority, f64>,
}
