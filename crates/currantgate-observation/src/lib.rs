//! Merges what entries observe of upstreams, so that each avoids those that many
//! find slow.
//!
//! With hundreds of entries, each sees an upstream only once in many seconds, and
//! can't tell a slow one by its own flows. Entries count their flows in an
//! [`ObservationLog`], and send the sums to one control VM, which merges them in
//! [`FleetObservations`] and answers with the upstreams that are slow. Where entries share
//! their demand, they report unanswered first packets soon ([`UnansweredLog`]) and merge
//! the lists of several control VMs ([`SlownessView`]). All are deterministic state
//! machines without I/O or a clock of their own. See
//! `docs/design/placement.md#what-other-entries-observe`.

mod collector;
mod fleet;
mod observation;
mod observation_log;
mod settings;
mod slowness_view;
mod threshold;
mod unanswered_log;
mod upstream_record;

pub use collector::choose_collector;
pub use fleet::{FleetObservations, ReporterId, reporter_id};
pub use observation::{NORMAL_SLOWNESS, Observation, SlowUpstream, UpstreamKey, slowness_changes};
pub use observation_log::ObservationLog;
pub use settings::FleetSettings;
pub use slowness_view::SlownessView;
pub use unanswered_log::{UnansweredLog, UnansweredPackets};
