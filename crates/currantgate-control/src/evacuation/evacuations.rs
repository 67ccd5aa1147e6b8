//! The replicated state: the evacuated failure domains.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::order::{MAX_DOMAIN_BYTES, MAX_EVACUATED_DOMAINS};
use super::{EvacuationAction, EvacuationOrder, OrderLimit};
use crate::Index;

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The log index of the last order, 0 before the first.
    revision: Index,
    /// The evacuated domains, each with the log index of the order that started its
    /// evacuation.
    started: IndexMap<Box<str>, Index>,
}

impl Evacuations {
    /// Returns the log index of the last order, or 0 if there was none.
    pub fn revision(&self) -> Index {
        self.revision
    }

    /// Returns whether an order was ever accepted.
    pub fn has_orders(&self) -> bool {
        self.revision > 0
    }

    /// Returns the evacuated domains, each with the log index of its start.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Index)> + '_ {
        self.started
            .iter()
            .map(|(domain, index)| (&**domain, *index))
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.started.contains_key(domain)
    }

    /// Checks that an order keeps the evacuations within their limits. Orders on evacuated
    /// domains always do. Without a table of domains, any name would be accepted otherwise.
    ///
    /// # Errors
    ///
    /// Returns the limit that the order exceeds.
    pub fn check_limits(&self, order: &EvacuationOrder) -> Result<(), OrderLimit> {
        if self.contains(&order.domain) {
            return Ok(());
        }
        if order.domain.len() > MAX_DOMAIN_BYTES {
            return Err(OrderLimit::DomainBytes);
        }
        if order.action == EvacuationAction::Start && self.started.len() >= MAX_EVACUATED_DOMAINS {
            return Err(OrderLimit::EvacuatedDomains);
        }
        Ok(())
    }

    /// Executes the committed order at `index`. An order that changes nothing only
    /// advances the revision.
    pub(crate) fn execute(&mut self, index: Index, order: &EvacuationOrder) {
        self.revision = index;
        match order.action {
            EvacuationAction::Start => {
                self.started.entry(order.domain.clone()).or_insert(index);
            }
            EvacuationAction::Finish => {
                self.started.shift_remove(&order.domain);
            }
        }
    }
}
