//! What callers got.

use super::DOMAINS;

/// What callers of one kind of request got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requested: u32,
    pub(crate) in_target: u32,
    /// Answered before the caller gave up.
    pub(crate) served: u32,
    /// Refused by an entry, counted by tries.
    pub(crate) refused: u32,
    /// Refused by an upstream, counted by tries.
    pub(crate) shed: u32,
}

impl Outcome {
    pub(crate) fn share_in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.requested.max(1))
    }

    pub(crate) fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requested.max(1))
    }

    fn add(self, other: Self) -> Self {
        Self {
            requested: self.requested + other.requested,
            in_target: self.in_target + other.in_target,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            shed: self.shed + other.shed,
        }
    }
}

/// What all callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Requests that may run more than once.
    pub(crate) idempotent: Outcome,
    /// Requests that may run once at most.
    pub(crate) non_idempotent: Outcome,
    /// All requests, by the second in which they began.
    pub(crate) by_second: Vec<Outcome>,
    /// All requests, by the domain of the entry that took the first try.
    pub(crate) by_domain: [Outcome; DOMAINS],
    /// First packets that were lost on the way.
    pub(crate) lost: u32,
    /// Upstreams that were doubted although they answer, at one entry each.
    pub(crate) false_suspicions: u32,
    /// Failure domains that were doubted although they are in reach.
    pub(crate) false_domain_suspicions: u32,
    /// The most flows that were at one cold upstream.
    pub(crate) max_flows_at_cold: usize,
}

impl Report {
    pub(crate) fn all(&self) -> Outcome {
        self.idempotent.add(self.non_idempotent)
    }

    /// Returns the share in aim of the domain that was served worst.
    pub(crate) fn worst_domain(&self) -> f64 {
        let shares = self.by_domain.iter().map(Outcome::share_in_target);
        shares.fold(1.0, f64::min)
    }

    /// Returns the share in aim of the worst of the full seconds.
    pub(crate) fn worst_second(&self) -> f64 {
        let full = self
            .by_second
            .split_last()
            .map_or(&[][..], |(_, full)| full);
        let shares = full.iter().map(Outcome::share_in_target);
        shares.fold(1.0, f64::min)
    }
}
