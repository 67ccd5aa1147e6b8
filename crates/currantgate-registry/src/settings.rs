//! Settings of the registry and of the view.

use std::time::Duration;

/// Settings of a [`crate::UpstreamRegistry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrySettings {
    /// Time without a report after which an upstream counts as silent: two
    /// and a half intervals of its reports, so that one lost report and its
    /// repetition at another control VM don't.
    pub silent_after: Duration,
    /// Time without a report after which an upstream is forgotten: longer than
    /// a report can be delayed on its way.
    pub forget_after: Duration,
    /// The most upstreams that are kept, far above the size of a site.
    pub max_upstreams: usize,
}

impl RegistrySettings {
    /// Returns the settings for upstreams that report every `interval`.
    pub fn for_interval(interval: Duration) -> Self {
        Self {
            silent_after: interval * 5 / 2,
            ..Self::default()
        }
    }
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_millis(3_000),
            forget_after: Duration::from_secs(120),
            max_upstreams: 100_000,
        }
    }
}

/// Settings of a [`crate::UpstreamView`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewSettings {
    /// How long an upstream counts as alive after the only control VM that
    /// heard it is out of reach: the time that an upstream takes to find
    /// another one, and an interval of its reports.
    pub unconfirmed_timeout: Duration,
    /// How long after the first control VM came in reach all upstreams count as
    /// told: two intervals of their reports.
    pub complete_after: Duration,
    /// How long an upstream that is gone or silent is remembered: the life of
    /// a flow, so that its flows still reach it, with some slack.
    pub forget_after: Duration,
}

impl Default for ViewSettings {
    fn default() -> Self {
        Self {
            unconfirmed_timeout: Duration::from_millis(4_000),
            complete_after: Duration::from_millis(2_400),
            forget_after: Duration::from_secs(90),
        }
    }
}
