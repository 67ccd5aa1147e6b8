//! The evacuated failure domains, as a receiver of feeds holds them.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

/// Evacuated failure domains as a control VM has sent them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// Number of the state, which grows with each order.
    pub revision: u64,
    /// Domains whose upstreams get no new flows.
    pub evacuated: Vec<Box<str>>,
    /// Domains whose evacuation has ended, with the time since.
    pub returned: Vec<(Box<str>, Duration)>,
}

/// Changes of which failure domains are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that get no new flows from now on.
    pub started: Vec<Box<str>>,
    /// Domains that get new flows again.
    pub finished: Vec<Box<str>>,
}

/// The evacuated failure domains with the highest revision that any control VM has
/// sent. It outlives all feeds, so that an entry never reverts to an older state.
#[derive(Debug, Default)]
pub struct EvacuationView {
    revision: u64,
    evacuated: IndexSet<Box<str>>,
    /// Times at which evacuations ended, by this VM's clock.
    returned: IndexMap<Box<str>, Instant>,
    /// Number of times that an entry of `returned` was added or set to a later time.
    returned_changes: u64,
}

impl EvacuationView {
    /// Applies the state that a control VM has sent. Returns what has changed, or `None`
    /// if the state is not newer than the held one.
    pub fn apply(&mut self, now: Instant, update: EvacuationUpdate) -> Option<EvacuationChange> {
        if update.revision < self.revision {
            return None;
        }
        let is_newer = update.revision > self.revision;
        let change = is_newer.then(|| self.replace(now, update.revision, update.evacuated));
        for (domain, ago) in update.returned {
            self.record_end(now, domain, ago);
        }
        change
    }

    fn replace(
        &mut self,
        now: Instant,
        revision: u64,
        evacuated: Vec<Box<str>>,
    ) -> EvacuationChange {
        self.revision = revision;
        let evacuated: IndexSet<_> = evacuated.into_iter().collect();
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let finished: Vec<_> = before.difference(&self.evacuated).cloned().collect();
        let started: Vec<_> = self.evacuated.difference(&before).cloned().collect();
        for domain in &started {
            self.returned.swap_remove(domain);
        }
        for domain in &finished {
            // Not the time that the control VM gives, since flows return only now.
            self.returned.insert(domain.clone(), now);
        }
        EvacuationChange { started, finished }
    }

    /// Records the end of an evacuation that this VM may not have seen itself. Control VMs
    /// learn of an end at different times, of which the latest counts.
    fn record_end(&mut self, now: Instant, domain: Box<str>, ago: Duration) {
        if self.evacuated.contains(&domain) {
            return;
        }
        // An end before the earliest time of the clock counts as just now, so that cold
        // upstreams do not count as warm.
        let at = now.checked_sub(ago).unwrap_or(now);
        let is_later = self.returned.get(&domain).is_none_or(|known| at > *known);
        if is_later {
            self.returned.insert(domain, at);
            self.returned_changes += 1;
        }
    }

    /// Returns the revision, or 0 if no state was received.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the evacuated domains.
    pub fn evacuated(&self) -> impl ExactSizeIterator<Item = &Box<str>> {
        self.evacuated.iter()
    }

    /// Tells whether upstreams of a domain get no new flows.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns a number that grows whenever the end of an evacuation becomes known, or counts
    /// from later than before.
    pub fn returned_changes(&self) -> u64 {
        self.returned_changes
    }

    /// Returns when the last evacuation of a domain ended, if one is known to have ended.
    pub fn returned_at(&self, domain: &str) -> Option<Instant> {
        self.returned.get(domain).copied()
    }
}
