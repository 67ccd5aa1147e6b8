//! Upstreams that report themselves to control VMs, and the view that entries
//! build of them.
//!
//! Any control VM takes an upstream's report, in contact with the others or
//! not: [`UpstreamRegistry`] keeps the newest of each upstream that came to this VM.
//! An entry listens to all control VMs; [`UpstreamView`] merges what they say by the
//! upstreams' own order, so that it needs no quorum. See
//! `docs/design/platform.md`.

mod record;
mod registry;
mod report;
mod settings;
mod view;
mod view_refresh;

pub use record::Record;
pub use registry::{ChangeNumber, UpstreamRegistry};
pub use report::{Report, ReportVersion, UpstreamId, UpstreamState};
pub use settings::{RegistrySettings, ViewSettings};
pub use view::{Availability, Upstream, UpstreamView};
pub use view_refresh::ViewRefreshTimer;
