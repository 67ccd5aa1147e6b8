//! Permits to place flows on cold upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which a permit may be used after the entry has sent its request: a round trip
/// to the leader and the time until the next flows arrive.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);

/// Time from the use of a permit until it no longer counts against the limit: the second
/// that the limit is for. The rest covers clocks that differ by 1 % and varying delays to
/// the upstream.
pub const USE_SPAN: Duration = Duration::from_millis(1_100);

/// Time from the grant of a permit until it no longer counts against the limit, if its use
/// is not known: it may have been used up to [`PERMIT_LIFETIME`] later.
pub const GRANT_SPAN: Duration = Duration::from_millis(1_350);

/// Identifies an upstream; all entries derive the same key of the same upstream.
pub type UpstreamKey = u32;

/// Number of a request, by which its answer is recognised. An entry never reuses one.
pub type RequestNumber = u32;

/// A request of an entry for permits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitsRequest {
    /// Number of the request.
    pub number: RequestNumber,
    /// Permits that the entry could use.
    pub wanted: Vec<PermitRequest>,
    /// Permits of earlier requests that are used or have expired.
    pub settled: Vec<SettledPermit>,
}

/// A request of an entry to place flows on the cold upstreams of one service.
///
/// It names several upstreams and one number of flows, because an entry can't place its
/// next flow on all of them, and unused permits are lost to other entries for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The cold upstreams, the preferred ones first.
    pub keys: Vec<UpstreamKey>,
    /// Most new flows that each of them may get in a second from all entries together.
    pub limit: u16,
    /// Number of flows that the entry expects to place on any of them.
    pub count: u8,
}

/// A permit to place flows on a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of flows.
    pub count: u8,
}

/// The use of a permit of which nothing is left to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledPermit {
    /// Number of the request that it was granted for.
    pub request: RequestNumber,
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of flows for which it was not used.
    pub unused: u8,
    /// Time from when the request was sent until the last use, in milliseconds.
    pub used_within_ms: u16,
}
