//! Detection of an entry at its own limit.
//!
//! [`CapacityLimit`] learns from the entry's reads and sends whether its processor or its
//! link is the bottleneck, and then paces new flows. See `docs/design/capacity.md`.

mod admission;
mod admission_rate;
mod admitted_rate;
mod cause;
mod detector;
mod dropped_flows;
mod limit_change;
mod receive_queue;
mod reset_budget;
mod settings;

pub use admission::LimitAdmission;
pub use cause::LimitCause;
pub use detector::CapacityLimit;
pub use limit_change::LimitChange;
pub use settings::CapacityLimitSettings;
