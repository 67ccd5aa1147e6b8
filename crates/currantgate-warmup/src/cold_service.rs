//! The cold upstreams of a service, as an entry knows them.

use crate::UpstreamKey;

/// The cold upstreams of a service that get new flows only with a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdService {
    /// Name of the service.
    pub service: Box<str>,
    /// Most new flows that each of them may get in a second from all entries together.
    pub limit: u16,
    /// The upstreams.
    pub keys: Vec<UpstreamKey>,
}
