//! The demand of all failure domains, as an entry knows it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::water_filling::{DomainLoad, divide};
use crate::{DemandSettings, DomainDemand, Priority, ServiceDemand, ServiceShares};

/// Slots of the upstreams of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainSlots {
    /// Slots by what they can do: those of slow upstreams count at their speed.
    pub effective: f64,
    /// Flows that can be in slots at a time.
    pub flows: f64,
}

/// What an entry knows itself about a service.
#[derive(Clone, Debug)]
pub struct EntryView<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Failure domain of the entry; nothing while it is unknown.
    pub domain: Option<&'a str>,
    /// Slots by failure domain.
    pub slots: &'a IndexMap<Box<str>, DomainSlots>,
    /// Factor by which the demand of the entry's domain has changed since the published
    /// figures, as far as its own arrivals show.
    pub change: f64,
    /// Arrivals at this entry relative to those at the average entry of its domain.
    pub relative_demand: f64,
}

/// Estimated work of a flow in its slot.
#[derive(Clone, Copy, Debug)]
struct WorkEstimate {
    work_ms: f64,
    /// Slots that were there when the flows ended whose slot times are known: the highest
    /// number of a short time ago. When upstreams are lost, fewer are left than had ended
    /// these flows.
    recent_slots: f64,
    updated_at: Instant,
}

/// The demand of all failure domains, as published by their collectors.
///
/// Figures stay until they are replaced or cleared: when they are out of date is decided by
/// their receiver alone, which clears them then. With a second rule here, the zero figure of
/// a domain without entries was out of date after the receiver had forgotten that domain.
#[derive(Clone, Debug)]
pub struct FleetDemand {
    settings: DemandSettings,
    domains: IndexMap<Box<str>, DomainDemand>,
    work: IndexMap<Box<str>, WorkEstimate>,
}

