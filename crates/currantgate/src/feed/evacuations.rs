//! The evacuations that a control VM publishes on its feeds.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::{EvacuationState, ReturnedDomain};
use super::status::{EvacuatedDomain, EvacuationStatus};

/// Time for which the end of an evacuation is published: longer than upstreams are cold.
const RETURNED_TIME: Duration = Duration::from_secs(60);

/// Longest time for which a control VM that has restarted withholds upstreams. An order
/// that was acknowledged right before a loss of power of all VMs is known as committed
/// only once a leader is elected, which takes one to three seconds.
const UPSTREAM_HOLD_TIME: Duration = Duration::from_secs(5);

/// The evacuations that a control VM publishes. They never go back to a lower revision,
/// whether they come from the VM's own log or from other control VMs.
#[derive(Debug, Default)]
pub(crate) struct PublishedEvacuations {
    revision: u64,
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
    pub(crate) fn restore<'a>(&mut self, revision: u64, domains: impl Iterator<Item = &'a str>) {
        if revision > self.revision {
            self.revision = revision;
            self.evacuated = domains.map(|domain| (domain.into(), None)).collect();
            self.change += 1;
        }
    }

    /// Sets a newer state and returns whether it is newer.
    pub(crate) fn update<'a>(
        &mut self,
        now: Instant,
        revision: u64,
        domains: impl Iterator<Item = &'a str>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
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

    /// Takes over the state of another control VM if it is newer, and returns whether it
    /// is.
    pub(crate) fn adopt(&mut self, now: Instant, state: &EvacuationState) -> bool {
        let domains = state.evacuated.iter().map(|domain| &**domain);
        let is_newer = self.update(now, state.revision, domains);
        if state.revision == self.revision {
            self.add_returned(now, &state.returned);
        }
        is_newer
    }

    /// Adds ends that this VM does not know of, because they were before its start or
    /// because it learned of start and end together.
    fn add_returned(&mut self, now: Instant, returned: &[ReturnedDomain]) {
        for ReturnedDomain { domain, ms_ago } in returned {
            let ended = now.checked_sub(Duration::from_millis((*ms_ago).into()));
            let (Some(ended), false) = (ended, self.returned.contains_key(domain)) else {
                continue;
            };
            if now < ended + RETURNED_TIME {
                self.returned.insert(domain.clone(), ended);
                self.change += 1;
            }
        }
    }

    /// Withholds the upstreams from entries, as acknowledged orders may be missing.
    pub(crate) fn hold_upstreams(&mut self, now: Instant) {
        self.upstreams_held_until = Some(now + UPSTREAM_HOLD_TIME);
    }

    /// Records that all acknowledged orders are published. Returns whether upstreams
    /// were withheld.
    pub(crate) fn confirm(&mut self) -> bool {
        self.upstreams_held_until.take().is_some()
    }

    /// Returns whether entries get no upstreams yet.
    pub(crate) fn holds_upstreams(&self, now: Instant) -> bool {
        self.upstreams_held_until.is_some_and(|until| now < until)
    }

    /// Returns a number that increases with each change of the published state.
    pub(crate) fn change(&self) -> u64 {
        self.change
    }

    /// Returns the log index of the last order, or 0 if there was none.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the state to publish, or `None` before the first order.
    pub(crate) fn state(&self, now: Instant) -> Option<EvacuationState> {
        if self.revision == 0 {
            return None;
        }
        let returned = self.recently_returned(now);
        let returned = returned.map(|(domain, ended)| ReturnedDomain {
            domain: domain.clone(),
            ms_ago: elapsed_ms(now, ended).try_into().unwrap_or(u32::MAX),
        });
        Some(EvacuationState {
            revision: self.revision,
            evacuated: self.evacuated.keys().cloned().collect(),
            returned: returned.collect(),
        })
    }

    /// Returns the number of evacuated domains.
    pub(crate) fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns the state for operators, without listeners and upstreams.
    pub(crate) fn status(&self, now: Instant) -> EvacuationStatus {
        let status = |domain: &str, since: Option<Instant>| EvacuatedDomain {
            domain: domain.into(),
            since_ms: since.map(|since| elapsed_ms(now, since)),
        };
        let evacuated = self.evacuated.iter();
        let returned = self.recently_returned(now);
        EvacuationStatus {
            revision: self.revision,
            evacuated: evacuated
                .map(|(name, since)| status(name, *since))
                .collect(),
            returned: returned
                .map(|(name, ended)| status(name, Some(ended)))
                .collect(),
            ..EvacuationStatus::default()
        }
    }

    fn recently_returned(&self, now: Instant) -> impl Iterator<Item = (&Box<str>, Instant)> {
        let returned = self.returned.iter().map(|(name, ended)| (name, *ended));
        returned.filter(move |(_, ended)| now < *ended + RETURNED_TIME)
    }
}

fn elapsed_ms(now: Instant, since: Instant) -> u64 {
    let elapsed = now.saturating_duration_since(since);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
