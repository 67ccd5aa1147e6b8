//! Metrics of a control VM.

use currantgate_control::{Freshness, RoleName, RolloutStatus, Status, VoterSpread};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label for the outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Outcome {
    pub(super) outcome: &'static str,
}

/// Label for the reason of a change of the voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// Metrics of a control VM.
#[derive(Clone, Debug, Default)]
pub(super) struct ControlMetrics {
    revision: Gauge,
    term: Gauge,
    leads: Gauge,
    has_lease: Gauge,
    uncommitted: Gauge,
    nodes: Gauge,
    lowest: Gauge,
    voters: Gauge,
    changes: Family<Outcome, Counter>,
    voter_changes: Family<Outcome, Counter>,
    voter_change_reasons: Family<Reason, Counter>,
    voters_spread: Gauge,
    open_peers: Gauge,
}

impl ControlMetrics {
    /// Registers all metrics under the `currantgate_control` prefix.
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("currantgate_control");
        let gauges = [
            ("revision", "Revision known as accepted", &self.revision),
            ("term", "Term of the consensus", &self.term),
            ("leads", "1 on the leader", &self.leads),
            ("lease", "1 while the lease is held", &self.has_lease),
            (
                "uncommitted_entries",
                "Entries of the log that are not known as committed",
                &self.uncommitted,
            ),
            ("voters", "Voters of the site as known here", &self.voters),
            (
                "voters_spread",
                "1 on the leader while a loss that the site tolerates leaves a quorum",
                &self.voters_spread,
            ),
            (
                "peer_streams",
                "Open streams to other voters, one for each in calm time",
                &self.open_peers,
            ),
            (
                "served_nodes",
                "VMs that take revisions from here, also through fan-out VMs",
                &self.nodes,
            ),
            (
                "served_lowest_revision",
                "Oldest revision in force on any of them",
                &self.lowest,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "changes",
            "Changes that operators asked for",
            self.changes.clone(),
        );
        registry.register(
            "voter_changes",
            "Changes of the voters that this VM has started or abandoned as the leader",
            self.voter_changes.clone(),
        );
        registry.register(
            "voter_change_reasons",
            "Changes of the voters that this VM has started as the leader, by reason",
            self.voter_change_reasons.clone(),
        );
    }

    /// Sets the gauges from the state of the consensus and of the rollout.
    pub(super) fn update(&self, status: &Status, rollout: &RolloutStatus) {
        let number = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.revision.set(number(status.accepted.revision));
        self.term.set(number(status.term));
        self.leads.set(i64::from(status.role == RoleName::Leader));
        let has_lease = status.freshness == Freshness::Present;
        self.has_lease.set(i64::from(has_lease));
        self.uncommitted
            .set(number(status.last_index.saturating_sub(status.commit)));
        self.voters.set(number(status.members.ids().count() as u64));
        self.nodes.set(i64::from(rollout.nodes));
        self.lowest.set(number(rollout.lowest));
    }

    /// Counts a change by its outcome.
    pub(super) fn count_change(&self, outcome: &'static str) {
        self.changes.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a change of the voters by its outcome.
    pub(super) fn count_voter_change(&self, outcome: &'static str) {
        self.voter_changes.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a change of the voters that is started.
    pub(super) fn count_voter_change_reason(&self, reason: &'static str) {
        let label = Reason { reason };
        self.voter_change_reasons.get_or_create(&label).inc();
    }

    /// Sets whether the voters outlast the loss that the site tolerates, as known by the leader.
    pub(super) fn set_voter_spread(&self, spread: Option<VoterSpread>) {
        let is_spread = spread == Some(VoterSpread::Spread);
        self.voters_spread.set(i64::from(is_spread));
    }

    /// Sets the number of open streams to other control VMs.
    pub(super) fn set_open_peers(&self, count: usize) {
        self.open_peers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
