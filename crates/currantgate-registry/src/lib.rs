//! Registry of the upstreams that report to a control VM, and the view that entries
//! build from several registries.
//!
//! Upstreams report to any control VM, even one without a quorum. [`UpstreamRegistry`]
//! keeps the newest report of each upstream that one control VM has received. An entry
//! subscribes to all control VMs, and [`UpstreamView`] merges their records by the
//! version of the reports, so that it needs no quorum. See `docs/design/platform.md`.
//! [`EvacuationView`] keeps which failure domains are evacuated.

mod evacuations;
mod named_services;
mod record;
mod registry;
mod report;
mod settings;
mod view;
mod view_refresh;

pub use evacuations::{EvacuationChange, EvacuationUpdate, EvacuationView};
pub use named_services::NamedServices;
pub use record::Record;
pub use registry::{ChangeNumber, UpstreamRegistry};
pub use report::{Report, ReportVersion, UpstreamId, UpstreamState};
pub use settings::{RegistrySettings, ViewSettings};
pub use view::{Availability, Upstream, UpstreamView};
pub use view_refresh::ViewRefreshTimer;
