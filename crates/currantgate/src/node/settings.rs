//! Settings of a control node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use currantgate_config::ControlKey;

/// Settings of a [`crate::ControlNode`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM in logs.
    pub name: Box<str>,
    /// Failure domain of the VM.
    pub domain: Box<str>,
    /// Address at which control VMs and entries reach the node. The node may
    /// listen at another address if something forwards from this one.
    pub listen: SocketAddr,
    /// Addresses of the control VMs to connect to at the start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole site starts for the first time, so that the seeds are
    /// its first voters.
    pub is_new_site: bool,
    /// Directory of the VM's durable state.
    pub data: PathBuf,
    /// Number of control VMs that may fail at the same time.
    pub tolerated_failures: usize,
    /// Number of failure domains that may be lost at the same time.
    pub tolerated_domains: usize,
    /// Interval at which upstreams report.
    pub report_interval: Duration,
    /// Failure domains of the site, of which operators may evacuate any. When empty,
    /// all names are accepted.
    pub domains: Vec<Box<str>>,
    /// Secret that authenticates messages.
    pub key: ControlKey,
}

impl NodeSettings {
    /// Returns the least number of voters of which a majority outlasts the tolerated
    /// failures.
    pub(crate) fn min_voters(&self) -> usize {
        2 * self.tolerated_failures + 1
    }

    /// Returns whether this VM is one of the first voters of a new site.
    pub(crate) fn is_first_voter(&self) -> bool {
        self.is_new_site && self.seeds.contains(&self.listen)
    }
}
