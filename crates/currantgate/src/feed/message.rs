//! Messages of a feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use currantgate_capacity::ServiceDemand;
use currantgate_control::{Revision, RevisionId, VoterId};
use currantgate_observation::{Observation, SlowUpstream, UnansweredPackets};
use currantgate_registry::{EvacuationUpdate, Record};
use currantgate_warmup::{Permit, PermitsRequest, RequestNumber};
use serde::{Deserialize, Serialize};

use super::evacuated_flows::EvacuatedFlows;

/// The path of feeds.
pub(crate) const FEED_PATH: &str = "/v1/feed";

/// The first message of a listener, which identifies it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FeedHello {
    /// Name of the listener in logs.
    pub(crate) name: Box<str>,
    /// Failure domain of the listener.
    pub(crate) domain: Box<str>,
    /// Id and address of a control VM; `None` for an entry.
    pub(crate) control: Option<(VoterId, SocketAddr)>,
}

/// A later message of a listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FeedRequest {
    /// Keeps the feed open.
    Heartbeat {
        /// Revision that the listener holds.
        revision: Revision,
    },
    /// Requests an update to the newest change.
    Update {
        /// Lowest revision of the change that is requested.
        min_revision: Revision,
        /// Revision that the listener holds, from which the update may be made.
        base: RevisionId,
    },
    /// Keeps the feed open, and reports what the entry has observed of upstreams. The
    /// control VM answers with [`FeedMessage::SlowUpstreams`].
    Observations {
        /// Revision that the listener holds.
        revision: Revision,
        /// Flows that have ended since the last report.
        observations: Vec<Observation>,
    },
    /// Requests permits for cold upstreams. The control VM answers with
    /// [`FeedMessage::WarmupPermits`].
    WarmupPermits {
        /// Revision that the listener holds.
        revision: Revision,
        /// The request, whose number the answer repeats.
        request: PermitsRequest,
    },
    /// Reports the demand of the entry's callers to the control VM that merges it.
    Demand {
        /// Revision that the listener holds.
        revision: Revision,
        /// Period that the report covers in milliseconds: longer than the interval of
        /// reports after one that could not be sent.
        period_ms: u16,
        /// Demand in that period.
        demand: Vec<ServiceDemand>,
    },
    /// Reports the evacuations that the listener holds: when the feed opens, and in answer to
    /// [`FeedMessage::Evacuations`]. Not sent before the listener has received that once.
    Evacuations {
        /// Revision that the listener holds.
        revision: Revision,
        /// Highest revision of the evacuations that the listener has received.
        evacuations: u64,
        /// Whether the listener has had a feed from a VM in contact with a quorum.
        had_quorum: bool,
    },
    /// Reports the open flows of an entry in evacuated domains. Sent only while the entry
    /// holds evacuations, as control VMs of earlier builds close the feed on it.
    EvacuatedFlows {
        /// Revision that the listener holds.
        revision: Revision,
        /// The open flows, which replace those of the last report.
        flows: EvacuatedFlows,
    },
    /// Reports first packets that were not answered, soon after it is noticed. Sent only by
    /// entries that share their demand.
    Unanswered {
        /// Revision that the listener holds.
        revision: Revision,
        /// The upstreams that did not answer.
        upstreams: Vec<UnansweredPackets>,
    },
}

impl FeedRequest {
    /// Returns the revision that the listener holds.
    pub(crate) fn held_revision(&self) -> Revision {
        match self {
            Self::Heartbeat { revision }
            | Self::Observations { revision, .. }
            | Self::WarmupPermits { revision, .. }
            | Self::Demand { revision, .. }
            | Self::Evacuations { revision, .. }
            | Self::EvacuatedFlows { revision, .. }
            | Self::Unanswered { revision, .. } => *revision,
            Self::Update { base, .. } => base.revision,
        }
    }
}

/// The current state of a control VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Newest committed revision that the VM holds.
    pub(crate) revision: Revision,
    /// Whether the VM is in contact with a quorum, so that no other revision has
    /// been in force for long.
    pub(crate) is_in_quorum: bool,
    /// Address at which the leader listens, if the leader is known.
    pub(crate) leader: Option<SocketAddr>,
    /// Addresses of this and of other live control VMs.
    pub(crate) controls: Vec<SocketAddr>,
}

/// A message of a control VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum FeedMessage {
    /// The VM's current state, sent on each change and at a regular interval.
    Heartbeat(Heartbeat),
    /// Upstreams whose records have changed since the last such message. All
    /// upstreams are sent when the feed opens.
    Upstreams(Vec<Record>),
    /// A requested update, as [`currantgate_control::Update::pack`] returns it.
    Update(Arc<[u8]>),
    /// Changes of which upstreams are slow by what entries have observed, for those that
    /// report observations; for all entries if demand is reported to the control VM. The
    /// first such message on a feed lists all.
    SlowUpstreams(Vec<SlowUpstream>),
    /// The evacuated failure domains, whole. Sent when the feed opens and on each
    /// change, once an order was accepted.
    Evacuations(EvacuationState),
    /// Permits for cold upstreams, as requested.
    WarmupPermits {
        /// Number of the request.
        request: RequestNumber,
        /// Time to wait before the next request, in milliseconds.
        pace_ms: u16,
        /// Permits that are granted.
        permits: Vec<Permit>,
    },
    /// Demand of a failure domain whose reports are merged at this control VM.
    Demand {
        /// Time since the reports were merged when the message is sent, in milliseconds.
        age_ms: u16,
        /// Position of the receiver among the entries of the domain that report demand;
        /// nothing at entries of other domains.
        position: Option<u16>,
        /// Demand of the domain, a [`currantgate_capacity::DomainDemand`] encoded once for all feeds.
        encoded: Arc<[u8]>,
    },
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuationState {
    /// Log index of the last order. A receiver ignores a lower one than it holds.
    pub(crate) revision: u64,
    /// Domains whose upstreams get no new flows.
    pub(crate) evacuated: Vec<Box<str>>,
    /// Domains whose evacuation has ended a short time ago.
    pub(crate) returned: Vec<ReturnedDomain>,
}

impl EvacuationState {
    /// Returns the state as input of an [`EvacuationView`].
    ///
    /// [`EvacuationView`]: currantgate_registry::EvacuationView
    pub(crate) fn into_update(self) -> EvacuationUpdate {
        let returned = self.returned.into_iter();
        let returned = returned.map(|r| (r.domain, Duration::from_millis(r.ms_ago.into())));
        EvacuationUpdate {
            revision: self.revision,
            evacuated: self.evacuated,
            returned: returned.collect(),
        }
    }
}

/// A failure domain whose evacuation has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReturnedDomain {
    /// Name of the domain.
    pub(crate) domain: Box<str>,
    /// Time since the control VM learned of the end, in milliseconds.
    pub(crate) ms_ago: u32,
}
