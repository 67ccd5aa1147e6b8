//! What an entry remembers of one flow.

use std::time::Instant;

use currantgate_config::UpstreamId;

/// What an entry remembers of one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// The upstream that the flow belongs to.
    pub(crate) upstream: UpstreamId,
    /// The instant at which the record is let go unless a packet passes.
    pub(crate) deadline: Instant,
}
