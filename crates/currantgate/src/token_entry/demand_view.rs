//! The demand of all failure domains, as control VMs publish it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantgate_capacity::DomainDemand;
use indexmap::IndexMap;

/// Age from which the figure of a domain is no longer used. Placement has no rule of its own.
const FIGURE_LIFETIME: Duration = Duration::from_secs(2);

/// The newest figure of a failure domain from one control VM.
#[derive(Debug)]
struct Figure {
    demand: DomainDemand,
    measured_at: Instant,
}

/// What is known of one failure domain.
#[derive(Debug)]
struct DomainView {
    /// Figures within their lifetime by control VM; the one that published first comes
    /// first.
    figures: IndexMap<SocketAddr, Figure>,
    last_measured: Instant,
    /// Publisher and time of the figure that placement has.
    applied: Option<(SocketAddr, Instant)>,
    /// Whether the last figure in use told that the domain has no entries any more.
    is_vacant: bool,
}

impl DomainView {
    /// Returns the figure to use. Of figures with as many entries, the later publisher's
    /// is used: entries have moved to it.
    fn chosen(&self) -> Option<(&SocketAddr, &Figure)> {
        let figures = self.figures.iter();
        figures.max_by_key(|(_, figure)| figure.demand.entries)
    }
}

/// What placement must be told of the view.
#[derive(Clone, Debug, PartialEq)]
pub enum DemandChange<'a> {
    /// Figures that have changed or were renewed; all are current.
    Renewed(Vec<&'a DomainDemand>),
    /// A figure has become too old, so that no shares may be used.
    OutOfDate,
}

/// The newest figures of all failure domains, which alone decides which of them count and
/// whether they are out of date.
///
/// While a domain changes its collector, two control VMs publish figures of it. The one
/// with more of its entries is used, since the other one's sums lack more of the demand.
/// A lost feed does not end a figure's lifetime: the next collector's first figures may
/// lack entries.
#[derive(Debug, Default)]
pub struct DemandView {
    domains: IndexMap<Box<str>, DomainView>,
    was_current: bool,
}

impl DemandView {
    /// Takes the figure of a domain from a control VM, which had the given age when it was
    /// sent.
    pub fn record(&mut self, now: Instant, from: SocketAddr, age: Duration, demand: DomainDemand) {
        let measured_at = now.checked_sub(age).unwrap_or(now);
        let domain = self
            .domains
            .entry(demand.domain.clone())
            .or_insert_with(|| DomainView {
                figures: IndexMap::new(),
                last_measured: measured_at,
                applied: None,
                is_vacant: false,
            });
        domain.last_measured = measured_at;
        let figure = Figure {
            demand,
            measured_at,
        };
        domain.figures.insert(from, figure);
    }

    /// Removes figures that are out of date, and domains whose last figure told that they
    /// have no entries. Other domains without figures stay, so that the view is out of
    /// date until there are figures again. Returns what placement must be told.
    pub fn update(&mut self, now: Instant) -> Option<DemandChange<'_>> {
        for domain in self.domains.values_mut() {
            domain
                .figures
                .retain(|_, figure| now < figure.measured_at + FIGURE_LIFETIME);
            if let Some((_, figure)) = domain.chosen() {
                domain.is_vacant = figure.demand.entries == 0;
            }
        }
        self.domains
            .retain(|_, domain| !(domain.is_vacant && domain.figures.is_empty()));
        let is_current = self.is_current(now);
        let was_current = std::mem::replace(&mut self.was_current, is_current);
        if !is_current {
            for domain in self.domains.values_mut() {
                domain.applied = None;
            }
            return was_current.then_some(DemandChange::OutOfDate);
        }
        let mut renewed = Vec::new();
        for domain in self.domains.values_mut() {
            let chosen = domain.chosen();
            let chosen = chosen.map(|(from, figure)| (*from, figure.measured_at));
            if std::mem::replace(&mut domain.applied, chosen) != chosen {
                renewed.extend(domain.chosen().map(|(_, figure)| &figure.demand));
            }
        }
        (!renewed.is_empty()).then_some(DemandChange::Renewed(renewed))
    }

    /// Returns the age of the oldest figure; nothing when there is none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let measured = self.domains.values().map(|domain| {
            let chosen = domain.chosen();
            chosen.map_or(domain.last_measured, |(_, figure)| figure.measured_at)
        });
        Some(now.saturating_duration_since(measured.min()?))
    }

    /// Returns whether there are figures, and none is too old to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < FIGURE_LIFETIME)
    }

    /// Returns the demand of each domain.
    pub fn demands(&self) -> impl Iterator<Item = &DomainDemand> {
        let chosen = self.domains.values().filter_map(DomainView::chosen);
        chosen.map(|(_, figure)| &figure.demand)
    }
}
