//! Records of upstreams, which control VMs send to entries.

use serde::{Deserialize, Serialize};

use crate::Report;

/// The newest report of an upstream at one control VM, and whether its reports are
/// overdue there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The newest report.
    pub report: Report,
    /// Whether reports to this control VM are overdue. The upstream may report to another
    /// one by now.
    pub is_silent: bool,
}
