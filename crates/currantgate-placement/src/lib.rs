//! Chooses an upstream for each new flow of a service.
//!
//! [`Placement`] is a deterministic state machine without I/O or a clock of its own.
//! Its inputs are the upstreams' reports and the flows of this entry: when each one
//! begins, is answered and ends. The load of an upstream is derived from these flows
//! alone. See `docs/design/placement.md`.

mod admission;
mod admission_settings;
mod candidate;
mod domain;
mod placement;
mod recent_durations;
mod refusal;
mod request;
mod service;
mod settings;
mod sliding_window;
mod slowness;
mod stub;
mod suspicion;
mod suspicion_change;
mod target;

pub use admission_settings::AdmissionSettings;
pub use currantgate_capacity::{DemandSettings, Priority, ServiceShares};
pub use placement::Placement;
pub use refusal::{Overload, Refusal};
pub use request::PlacementRequest;
pub use settings::PlacementSettings;
pub use suspicion_change::{Suspect, SuspicionChange};
pub use target::{Placed, Target, TargetKey};
