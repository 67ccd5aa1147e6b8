//! Flows that wait at the entry until it may open another one. See
//! `docs/design/overload.md`.
//!
//! The queue holds what the decisions need of a flow; the caller keeps its first packet.

mod admission;
mod departure;
mod departure_rate;
mod estimate;
mod flow;
mod late_flow;
mod queue;
mod settings;
mod waiting_flows;

pub use admission::WaitingAdmission;
pub use departure::{Departure, DepartureReason};
pub use estimate::WaitEstimate;
pub use flow::WaitingFlow;
pub use late_flow::LateFlow;
pub use queue::WaitingQueue;
pub use settings::WaitingSettings;
pub use waiting_flows::WaitingFlows;
