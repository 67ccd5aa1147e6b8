//! The demand that was sent on one feed.

use std::time::{Duration, Instant};

use currantgate_capacity::DomainDemand;
use indexmap::IndexMap;

use super::published_demand::PublishedDemand;

/// A figure that was sent.
#[derive(Debug)]
struct SentFigure {
    demand: DomainDemand,
    /// Time from which the figure may be sent again when it has changed noticeably.
    may_send_at: Instant,
    /// Time at which the figure is sent again even if it has not changed.
    refresh_at: Instant,
}

/// The demand that was sent on one feed, by failure domain.
#[derive(Debug, Default)]
pub(super) struct SentDemand {
    figures: IndexMap<Box<str>, SentFigure>,
}

impl SentDemand {
    /// Returns the figures to send now, and records them as sent. Figures of domains that
    /// are no longer published are forgotten.
    pub(super) fn take_due(
        &mut self,
        now: Instant,
        published: &[PublishedDemand],
    ) -> Vec<DomainDemand> {
        self.figures
            .retain(|domain, _| published.iter().any(|p| p.demand.domain == *domain));
        let due = published.iter().filter(|p| self.record_if_due(now, p));
        due.map(|p| p.demand.clone()).collect()
    }

    /// Returns the last time from `from` until `until` at which a figure may be sent.
    pub(super) fn last_due_between(&self, from: Instant, until: Instant) -> Option<Instant> {
        let times = self.figures.values().map(|sent| sent.may_send_at);
        times.filter(|at| (from..until).contains(at)).max()
    }

    fn record_if_due(&mut self, now: Instant, published: &PublishedDemand) -> bool {
        let demand = &published.demand;
        let Some(sent) = self.figures.get_mut(&demand.domain) else {
            let figure = SentFigure {
                demand: demand.clone(),
                may_send_at: now + published.min_interval,
                refresh_at: now + published.refresh_interval,
            };
            self.figures.insert(demand.domain.clone(), figure);
            return true;
        };
        let is_refresh = now >= sent.refresh_at;
        if now < sent.may_send_at || !(is_refresh || published.differs_from(&sent.demand)) {
            return false;
        }
        sent.demand = demand.clone();
        sent.may_send_at = next_due(now, sent.may_send_at, published.min_interval);
        sent.refresh_at = if is_refresh {
            next_due(now, sent.refresh_at, published.refresh_interval)
        } else {
            now + published.refresh_interval
        };
        true
    }
}

/// Returns the time of the message after one that was due at `due`. A late message does
/// not shift the next one, so that the interval holds on average.
fn next_due(now: Instant, due: Instant, interval: Duration) -> Instant {
    let next = due + interval;
    if now < next { next } else { now + interval }
}
