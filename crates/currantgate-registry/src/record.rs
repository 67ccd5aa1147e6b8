//! What a control VM tells entries of one upstream.

use serde::{Deserialize, Serialize};

use crate::Report;

/// The newest report of an upstream at one control VM, and whether reports
/// still come there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The newest report.
    pub report: Report,
    /// Whether no report came to this control VM for longer than expected; the
    /// upstream may have turned to another one.
    pub is_silent: bool,
}
