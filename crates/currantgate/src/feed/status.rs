//! The status of the fleet that a control VM reports to operators.

use currantgate_control::Revision;
use currantgate_registry::{ReportVersion, UpstreamId};
use serde::{Deserialize, Serialize};

/// The listeners and upstreams of a control VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Entries and control VMs that receive a feed from this VM, sorted by name.
    pub listeners: Vec<ListenerStatus>,
    /// Numbers of upstreams of each service, by the reports that this VM receives.
    pub services: Vec<ServiceStatus>,
}

/// An entry or a control VM that receives a feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerStatus {
    /// Name of the VM.
    pub name: Box<str>,
    /// Failure domain of the VM.
    pub domain: Box<str>,
    /// Whether it is a control VM.
    pub is_control: bool,
    /// Revision that the VM held at its last message.
    pub revision: Revision,
    /// Time since the VM's last message, in milliseconds. The VM's view of the
    /// upstreams that report here is older by at most the network latency.
    pub heard_ms_ago: u64,
    /// Number of changes of upstreams that the VM has not been sent yet.
    pub upstream_changes_behind: u64,
}

/// The upstreams of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of upstreams that take new flows and report here.
    pub ready: u32,
    /// Number of upstreams that only finish the flows they have.
    pub draining: u32,
    /// Number of upstreams that have stopped reporting here.
    pub silent: u32,
}

/// The evacuations that a control VM publishes to its listeners.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Log index of the last order; 0 if there was none.
    pub revision: u64,
    /// The evacuated failure domains.
    pub evacuated: Vec<EvacuatedDomain>,
    /// The domains whose evacuation has ended within the last minute.
    pub returned: Vec<EvacuatedDomain>,
    /// The listeners of this VM, sorted by name.
    pub listeners: Vec<EvacuationListener>,
    /// Slots of the upstreams that report here. One that has changed the control VM to which
    /// it reports may be listed by both for a short time.
    pub slots: Vec<UpstreamSlots>,
    /// Load of the callers whose demand is merged here; empty where entries report none.
    pub load: Vec<ServiceLoad>,
}

/// Slots of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSlots {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Version of its newest report.
    pub version: ReportVersion,
    /// Name of its service.
    pub service: Box<str>,
    /// Name of its failure domain.
    pub domain: Box<str>,
    /// Number of slots for new flows; 0 if it takes none.
    pub slots: u32,
}

/// Load of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Box<str>,
    /// Average number of slots that its flows occupy.
    pub busy_slots: f32,
}

/// A failure domain that is evacuated, or was a short time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomain {
    /// Name of the domain.
    pub domain: Box<str>,
    /// Time since the control VM learned of the start or end, in milliseconds; nothing if
    /// that was before the VM's own start.
    pub since_ms: Option<u64>,
}

/// What a listener holds of the evacuations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationListener {
    /// Name of the VM.
    pub name: Box<str>,
    /// Whether it is a control VM.
    pub is_control: bool,
    /// Revision of the evacuations that the VM has confirmed to this one; 0 if none.
    pub revision: u64,
}
