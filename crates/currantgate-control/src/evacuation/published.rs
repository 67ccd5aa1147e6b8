//! The evacuations that a control VM publishes on its feeds.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::Index;

/// Time for which the end of an evacuation is published: longer than upstreams are cold.
const RETURNED_TIME: Duration = Duration::from_secs(60);

/// Difference up to which two ends of a domain count as the same one. Each transfer makes
/// an end later by the transit time; without a tolerance, two VMs would update each other
/// without end.
const END_TOLERANCE: Duration = Duration::from_secs(2);

/// Longest time for which a control VM that has restarted withholds upstreams. An order
/// that was acknowledged right before a loss of power of all VMs is known as committed
/// only once a leader is elected, which takes one to three seconds.
const UPSTREAM_HOLD_TIME: Duration = Duration::from_secs(5);

/// The evacuations that a control VM publishes. They never go back to a lower revision,
/// whether they come from the VM's own log or from other control VMs.
#[derive(Debug, Default)]
pub struct PublishedEvacuations {
    revision: Index,
    /// The evacuated domains, each with the time at which this VM learned of the start;
    /// nothing if that was before the VM started.
    evacuated: IndexMap<Box<str>, Option<Instant>>,
    /// Domains whose evacuation has ended, each with the time of the end.
    returned: IndexMap<Box<str>, Instant>,
    change: u64,
    /// Time until which entries get no upstreams, unless it is confirmed before that all
    /// acknowledged orders are published.
    upstreams_held_until: Option<Instant>,
}

impl PublishedEvacuations {
    /// Sets the state that was stored before the VM started.
    pub fn restore<'a>(&mut self, revision: Index, domains: impl Iterator<Item = &'a str>) {
        if revision > self.revision {
            self.revision = revision;
            self.evacuated = domains.map(|domain| (domain.into(), None)).collect();
            self.change += 1;
        }
    }

    /// Sets a newer state and returns whether it is newer.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        revision: Index,
        domains: impl Iterator<Item = &'a str>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.returned
            .retain(|_, ended| now < *ended + RETURNED_TIME);
        let mut before = std::mem::take(&mut self.evacuated);
        for domain in domains {
            let since = before.swap_remove(domain).unwrap_or(Some(now));
            self.evacuated.insert(domain.into(), since);
            self.returned.swap_remove(domain);
        }
        self.returned
            .extend(before.into_keys().map(|domain| (domain, now)));
        self.revision = revision;
        self.change += 1;
        true
    }

    /// Adds the ends that another control VM publishes together with `revision`. This VM may
    /// not know of them, because they were before its start or because it learned of start
    /// and end together. The later end of a domain is kept.
    pub fn add_returned<'a>(
        &mut self,
        now: Instant,
        revision: Index,
        returned: impl Iterator<Item = (&'a str, Duration)>,
    ) {
        if revision != self.revision {
            return;
        }
        for (domain, ago) in returned {
            let ended = now
                .checked_sub(ago)
                .filter(|ended| now < *ended + RETURNED_TIME);
            let Some(ended) = ended else {
                continue;
            };
            let known = self.returned.get(domain);
            if known.is_some_and(|known| ended <= *known + END_TOLERANCE) {
                continue;
            }
            self.returned.insert(domain.into(), ended);
            self.change += 1;
        }
    }

    /// Withholds the upstreams from entries, as acknowledged orders may be missing.
    pub fn hold_upstreams(&mut self, now: Instant) {
        self.upstreams_held_until = Some(now + UPSTREAM_HOLD_TIME);
    }

    /// Records that all acknowledged orders are published. Returns whether upstreams
    /// were withheld.
    pub fn confirm(&mut self) -> bool {
        self.upstreams_held_until.take().is_some()
    }

    /// Returns whether entries get no upstreams yet.
    pub fn holds_upstreams(&self, now: Instant) -> bool {
        self.upstreams_held_until.is_some_and(|until| now < until)
    }

    /// Returns a number that increases with each change of the published state.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the log index of the last order, or 0 if there was none.
    pub fn revision(&self) -> Index {
        self.revision
    }

    /// Returns the evacuated domains, each with the time at which this VM learned of the
    /// start; nothing if that was before the VM started.
    pub fn evacuated(&self) -> impl ExactSizeIterator<Item = (&str, Option<Instant>)> {
        let evacuated = self.evacuated.iter();
        evacuated.map(|(domain, since)| (&**domain, *since))
    }

    /// Returns the domains whose evacuation has ended a short time ago, each with the
    /// time since the end.
    pub fn returned(&self, now: Instant) -> impl Iterator<Item = (&str, Duration)> {
        let recent = self
            .returned
            .iter()
            .filter(move |(_, ended)| now < **ended + RETURNED_TIME);
        recent.map(move |(domain, ended)| (&**domain, now.saturating_duration_since(*ended)))
    }
}
