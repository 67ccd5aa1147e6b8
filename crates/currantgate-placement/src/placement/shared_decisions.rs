//! Decisions of placement by the demand of all entries. See `docs/design/capacity.md`.

use std::time::Instant;

use currantgate_capacity::DomainSlots;
use indexmap::IndexMap;
use rand::RngExt as _;

use super::Placement;
use crate::reservation::reserved_parts;
use crate::{DomainDemand, Overload, PlacementRequest, ServiceDemand, ServiceShares};

impl Placement {
    /// Returns and removes the demand that was measured since the last call.
    pub fn take_demand(&mut self) -> Vec<ServiceDemand> {
        let services = self.services.iter_mut();
        services
            .filter_map(|(name, service)| service.demand_log.take(name))
            .collect()
    }

    /// Applies the published demand of a failure domain. It is used until it is replaced or
    /// cleared.
    pub fn update_demand(&mut self, now: Instant, demand: &DomainDemand) {
        let Some(fleet) = &mut self.fleet_demand else {
            return;
        };
        fleet.update(demand.clone());
        // Only the entries of a domain have a position there. In an evacuated domain no
        // upstream tells which one it is.
        if demand.position.is_some() && self.own_domain.as_ref() != Some(&demand.domain) {
            self.own_domain = Some(demand.domain.clone());
        }
        if self.own_domain.as_ref() != Some(&demand.domain) {
            return;
        }
        for (name, service) in &mut self.services {
            let settings = &self.settings.sharing;
            service.sharing.compare(now, name, demand, settings);
        }
        self.position = demand.position.map(|position| (position, demand.entries));
        self.update_reservations(now);
    }

    /// Removes the published demand and the shares of all services, after which the entry
    /// decides by its own flows alone.
    pub fn clear_demand(&mut self) {
        if let Some(fleet) = &mut self.fleet_demand {
            fleet.clear();
        }
        for service in self.services.values_mut() {
            service.sharing.clear();
        }
    }

    /// Computes which slots are reserved for this entry.
    pub(super) fn update_reservations(&mut self, now: Instant) {
        let Some((position, entries)) = self.position else {
            for candidate in self.candidates.values_mut() {
                candidate.reserved = 0.0;
            }
            return;
        };
        for service in self.services.values() {
            for keys in service.ordered.chunk_by(|(a, _), (b, _)| a == b) {
                let candidates = keys.iter().map(|(_, key)| &self.candidates[key]);
                let slots: Vec<f64> = candidates
                    .map(|candidate| candidate.usable_slots(now, &self.settings))
                    .collect();
                let parts = reserved_parts(&slots, position, entries);
                for ((_, key), part) in keys.iter().zip(parts) {
                    self.candidates[key].reserved = part;
                }
            }
        }
    }

    /// Returns how new flows of a service are divided among failure domains; nothing
    /// while the entry decides by its own flows alone.
    pub fn shares(&self, service: &str) -> Option<&ServiceShares> {
        self.services.get(service)?.sharing.shares()
    }

    /// Counts the arrival of a request, and computes the shares of its service again
    /// when this is due.
    pub(super) fn update_shares(&mut self, now: Instant, request: &PlacementRequest<'_>) {
        let Some(fleet) = &mut self.fleet_demand else {
            return;
        };
        let Some(service) = self.services.get_mut(request.service) else {
            return;
        };
        // Copies of first packets are no demand; only these may not be refused.
        if request.may_refuse {
            service.demand_log.record_arrival(request.priority);
            service.sharing.record_arrival(now);
        }
        if !service.sharing.is_due(now) {
            return;
        }
        let mut slots: IndexMap<Box<str>, DomainSlots> = IndexMap::new();
        let removed = self.candidates.values().filter(|c| !c.is_eligible);
        let removed = removed.filter(|c| *c.target.service == *request.service);
        service.stuck_flows = removed.map(|c| c.flows).sum();
        for key in &service.keys {
            let candidate = &self.candidates[key];
            let usable = candidate.usable_slots(now, &self.settings);
            // A suspicion of a whole domain ends with any answer. Its slots count, so that
            // the shares of a single entry don't change that often.
            if candidate.suspicion.is_active(now) || usable <= 0.0 {
                service.stuck_flows += candidate.flows;
            } else {
                let domain = &candidate.target.domain;
                if !slots.contains_key(domain) {
                    slots.insert(domain.clone(), DomainSlots::default());
                }
                let sum = &mut slots[domain];
                sum.effective += usable;
                sum.flows += f64::from(candidate.target.slots);
            }
        }
        let own_domain = self.own_domain.as_deref();
        let own_slots = own_domain.and_then(|domain| slots.get(domain));
        service.demand_log.slots = own_slots.map_or(0.0, |slots| slots.effective as f32);
        service.sharing.update(
            now,
            request.service,
            own_domain,
            &slots,
            fleet,
            &self.settings.sharing,
        );
    }

    /// Draws the failure domain of a new flow by the shares of its service, and returns
    /// its index; nothing without shares.
    pub(super) fn draw_domain(&mut self, service: &str) -> Option<usize> {
        let shares = self.services.get(service)?.sharing.shares()?;
        let mut drawn = self.rng.random_range(0.0..1.0);
        for (domain, weight) in &shares.domains {
            drawn -= weight;
            if drawn < 0.0 {
                return self.domains.get_index_of(domain);
            }
        }
        let (last, _) = shares.domains.last()?;
        self.domains.get_index_of(last)
    }

    /// Returns the overload that prevents the admission of a flow by the shares of its
    /// service, if any.
    pub(super) fn check_shares(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
    ) -> Option<Overload> {
        let service = self.services.get_mut(request.service)?;
        let shares = service.sharing.shares()?;
        let settings = &self.settings.sharing;
        let admission = &mut service.share_admission;
        if !request.may_refuse || !admission.may_refuse(now, request, shares, settings) {
            return None;
        }
        let limit = service.flow_limit(request, &self.settings)?;
        let competing_flows = service.competing_flows(request.priority);
        // A fractional limit is met on average, as the limits of many entries add up.
        let flow_limit = (limit + self.rng.random_range(0.0..1.0)) as u32;
        if competing_flows < flow_limit {
            return None;
        }
        service.share_admission.record_refusal(request.priority);
        service.overload(competing_flows, flow_limit)
    }
}
