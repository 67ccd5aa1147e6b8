//! Metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

/// Label for the reason of a drop or refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    /// The reason, in lower case with underscores.
    pub(crate) reason: String,
}

/// Metrics of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryMetrics {
    /// Packets sent to upstreams.
    pub(crate) delivered: Counter,
    /// Answers sent to callers.
    pub(crate) answered: Counter,
    /// Packets forwarded to another entry.
    pub(crate) forwarded: Counter,
    /// Packets answered with a refusal to the caller.
    pub(crate) refused: Family<Reason, Counter>,
    /// Packets dropped.
    pub(crate) dropped: Family<Reason, Counter>,
    /// Flows in the entry's table.
    pub(crate) open_flows: Gauge,
    /// Buckets that are moving between upstreams, as seen by this entry.
    pub(crate) moving_buckets: Gauge,
    /// Entries regarded as alive, this one included.
    pub(crate) live_entries: Gauge,
    /// The applied revision; 0 before the first.
    pub(crate) revision: Gauge,
    /// Bytes of control messages sent, UDP and IP headers included.
    pub(crate) control_bytes: Counter,
}

impl EntryMetrics {
    /// Registers all metrics under the `currantgate_entry` prefix.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_entry");
        registry.register(
            "packets_delivered",
            "Packets that went to an upstream",
            self.delivered.clone(),
        );
        registry.register(
            "packets_answered",
            "Answers that went back to callers",
            self.answered.clone(),
        );
        registry.register(
            "packets_forwarded",
            "Packets handed to another entry",
            self.forwarded.clone(),
        );
        registry.register(
            "packets_refused",
            "Packets whose caller was told that the flow can't be served",
            self.refused.clone(),
        );
        registry.register("packets_dropped", "Packets dropped", self.dropped.clone());
        registry.register(
            "open_flows",
            "Flows that the entry remembers",
            self.open_flows.clone(),
        );
        registry.register(
            "moving_buckets",
            "Buckets that the entry sees on the move",
            self.moving_buckets.clone(),
        );
        registry.register(
            "live_entries",
            "Entries that count as alive, this one included",
            self.live_entries.clone(),
        );
        registry.register(
            "revision",
            "The accepted revision in force; zero while there is none",
            self.revision.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Control messages sent, UDP and IP headers included",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
    }

    /// Counts one dropped packet under `reason`.
    pub(crate) fn count_drop(&self, reason: &str) {
        self.dropped
            .get_or_create(&Reason {
                reason: reason.into(),
            })
            .inc();
    }

    /// Counts one refused packet under the lower-case name of its refusal.
    pub(crate) fn count_refusal(&self, reason: &dyn std::fmt::Debug) {
        self.refused
            .get_or_create(&Reason {
                reason: format!("{reason:?}").to_lowercase(),
            })
            .inc();
    }
}