impl FleetDemand {
    /// Returns a state without figures.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            domains: IndexMap::new(),
            work: IndexMap::new(),
        }
    }

    /// Replaces the figures of a domain.
    pub fn update(&mut self, demand: DomainDemand) {
        self.domains.insert(demand.domain.clone(), demand);
    }

    /// Removes the figures of all domains.
    pub fn clear(&mut self) {
        self.domains.clear();
    }

    /// Returns the shares of a service; nothing without slots, or while the figures of
    /// the entry's domain are missing.
    pub fn shares(&mut self, now: Instant, view: &EntryView<'_>) -> Option<ServiceShares> {
        let own_slots = view.slots.iter();
        let slots_by_domain: IndexMap<&str, DomainSlots> = own_slots
            .map(|(domain, slots)| (&**domain, self.known_slots(view, domain, *slots)))
            .collect();
        let slots: f64 = slots_by_domain.values().map(|slots| slots.effective).sum();
        let flows: f64 = slots_by_domain.values().map(|slots| slots.flows).sum();
        if slots <= 0.0 {
            return None;
        }
        let own = view.domain.and_then(|domain| self.domains.get(domain));
        let own_entries = f64::from(own?.entries.max(1));
        let work_ms = self.update_work(now, view.service, slots)?;
        let mut classes: BTreeMap<Priority, f64> = BTreeMap::new();
        let mut loads: IndexMap<&str, DomainLoad> = IndexMap::new();
        for (domain, slots) in slots_by_domain {
            loads.entry(domain).or_default().slots = slots.effective;
        }
        let mut own_arrivals = 0.0;
        let mut entries = 0.0;
        for figures in self.domains.values() {
            let domain = &*figures.domain;
            let is_own = view.domain == Some(domain);
            let change = if is_own { view.change } else { 1.0 };
            entries += f64::from(figures.entries);
            let Some(service) = service_demand(figures, view.service) else {
                continue;
            };
            let mut arrivals = 0.0;
            for class in &service.classes {
                let class_arrivals = f64::from(class.arrivals);
                arrivals += class_arrivals;
                *classes.entry(class.priority).or_default() += class_arrivals;
            }
            if is_own {
                own_arrivals = arrivals / own_entries * view.relative_demand;
            }
            loads.entry(domain).or_default().demand = arrivals * change * work_ms / 1_000.0;
        }
        let local = view.domain.and_then(|domain| loads.get_index_of(domain));
        let list: Vec<DomainLoad> = loads.values().copied().collect();
        let weights = divide(&list, local.unwrap_or(usize::MAX), self.settings.local_fill)?;
        let weights = loads
            .keys()
            .zip(weights)
            .filter(|(_, weight)| *weight > 0.0);
        let fleet_capacity = slots * 1_000.0 / work_ms;
        let arrivals: f64 = classes.values().sum();
        // An entry without arrivals in the figures would have to refuse its first flows.
        let even_share = 1.0 / f64::max(entries, 1.0);
        let own_share = own_arrivals / arrivals.max(f64::MIN_POSITIVE);
        // Whether other domains have changed alike is not known yet. If they have not,
        // the limit of open flows is not reached.
        for class in classes.values_mut() {
            *class *= view.change;
        }
        Some(ServiceShares {
            domains: weights
                .map(|(domain, weight)| ((*domain).into(), weight))
                .collect(),
            fleet_capacity,
            fleet_slots: slots,
            fleet_flows: flows,
            load: arrivals / fleet_capacity,
            work_ms,
            own_share: own_share.max(even_share).min(1.0),
            admitted: admitted(&classes, fleet_capacity),
        })
    }

    /// Returns the slots of a domain: those that the entry knows, or fewer if the entries
    /// of that domain know that some of them can't be used.
    fn known_slots(&self, view: &EntryView<'_>, domain: &str, slots: DomainSlots) -> DomainSlots {
        if view.domain == Some(domain) {
            return slots;
        }
        let demand = self.domains.get(domain);
        let service = demand.and_then(|demand| service_demand(demand, view.service));
        match service.map(|service| f64::from(service.slots)) {
            Some(published) if published > 0.0 && published < slots.effective => DomainSlots {
                effective: published,
                flows: slots.flows * published / slots.effective,
            },
            _ => slots,
        }
    }

    /// Returns the estimated work of a flow in milliseconds, after moving it towards the
    /// mean slot time; nothing before any flow has ended.
    ///
    /// Slot times include time in queues. So under load a longer one counts little.
    fn update_work(&mut self, now: Instant, service: &str, slots: f64) -> Option<f64> {
        let figures = self.domains.values();
        let all: Vec<_> = figures
            .filter_map(|figures| service_demand(figures, service))
            .collect();
        let completions: f64 = all.iter().map(|s| f64::from(s.completions)).sum();
        let slot_ms: f64 = all.iter().map(|s| f64::from(s.slot_ms)).sum();
        let classes = all.iter().flat_map(|s| &s.classes);
        let arrivals: f64 = classes.map(|class| f64::from(class.arrivals)).sum();
        let known = self.work.get_mut(service);
        if completions <= 0.0 || slot_ms <= 0.0 {
            return known.map(|known| known.work_ms);
        }
        let measured = slot_ms / completions;
        let time_constant = self.settings.work_time_constant;
        let recent_slots = known.as_ref().map_or(slots, |known| {
            let kept = 1.0 - moved_part(now, known.updated_at, time_constant);
            slots.max(slots + (known.recent_slots - slots) * kept)
        });
        // Slots can't complete more than they have time for, whatever waits in queues.
        let most = recent_slots * 1_000.0 / completions;
        let measured = measured.min(most);
        let Some(known) = known else {
            let estimate = WorkEstimate {
                work_ms: measured,
                recent_slots,
                updated_at: now,
            };
            self.work.insert(service.into(), estimate);
            return Some(measured);
        };
        let load = arrivals * known.work_ms / 1_000.0 / slots;
        let is_loaded = load > self.settings.local_fill && measured > known.work_ms;
        let time_constant = if is_loaded {
            self.settings.loaded_work_time_constant
        } else {
            self.settings.work_time_constant
        };
        let weight = moved_part(now, known.updated_at, time_constant);
        known.recent_slots = recent_slots;
        known.work_ms = (known.work_ms + (measured - known.work_ms) * weight).min(most);
        known.updated_at = now;
        Some(known.work_ms)
    }
}

/// Returns by which part a value has moved towards a new one since its last update.
fn moved_part(now: Instant, updated_at: Instant, time_constant: Duration) -> f64 {
    let elapsed = now.saturating_duration_since(updated_at);
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the demand for a service.
fn service_demand<'a>(demand: &'a DomainDemand, service: &str) -> Option<&'a ServiceDemand> {
    demand.services.iter().find(|s| &*s.service == service)
}

/// Returns the part of each class that fits into `capacity`, the highest priority first.
fn admitted(classes: &BTreeMap<Priority, f64>, capacity: f64) -> BTreeMap<Priority, f64> {
    let mut free = capacity;
    let share = |(priority, arrivals): (&Priority, &f64)| {
        let share = if *arrivals > free {
            free / arrivals
        } else {
            1.0
        };
        free = (free - arrivals).max(0.0);
        (*priority, share)
    };
    classes.iter().map(share).collect()
}
