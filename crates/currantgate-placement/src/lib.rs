//! Chooses an upstream for each new flow of a service.
//!
//! [`Placement`] is a deterministic state machine without I/O or a clock of its own.
//! Its inputs are the upstreams' reports and the flows of this entry: when each one
//! begins, is answered and ends. The load of an upstream is derived from these flows
//! alone. See `docs/design/placement.md`.

mod admission;
mod admission_settings;
mod admission_state;
mod arrival_history;
mod candidate;
mod demand_log;
mod domain;
mod domain_preference;
mod domain_preference_settings;
mod ended_flow;
mod flow_window;
mod flow_window_settings;
mod permits;
mod placement;
mod recent_durations;
mod recent_priorities;
mod refusal;
mod request;
mod reservation;
mod service;
mod settings;
mod share_admission;
mod sharing;
mod sharing_settings;
mod sliding_window;
mod slowness;
mod suspicion;
mod suspicion_change;
mod target;
mod waiting;

pub use admission_settings::AdmissionSettings;
pub use admission_state::AdmissionState;
pub use currantgate_capacity::{
    DemandSettings, DomainDemand, Priority, ServiceDemand, ServiceShares,
};
pub use domain_preference_settings::DomainPreferenceSettings;
pub use flow_window_settings::FlowWindowSettings;
pub use placement::Placement;
pub use refusal::{Overload, Refusal};
pub use request::PlacementRequest;
pub use settings::PlacementSettings;
pub use sharing_settings::SharingSettings;
pub use suspicion_change::{Suspect, SuspicionChange};
pub use target::{Placed, Target, TargetKey};
pub use waiting::{
    Departure, DepartureReason, LateFlow, WaitEstimate, WaitingAdmission, WaitingFlow,
    WaitingFlows, WaitingQueue, WaitingSettings,
};
