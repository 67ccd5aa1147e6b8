//! Shares of a service by the demand of all entries.

use std::time::{Duration, Instant};

use currantgate_capacity::{DomainSlots, EntryView, FleetDemand};
use indexmap::IndexMap;

use crate::arrival_history::ArrivalHistory;
use crate::{DomainDemand, ServiceShares, SharingSettings};

/// Fewest arrivals that are expected in a period before an entry compares itself with
/// the others.
const MIN_EXPECTED_ARRIVALS: f64 = 2.0;

/// Shares of a service, and the entry's own arrivals by which they are extrapolated.
#[derive(Clone, Debug)]
pub(crate) struct Sharing {
    shares: Option<ServiceShares>,
    next_update: Option<Instant>,
    arrivals: ArrivalHistory,
    /// This entry's arrivals a second by the published figures, whenever these were
    /// measured.
    published_rate: f64,
    /// Arrivals relative to those at the average entry of the domain.
    relative_demand: f64,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            shares: None,
            next_update: None,
            arrivals: ArrivalHistory::default(),
            published_rate: 0.0,
            relative_demand: 1.0,
        }
    }
}

impl Sharing {
    /// Counts the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: Instant) {
        self.arrivals.record(now);
    }

    /// Returns the shares of the last update.
    pub(crate) fn shares(&self) -> Option<&ServiceShares> {
        self.shares.as_ref()
    }

    /// Removes the shares until there is demand again.
    pub(crate) fn clear(&mut self) {
        self.shares = None;
        self.next_update = None;
    }

    /// Tells whether the shares are to be computed again.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.next_update.is_none_or(|at| now >= at)
    }

    /// Compares the entry's own arrivals with new figures of its domain.
    pub(crate) fn compare(
        &mut self,
        now: Instant,
        service: &str,
        demand: &DomainDemand,
        settings: &SharingSettings,
    ) {
        self.next_update = None;
        let services = demand.services.iter();
        let classes = services
            .filter(|s| &*s.service == service)
            .flat_map(|s| &s.classes);
        let domain_rate: f64 = classes.map(|class| f64::from(class.arrivals)).sum();
        let average = domain_rate / f64::from(demand.entries.max(1));
        let (delay, window) = (settings.figures_delay, settings.figures_window);
        if let Some(own) = self.arrivals.rate(now, delay, window)
            && average * window.as_secs_f64() >= MIN_EXPECTED_ARRIVALS
        {
            // At the start of a burst the two differ as the figures lag, which tells
            // nothing about this entry.
            let known = self.relative_demand;
            let relative = (own / average).clamp(known / 2.0, known * 2.0);
            self.relative_demand += (relative - known) * settings.relative_demand_weight;
        }
        self.published_rate = average * self.relative_demand;
    }

    /// Computes the shares again. `slots` holds the slots by failure domain.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        service: &str,
        domain: Option<&str>,
        slots: &IndexMap<Box<str>, DomainSlots>,
        fleet: &mut FleetDemand,
        settings: &SharingSettings,
    ) {
        self.next_update = Some(now + settings.update_interval);
        let view = EntryView {
            service,
            domain,
            slots,
            change: self.change(now, settings),
            relative_demand: self.relative_demand,
        };
        self.shares = fleet.shares(now, &view);
    }

    /// Returns the factor by which demand has changed since the published figures, as
    /// far as the entry's own arrivals differ by more than random variation.
    fn change(&mut self, now: Instant, settings: &SharingSettings) -> f64 {
        let window = settings.change_window;
        let seconds = window.as_secs_f64();
        let Some(rate) = self.arrivals.rate(now, Duration::ZERO, window) else {
            return 1.0;
        };
        let expected = (self.published_rate * seconds).max(1.0);
        let difference = rate * seconds - expected;
        let std_devs = difference.abs() / expected.sqrt();
        // The weight grows from 0 to 1, so that shares don't jump.
        let weight = (std_devs - settings.change_std_devs).clamp(0.0, 1.0);
        1.0 + weight * difference / expected
    }
}
