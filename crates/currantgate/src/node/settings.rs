//! Settings of a control node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use currantgate_config::ControlKey;

/// Settings of a [`crate::ControlNode`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Names the VM in logs.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where control VMs and entries reach it. It may listen elsewhere, behind
    /// something that forwards.
    pub listen: SocketAddr,
    /// Where control VMs listen that are known from the start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole site starts for the first time, so that the seeds are
    /// its first voters.
    pub is_new_site: bool,
    /// The folder of the VM's durable state.
    pub data: PathBuf,
    /// How many control VMs may be lost at a time.
    pub tolerated_losses: usize,
    /// How often upstreams report.
    pub report_interval: Duration,
    /// The secret that messages are authenticated with.
    pub key: ControlKey,
}

impl NodeSettings {
    /// Returns how many voters bear the tolerated losses.
    pub(crate) fn voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Tells whether this VM is one of the first voters of a new site.
    pub(crate) fn is_first_voter(&self) -> bool {
        self.is_new_site && self.seeds.contains(&self.listen)
    }
}
