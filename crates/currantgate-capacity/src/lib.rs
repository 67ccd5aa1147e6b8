//! Merges the demand that entries observe, and divides it among failure domains.
//!
//! Deterministic state machines without I/O or a clock of their own. See
//! `docs/design/capacity.md`.

mod demand;
mod priority;
mod shares;
mod stub;

pub use demand::{ClassDemand, DomainDemand, ServiceDemand};
pub use priority::Priority;
pub use shares::ServiceShares;
pub use stub::{CollectorSettings, DemandCollector, DemandSettings};
