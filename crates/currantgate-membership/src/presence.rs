//! Presence of upstreams.

/// Presence of an upstream, which decides about its new and open flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Its lease is valid.
    Leased,
    /// Its lease has expired: it gets no new flows and keeps its open ones.
    Expired,
    /// It has withdrawn, restarted or lost its address: its open flows have ended.
    Gone,
}
