//! Limits the new flows that cold upstreams get from all entries together.
//!
//! A [`PermitIssuer`] at the control VM that holds the leader's lease grants permits, each
//! for one flow, to the [`PermitHolder`] of each entry. Both are deterministic state
//! machines without I/O or a clock of their own. See `docs/design/warm-up.md`.

mod cold_service;
mod flow_rate;
mod holder;
mod issuer;
mod limit;
mod permit;
mod suspension;

pub use cold_service::ColdService;
pub use holder::PermitHolder;
pub use issuer::{PermitIssuer, PermitsAnswer, RequesterId};
pub use limit::WarmupLimit;
pub use permit::{
    GRANT_SPAN, PERMIT_LIFETIME, Permit, PermitRequest, PermitsRequest, RequestNumber,
    SettledPermit, USE_SPAN, UpstreamKey,
};
pub use suspension::{ClockReading, SuspensionDetector};
