//! Merges the demand that entries observe, and divides it among failure domains.
//!
//! Deterministic state machines without I/O or a clock of their own. See
//! `docs/design/capacity.md`.

mod collector;
mod demand;
mod fleet_demand;
mod priority;
mod settings;
mod shares;
mod water_filling;

pub use collector::{DemandCollector, ReporterId};
pub use demand::{ClassDemand, DomainDemand, ServiceDemand};
pub use fleet_demand::{DomainSlots, EntryView, FleetDemand};
pub use priority::Priority;
pub use settings::DemandSettings;
pub use shares::ServiceShares;
pub use water_filling::{DomainLoad, divide};
