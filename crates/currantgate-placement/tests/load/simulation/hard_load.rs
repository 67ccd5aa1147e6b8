//! Loads that change by failure domain and kind of request.

use std::ops::Range;

use super::DOMAINS;
use super::scenario::Site;

/// A load in phases, which is the usual one outside of them.
#[derive(Clone, Debug)]
pub(crate) struct HardLoad {
    pub(crate) duration_ms: f64,
    pub(crate) phases: Vec<Phase>,
}

/// Part of a load in which there are more callers than usual.
#[derive(Clone, Debug)]
pub(crate) struct Phase {
    pub(crate) ms: Range<f64>,
    /// Factors of the callers of each domain.
    pub(crate) domains: [f64; DOMAINS],
    /// Factor of idempotent requests.
    pub(crate) idempotent: f64,
    /// Factor of requests that are not idempotent.
    pub(crate) non_idempotent: f64,
}

impl Phase {
    /// Returns the usual load.
    pub(crate) fn usual(ms: Range<f64>) -> Self {
        Self {
            ms,
            domains: [1.0; DOMAINS],
            idempotent: 1.0,
            non_idempotent: 1.0,
        }
    }

    fn domains_factor(&self, site: &Site) -> f64 {
        self.domains[..site.domains].iter().sum::<f64>() / site.domains as f64
    }

    fn kinds_factor(&self, site: &Site) -> f64 {
        (1.0 - site.non_idempotent_share) * self.idempotent
            + site.non_idempotent_share * self.non_idempotent
    }

    /// Returns the number of requests relative to the usual one.
    pub(super) fn rate_factor(&self, site: &Site) -> f64 {
        self.domains_factor(site) * self.kinds_factor(site)
    }

    pub(super) fn non_idempotent_share(&self, site: &Site) -> f64 {
        site.non_idempotent_share * self.non_idempotent / self.kinds_factor(site)
    }

    /// Returns a domain by a number that is drawn from 0 to 1.
    pub(super) fn draw_domain(&self, site: &Site, drawn: f64) -> usize {
        let mut left = drawn * self.domains_factor(site) * site.domains as f64;
        let mut domains = self.domains[..site.domains].iter();
        let found = domains.position(|factor| {
            left -= factor;
            left < 0.0
        });
        found.unwrap_or(site.domains - 1)
    }
}
