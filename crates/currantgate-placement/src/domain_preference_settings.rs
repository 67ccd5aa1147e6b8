//! Settings of the preference of the own failure domain.

/// Settings of the preference of the own failure domain. See `docs/design/admission.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPreferenceSettings {
    /// Whether the preference follows late flows. If not, all flows prefer the own domain.
    pub is_adaptive: bool,
    /// Part of new flows by which each late flow changes the preference: away from the
    /// own domain if it was there, and back if it was in another one.
    pub late_step: f64,
    /// Part of new flows by which each flow in time in the own domain restores it. With four
    /// fifths of `late_step` the preference lasts while less than four in nine flows are
    /// late, which holds under a high load that is the same in all domains.
    pub recovery_step: f64,
}

impl Default for DomainPreferenceSettings {
    fn default() -> Self {
        Self {
            is_adaptive: true,
            late_step: 0.05,
            recovery_step: 0.04,
        }
    }
}
