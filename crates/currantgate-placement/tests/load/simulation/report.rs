//! Outcomes of the simulated requests.

use std::collections::BTreeMap;
use std::ops::Range;

use super::DOMAINS;

/// Outcome of a group of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Requests of callers, each counted once.
    pub(crate) requested: u32,
    /// Requests that were answered within their latency target.
    pub(crate) in_target: u32,
    /// Requests that were answered before the caller's timeout.
    pub(crate) served: u32,
    /// Attempts that an entry refused.
    pub(crate) refused: u32,
    /// Attempts that an upstream shed.
    pub(crate) shed: u32,
}

impl Outcome {
    /// Returns the share of requests answered within their latency target.
    pub(crate) fn share_in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.requested.max(1))
    }

    /// Returns the share of requests answered before the caller's timeout.
    pub(crate) fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requested.max(1))
    }

    pub(crate) fn add(self, other: Self) -> Self {
        Self {
            requested: self.requested + other.requested,
            in_target: self.in_target + other.in_target,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            shed: self.shed + other.shed,
        }
    }
}

/// Outcomes of one simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Idempotent requests.
    pub(crate) idempotent: Outcome,
    /// Requests that are not idempotent.
    pub(crate) non_idempotent: Outcome,
    /// All requests, by the second in which they started.
    pub(crate) by_second: Vec<Outcome>,
    /// All requests, by the domain of the entry that got the first attempt.
    pub(crate) by_domain: [Outcome; DOMAINS],
    /// All requests by the second in which they started, the domain of their callers,
    /// and whether they are idempotent.
    pub(crate) groups: BTreeMap<(usize, usize, bool), Outcome>,
    /// Work of the requests answered in target, in milliseconds, by the tenth of a
    /// second in which it was done.
    pub(crate) work_in_target_ms: Vec<f64>,
    /// The same of idempotent requests alone.
    pub(crate) idempotent_work_ms: Vec<f64>,
    /// Flows that entries refused by the tenth of a second.
    pub(crate) refusals: Vec<u32>,
    /// Waits at entries: the time at which each ended, and how long it was, in
    /// milliseconds.
    pub(crate) waits: Vec<(f64, f64)>,
    /// Flows that were refused after a wait.
    pub(crate) refused_after_wait: u32,
    /// First packets of the callers of the first domain by the tenth of a second: all,
    /// and those that were sent to other domains.
    pub(crate) spillover: Vec<(u32, u32)>,
    /// Flows that callers opened, those of retries included.
    pub(crate) attempts: u32,
    /// First packets lost on the network.
    pub(crate) lost: u32,
    /// Suspicions, at single entries, of upstreams that do answer.
    pub(crate) false_suspicions: u32,
    /// Suspicions, at single entries, of failure domains that are reachable.
    pub(crate) false_domain_suspicions: u32,
    /// Time from which all entries know all unresponsive upstreams.
    pub(crate) unresponsive_known_ms: Option<f64>,
    /// Most flows that one upstream had at a time while it was warming up.
    pub(crate) max_flows_at_cold: usize,
    /// First packets by the upstream that they were sent to, without those of the
    /// first seconds in which nothing has been observed yet.
    pub(crate) placed: Vec<u32>,
}

impl Report {
    pub(crate) fn all(&self) -> Outcome {
        self.idempotent.add(self.non_idempotent)
    }

    /// Returns the outcome of the groups for which `is_included` holds.
    pub(crate) fn select(&self, is_included: impl Fn(usize, usize, bool) -> bool) -> Outcome {
        let groups = self.groups.iter();
        let included = groups.filter(|((second, domain, is_idempotent), _)| {
            is_included(*second, *domain, *is_idempotent)
        });
        included.fold(Outcome::default(), |sum, (_, outcome)| sum.add(*outcome))
    }

    /// Returns the part of the first domain's flows that were sent to other domains in a
    /// range of tenths of a second.
    pub(crate) fn spilled_share(&self, tenths: Range<usize>) -> f64 {
        let sum = |(all, spilled): (u32, u32), part: &(u32, u32)| (all + part.0, spilled + part.1);
        let (all, spilled) = self.spillover[tenths].iter().fold((0, 0), sum);
        f64::from(spilled) / f64::from(all.max(1))
    }

    /// Counts a first packet of a caller of the first domain.
    pub(super) fn add_spillover(&mut self, now_ms: f64, is_spilled: bool) {
        let tenth = (now_ms / 100.0) as usize;
        if self.spillover.len() <= tenth {
            self.spillover.resize(tenth + 1, (0, 0));
        }
        let (all, spilled) = &mut self.spillover[tenth];
        *all += 1;
        *spilled += u32::from(is_spilled);
    }

    /// Returns the part of all flows that upstreams shed.
    pub(crate) fn shed_share(&self) -> f64 {
        f64::from(self.all().shed) / f64::from(self.attempts.max(1))
    }

    /// Adds the work of a request that was answered in target.
    pub(super) fn add_work(&mut self, now_ms: f64, work_ms: f64, is_idempotent: bool) {
        *at_tenth(&mut self.work_in_target_ms, now_ms) += work_ms;
        if is_idempotent {
            *at_tenth(&mut self.idempotent_work_ms, now_ms) += work_ms;
        }
    }

    /// Counts a refusal.
    pub(super) fn add_refusal(&mut self, now_ms: f64) {
        *at_tenth(&mut self.refusals, now_ms) += 1;
    }

    /// Returns the mean number of slots that did work in target in a range of tenths of
    /// a second.
    pub(crate) fn slots_in_target(&self, tenths: Range<usize>) -> f64 {
        let duration_ms = 100.0 * tenths.len() as f64;
        self.work_in_target_ms[tenths].iter().sum::<f64>() / duration_ms
    }

    /// Returns the placed flows of the upstreams in `range`, relative to an equal share.
    pub(crate) fn relative_share(&self, range: Range<usize>) -> f64 {
        let fair = range.len() as f64 / self.placed.len() as f64;
        let placed: u32 = self.placed[range].iter().sum();
        f64::from(placed) / f64::from(self.placed.iter().sum::<u32>()) / fair
    }

    /// Returns the lowest share within the latency target of any domain.
    pub(crate) fn worst_domain(&self) -> f64 {
        let shares = self.by_domain.iter().map(Outcome::share_in_target);
        shares.fold(1.0, f64::min)
    }

    /// Returns the lowest share within the latency target of any full second.
    pub(crate) fn worst_second(&self) -> f64 {
        let full = self
            .by_second
            .split_last()
            .map_or(&[][..], |(_, full)| full);
        let shares = full.iter().map(Outcome::share_in_target);
        shares.fold(1.0, f64::min)
    }
}

/// Returns the value of the tenth of a second that a time is in.
fn at_tenth<T: Clone + Default>(values: &mut Vec<T>, now_ms: f64) -> &mut T {
    let tenth = (now_ms / 100.0) as usize;
    if values.len() <= tenth {
        values.resize(tenth + 1, T::default());
    }
    &mut values[tenth]
}
