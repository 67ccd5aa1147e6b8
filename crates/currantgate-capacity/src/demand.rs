//! Demand as entries report it, and as control VMs publish it.

use serde::{Deserialize, Serialize};

use crate::Priority;

/// New flows of one priority at a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// Priority of the flows.
    pub priority: Priority,
    /// Number of new flows that callers asked for, refused ones included and copies of
    /// first packets left out.
    pub arrivals: f32,
}

/// Demand of one service in a period: since an entry's last report, or in a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: Box<str>,
    /// New flows by priority.
    pub classes: Vec<ClassDemand>,
    /// Number of flows that ended and were served.
    pub completions: f32,
    /// Time that these flows occupied slots of upstreams, in milliseconds.
    pub slot_ms: f32,
    /// Slots of the upstreams in the domain of the entry, those of slow ones at their
    /// speed; the mean of what its entries know. They know their own domain best.
    pub slots: f32,
}

impl ServiceDemand {
    /// Adds the flows of `added`, times `factor`. The slots stay.
    pub fn add_flows(&mut self, added: &Self, factor: f32) {
        self.completions += added.completions * factor;
        self.slot_ms += added.slot_ms * factor;
        for class in &added.classes {
            let arrivals = class.arrivals * factor;
            let mut known = self.classes.iter_mut();
            match known.find(|c| c.priority == class.priority) {
                Some(known) => known.arrivals += arrivals,
                None => self.classes.push(ClassDemand { arrivals, ..*class }),
            }
        }
    }
}

/// Demand a second of the callers of one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// Name of the failure domain.
    pub domain: Box<str>,
    /// Number of entries whose reports are included.
    pub entries: u16,
    /// Position of the receiving entry among these, from 0; set for the feeds of the
    /// domain's own entries.
    pub position: Option<u16>,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
}
