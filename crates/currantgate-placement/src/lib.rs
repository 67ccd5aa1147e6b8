//! Where a new flow goes: which upstream of a service takes it.
//!
//! [`Placement`] is a deterministic state machine. It knows the upstreams by
//! what they report, and their load by the flows that this entry has open
//! there: it sees each flow begin, be answered and end. See
//! `docs/design/placement.md`.

mod candidate;
mod domain;
mod placement;
mod refusal;
mod settings;
mod suspicion;
mod target;

pub use placement::Placement;
pub use refusal::Refusal;
pub use settings::PlacementSettings;
pub use target::{Key, Placed, Target};
