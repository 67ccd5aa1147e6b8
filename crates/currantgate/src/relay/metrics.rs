//! Metrics of a relay.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label for the outcome of a request or TCP connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    /// The outcome, in lower case with underscores.
    outcome: &'static str,
}

/// Metrics of a relay.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayMetrics {
    requests: Family<Outcome, Counter>,
    /// Attempts sent to upstreams.
    pub(crate) attempts: Counter,
    /// Requests that are not settled yet.
    pub(crate) open: Gauge,
    /// The applied revision; 0 while the site file of the settings is used.
    pub(crate) revision: Gauge,
}

impl RelayMetrics {
    /// Registers all metrics under the `currantgate_relay` prefix.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_relay");
        registry.register(
            "requests",
            "Requests that were settled, by outcome",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts that were sent to upstreams",
            self.attempts.clone(),
        );
        registry.register(
            "requests_open",
            "Requests that are not yet settled",
            self.open.clone(),
        );
        registry.register(
            "revision",
            "The accepted revision in force, 0 while it is a site file",
            self.revision.clone(),
        );
    }

    /// Counts one settled request or closed TCP connection.
    pub(crate) fn count(&self, outcome: &'static str) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
    }
}
