//! Orders to evacuate a failure domain, and to end that.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The action of an [`EvacuationOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum EvacuationAction {
    /// The upstreams of the domain get no new flows.
    #[display("start")]
    Start,
    /// An earlier start no longer applies.
    #[display("finish")]
    Finish,
}

/// Longest name of a domain in bytes, as of a DNS name.
pub(super) const MAX_DOMAIN_BYTES: usize = 253;

/// Most evacuated domains for which another start is accepted. The whole state is sent on
/// each feed and kept in each snapshot.
pub(super) const MAX_EVACUATED_DOMAINS: usize = 1_024;

/// The limit that an order exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum OrderLimit {
    /// The name of the domain is too long.
    #[display("the name of a failure domain has at most {MAX_DOMAIN_BYTES} bytes")]
    DomainBytes,
    /// Too many domains are evacuated.
    #[display("at most {MAX_EVACUATED_DOMAINS} failure domains can be evacuated")]
    EvacuatedDomains,
}

/// An order to evacuate a failure domain, or to end that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The name of the domain.
    pub domain: Box<str>,
    /// The action.
    pub action: EvacuationAction,
}
