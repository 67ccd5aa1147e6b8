//! The demand that was sent on one feed.

use std::time::Instant;

use currantgate_capacity::DomainDemand;
use indexmap::IndexMap;

use super::published_demand::{MAX_SEND_INTERVAL, PublishedDemand};

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

    fn record_if_due(&mut self, now: Instant, published: &PublishedDemand) -> bool {
        let demand = &published.demand;
        let sent = self.figures.get(&demand.domain);
        let is_due = sent.is_none_or(|sent| {
            now >= sent.refresh_at
                || (now >= sent.may_send_at && published.differs_from(&sent.demand))
        });
        if is_due {
            // A message that is late by a heartbeat delays none of the later ones, so that
            // the interval holds on average.
            let since = |at: Option<Instant>, interval| {
                at.filter(|at| now < *at + interval).unwrap_or(now) + interval
            };
            let may_send_at = since(sent.map(|s| s.may_send_at), published.min_interval);
            let refresh_at = sent.map(|s| s.refresh_at).filter(|at| now >= *at);
            let figure = SentFigure {
                demand: demand.clone(),
                may_send_at,
                refresh_at: since(refresh_at, MAX_SEND_INTERVAL),
            };
            self.figures.insert(demand.domain.clone(), figure);
        }
        is_due
    }
}
