//! Settings of a token entry.

use std::net::{SocketAddr, SocketAddrV4};

use currantgate_config::ControlKey;
use currantgate_placement::PlacementSettings;
use currantgate_registry::ViewSettings;
use currantgate_token::TokenSettings;

/// Settings of a [`crate::TokenEntry`].
#[derive(Clone, Debug)]
pub struct TokenEntrySettings {
    /// Names the VM in logs.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// UDP address for packets of callers, who receive answers at the same port.
    pub packet_address: SocketAddrV4,
    /// Where control VMs listen that are known from the start.
    pub seeds: Vec<SocketAddr>,
    /// The secret that messages of control VMs are authenticated with.
    pub key: ControlKey,
    /// How flows are routed.
    pub routing: TokenSettings,
    /// How new flows are placed.
    pub placement: PlacementSettings,
    /// How long what control VMs tell is good.
    pub view: ViewSettings,
}
