//! Where a new flow goes: which upstream of a service takes it.
//!
//! [`Placement`] is a deterministic state machine. It knows the upstreams by
//! what they report, and their load by the flows that this entry has open
//! there: it sees each flow begin, be answered and end. See
//! `docs/design/placement.md`.

mod admission;
mod admission_settings;
mod candidate;
mod domain;
mod placement;

mod refusal;
mod request;
mod service;
mod settings;
mod sliding_window;
mod slowness;
mod suspicion;
mod suspicion_change;
mod target;

pub use admission_settings::AdmissionSettings;
pub use placement::Placement;
pub use refusal::{Overload, Refusal};
pub use request::{PlacementRequest, Priority};
pub use settings::PlacementSettings;
pub use suspicion_change::{Suspect, SuspicionChange};
pub use target::{Placed, Target, TargetKey};
