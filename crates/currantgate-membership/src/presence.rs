//! How sure the entries are that an upstream is there.

/// How sure the entries are that an upstream is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Its lease holds.
    Leased,
    /// Its lease has run out: it gets no new flows, its open ones stay.
    Expired,
    /// It has withdrawn or started anew: its open flows have ended.
    Gone,
}
