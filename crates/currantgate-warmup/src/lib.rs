//! Limits the new flows that cold upstreams get from all entries together.
//!
//! Deterministic state machines without I/O or a clock of their own. See
//! `docs/design/warm-up.md`.

mod limit;
mod permit;

pub use limit::WarmupLimit;
pub use permit::{Permit, PermitRequest, UpstreamKey};
