//! The shared figures behind the decision about one flow.

use currantgate_placement::Priority;

/// The shared figures behind the decision about one flow, for its log line. All are
/// absent where entries don't share their demand; those of shares are absent, too, when
/// the entry decided by its own flows alone.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandFigures {
    /// Service of the flow.
    pub(super) service: Option<Box<str>>,
    /// Priority of the flow.
    pub(super) priority: Option<Priority>,
    /// Failure domain of the upstream that was chosen.
    pub(super) domain: Option<Box<str>>,
    /// Part of the entry's new flows for that domain.
    pub(super) weight: Option<f64>,
    /// Part of the class's new flows that the fleet has slots for.
    pub(super) admitted: Option<f64>,
    /// Part of the fleet's demand that arrives at the entry.
    pub(super) own_share: Option<f64>,
    /// Flows a second that the fleet's upstreams can complete.
    pub(super) fleet_capacity: Option<f64>,
    /// Age of the oldest figure in the view of demand.
    pub(super) age_ms: Option<u64>,
}
