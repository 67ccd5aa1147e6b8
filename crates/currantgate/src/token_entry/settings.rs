//! Settings of a token entry.

use std::net::{SocketAddr, SocketAddrV4};

use currantgate_config::ControlKey;
use currantgate_placement::PlacementSettings;
use currantgate_registry::ViewSettings;
use currantgate_token::TokenSettings;
use currantgate_warmup::WarmupLimit;

/// Settings of a [`crate::TokenEntry`].
#[derive(Clone, Debug)]
pub struct TokenEntrySettings {
    /// Name of the VM in logs.
    pub name: Box<str>,
    /// Failure domain of the VM.
    pub domain: Box<str>,
    /// UDP address for packets of callers, who receive answers at the same port.
    pub packet_address: SocketAddrV4,
    /// Addresses of the control VMs to connect to at the start.
    pub seeds: Vec<SocketAddr>,
    /// Secret that authenticates messages of control VMs.
    pub key: ControlKey,
    /// Settings of the router.
    pub routing: TokenSettings,
    /// Settings of the placement of new flows.
    pub placement: PlacementSettings,
    /// Settings of the view of the upstreams that control VMs report.
    pub view: ViewSettings,
    /// Limit of the new flows of cold upstreams; `None` if there is none.
    pub warmup_limit: Option<WarmupLimit>,
    /// Whether entries share their demand, and divide it among failure domains.
    pub is_demand_shared: bool,
}
