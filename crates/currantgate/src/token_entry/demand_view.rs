//! The demand of all failure domains, as control VMs publish it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_capacity::DomainDemand;
use indexmap::IndexMap;

/// Age from which the figure of a domain is no longer used.
const FIGURE_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which only the control VM that published a domain's figure may replace it
/// by one with as many or fewer entries: more than the longest interval between its
/// messages, and less than the time for which a figure is used.
const PUBLISHER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time after which a domain without figures is forgotten: its entries are gone, or
/// those that remain have long had another collector.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The newest figure of one failure domain.
#[derive(Debug)]
struct Figure {
    demand: DomainDemand,
    publisher: SocketAddr,
    received_at: Instant,
    /// Time from which any control VM may replace the figure.
    replaceable_at: Instant,
}

/// The newest figures of all failure domains.
///
/// While a domain changes its collector, two control VMs publish figures of it. The one
/// with more of its entries is used, since the other one's sums lack more of the demand.
#[derive(Debug, Default)]
pub(super) struct DemandView {
    figures: IndexMap<Box<str>, Figure>,
}

impl DemandView {
    /// Takes the figure of a domain, and returns whether it is to be used.
    pub(super) fn accept(&mut self, now: Instant, from: SocketAddr, demand: &DomainDemand) -> bool {
        let held = self.figures.get(&demand.domain);
        let is_accepted = held.is_none_or(|held| {
            held.publisher == from
                || now >= held.replaceable_at
                || demand.entries > held.demand.entries
        });
        if is_accepted {
            let figure = Figure {
                demand: demand.clone(),
                publisher: from,
                received_at: now,
                replaceable_at: now + PUBLISHER_TIMEOUT,
            };
            self.figures.insert(demand.domain.clone(), figure);
        }
        is_accepted
    }

    /// Lets any other control VM replace the figures of one whose feed is lost.
    pub(super) fn release(&mut self, now: Instant, publisher: SocketAddr) {
        for figure in self.figures.values_mut() {
            if figure.publisher == publisher {
                figure.replaceable_at = now;
            }
        }
    }

    /// Removes domains whose last figure is long past.
    pub(super) fn expire(&mut self, now: Instant) {
        self.figures
            .retain(|_, figure| now < figure.received_at + FORGET_AFTER);
    }

    /// Returns the age of the oldest figure; nothing when there is none.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        let received = self.figures.values().map(|figure| figure.received_at);
        Some(now.saturating_duration_since(received.min()?))
    }

    /// Returns whether there are figures, and none is too old to be used.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < FIGURE_LIFETIME)
    }

    /// Returns the demand of each domain.
    pub(super) fn demands(&self) -> impl Iterator<Item = &DomainDemand> {
        self.figures.values().map(|figure| &figure.demand)
    }
}
