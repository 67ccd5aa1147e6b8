//! What a control VM tells operators of the fleet that listens to it.

use currantgate_control::Revision;
use serde::{Deserialize, Serialize};

/// What a control VM knows of entries, other control VMs and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Who holds a feed of this VM, by name.
    pub listeners: Vec<ListenerStatus>,
    /// How many upstreams each service has, by what this VM hears of them.
    pub services: Vec<ServiceStatus>,
}

/// An entry or a control VM that holds a feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenerStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Whether it is a control VM.
    pub is_control: bool,
    /// The revision that it held when it was last heard.
    pub revision: Revision,
    /// How long ago it was last heard, in milliseconds: its view of this VM's
    /// upstreams is older than that by the way at most.
    pub heard_ms_ago: u64,
    /// Changes of upstreams that it has not been sent yet.
    pub upstream_changes_behind: u64,
}

/// The upstreams of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub name: Box<str>,
    /// Upstreams that take new flows and whose reports come here.
    pub ready: u32,
    /// Upstreams that finish the flows they have.
    pub draining: u32,
    /// Upstreams whose reports don't come here any more.
    pub silent: u32,
}
