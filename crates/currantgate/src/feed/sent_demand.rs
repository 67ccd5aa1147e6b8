//! The demand that was sent on one feed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::published_demand::PublishedDemand;

/// Longest time by which a heartbeat or a figure is delayed to be sent together, which
/// saves the headers of a packet. It is well below a missed heartbeat.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);

/// A figure that was sent.
#[derive(Debug)]
struct SentFigure {
    published: Rc<PublishedDemand>,
    /// Time from which the figure may be sent again when it has changed noticeably.
    may_send_at: Instant,
    /// Time at which the figure is sent again even if it has not changed.
    refresh_at: Instant,
}

/// The demand that was sent on one feed, by failure domain.
#[derive(Debug, Default)]
pub struct SentDemand {
    figures: IndexMap<Box<str>, SentFigure>,
}

impl SentDemand {
    /// Returns the figures to send now, and records them as sent. Figures of domains that
    /// are no longer published are forgotten.
    pub fn take_due<'a>(
        &mut self,
        now: Instant,
        published: &'a [Rc<PublishedDemand>],
    ) -> Vec<&'a Rc<PublishedDemand>> {
        self.figures
            .retain(|domain, _| published.iter().any(|p| p.demand.domain == *domain));
        let due = published.iter().filter(|p| self.record_if_due(now, p));
        due.collect()
    }

    /// Returns the time of the next heartbeat, which is due at `due`: later when a figure
    /// can be sent along shortly afterwards, and earlier when the refresh of a figure
    /// would otherwise wait for long. Figures with an interval of 1.15 s were sent each
    /// 1.5 s while they waited for the heartbeats.
    pub fn next_heartbeat(&self, due: Instant) -> Instant {
        let latest = due + MAX_HEARTBEAT_DELAY;
        let sendable = self.figures.values().map(|sent| sent.may_send_at);
        let sendable = sendable.filter(|at| (due..=latest).contains(at));
        let refreshes = self.figures.values().map(|sent| sent.refresh_at);
        // Figures that are due a short time after one another are sent together.
        let refresh = refreshes.min().map(|at| at + MAX_HEARTBEAT_DELAY);
        let next = sendable.max().unwrap_or(due);
        refresh.map_or(next, |refresh| next.min(refresh))
    }

    fn record_if_due(&mut self, now: Instant, published: &Rc<PublishedDemand>) -> bool {
        let demand = &published.demand;
        let Some(sent) = self.figures.get_mut(&demand.domain) else {
            let figure = SentFigure {
                published: Rc::clone(published),
                may_send_at: now + published.min_interval,
                refresh_at: now + published.refresh_interval,
            };
            self.figures.insert(demand.domain.clone(), figure);
            return true;
        };
        let is_refresh = now >= sent.refresh_at;
        if now < sent.may_send_at || !(is_refresh || published.differs_from(&sent.published.demand))
        {
            return false;
        }
        sent.published = Rc::clone(published);
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
