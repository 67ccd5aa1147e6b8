//! Metrics of the entry's own limit.

use currantgate_token::{LimitCause, LimitChange};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of the resource that is the bottleneck.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Cause {
    cause: String,
}

impl From<LimitCause> for Cause {
    fn from(cause: LimitCause) -> Self {
        Self {
            cause: cause.to_string(),
        }
    }
}

/// Metrics of the entry's own limit.
#[derive(Clone, Debug)]
pub(super) struct LimitMetrics {
    at_limit: Family<Cause, Gauge>,
    starts: Family<Cause, Counter>,
}

impl Default for LimitMetrics {
    fn default() -> Self {
        let metrics = Self {
            at_limit: Family::default(),
            starts: Family::default(),
        };
        // Both causes are served from the start, so that an alert has a value to compare.
        for cause in LimitCause::ALL {
            let _ = metrics.at_limit.get_or_create(&cause.into());
            let _ = metrics.starts.get_or_create(&cause.into());
        }
        metrics
    }
}

impl LimitMetrics {
    /// Registers all metrics in a registry of the entry's metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "at_limit",
            "1 while new flows are limited, as this entry's processor or link is at its limit",
            self.at_limit.clone(),
        );
        registry.register(
            "limit_starts",
            "Times that this entry's processor or link came to its limit",
            self.starts.clone(),
        );
    }

    pub(super) fn record_change(&self, change: LimitChange) {
        let (cause, is_at_limit) = match change {
            LimitChange::Started(cause) => (cause.into(), true),
            LimitChange::Ended(cause) => (cause.into(), false),
        };
        let gauge = self.at_limit.get_or_create(&cause);
        gauge.set(i64::from(is_at_limit));
        if is_at_limit {
            self.starts.get_or_create(&cause).inc();
        }
    }
}
