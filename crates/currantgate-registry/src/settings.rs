//! Settings of the registry and of the view.

use std::time::Duration;

/// Settings of a [`crate::UpstreamRegistry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistrySettings {
    /// Time without a report after which an upstream counts as silent: two and a half
    /// report intervals, so that a single lost report that is repeated at another control
    /// VM does not count.
    pub silent_after: Duration,
    /// Time without a report after which an upstream is removed: longer than a report can
    /// be delayed by the network.
    pub forget_after: Duration,
    /// Most upstreams in the registry, far above the size of a site.
    pub max_upstreams: usize,
}

impl RegistrySettings {
    /// Returns the settings for upstreams that report at the given interval.
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
    /// Time for which an upstream still counts as ready after the connection to the only
    /// control VM with its newest report was lost: the time that an upstream takes to
    /// fail over to another one, plus a report interval.
    pub unconfirmed_timeout: Duration,
    /// Time after the first connection to a control VM after which the view counts as
    /// complete: two report intervals.
    pub complete_after: Duration,
    /// Time for which an upstream that is gone or silent stays in the view, so that its
    /// open flows still reach it: the lifetime of a flow with some slack.
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
