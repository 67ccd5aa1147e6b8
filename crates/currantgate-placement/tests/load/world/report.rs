//! What callers got.

use super::DOMAINS;

/// What callers of one kind of request got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    /// Answered before the caller gave up.
    pub(crate) served: u32,
    /// Refused by an entry, counted by tries.
    pub(crate) refused: u32,
    /// Refused by an upstream, counted by tries.
    pub(crate) shed: u32,
}

impl Outcome {
    pub(crate) fn share_in_aim(&self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.asked.max(1))
    }

    pub(crate) fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_aim: self.in_aim + other.in_aim,
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
    pub(crate) safe: Outcome,
    /// Requests that may run once at most.
    pub(crate) unsafe_: Outcome,
    /// All requests, by the second in which they began.
    pub(crate) by_second: Vec<Outcome>,
    /// All requests, by the domain of the entry that took the first try.
    pub(crate) by_domain: [Outcome; DOMAINS],
    /// First packets that were lost on the way.
    pub(crate) lost: u32,
    /// Upstreams that were doubted although they answer, at one entry each.
    pub(crate) false_doubts: u32,
    /// Failure domains that were doubted although they are in reach.
    pub(crate) false_domain_doubts: u32,
    /// The most flows that were at one cold upstream.
    pub(crate) most_at_cold: usize,
}

impl Report {
    pub(crate) fn all(&self) -> Outcome {
        self.safe.add(self.unsafe_)
    }

    /// Returns the share in aim of the domain that was served worst.
    pub(crate) fn worst_domain(&self) -> f64 {
        let shares = self.by_domain.iter().map(Outcome::share_in_aim);
        shares.fold(1.0, f64::min)
    }

    /// Returns the share in aim of the worst of the full seconds.
    pub(crate) fn worst_second(&self) -> f64 {
        let full = self
            .by_second
            .split_last()
            .map_or(&[][..], |(_, full)| full);
        let shares = full.iter().map(Outcome::share_in_aim);
        shares.fold(1.0, f64::min)
    }
}
