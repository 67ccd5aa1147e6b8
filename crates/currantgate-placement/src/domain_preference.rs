//! Preference of upstreams in the entry's own failure domain.

use crate::DomainPreferenceSettings;

/// Part of a service's new flows for which an entry prefers its own failure domain.
///
/// It answers the load in which the callers of one domain exceed its upstreams while
/// others are idle. An entry of a large fleet has few flows at each upstream, so that its
/// own load there does not show this; flows that are late do. See
/// `docs/design/admission.md`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainPreference {
    part: f64,
}

impl Default for DomainPreference {
    fn default() -> Self {
        Self { part: 1.0 }
    }
}

impl DomainPreference {
    /// Returns the part of the flows, from 0 to 1.
    pub(crate) fn part(self) -> f64 {
        self.part
    }

    /// Records a flow that has ended at an upstream of the own or another domain.
    pub(crate) fn record_end(
        &mut self,
        is_local: bool,
        is_late: bool,
        settings: &DomainPreferenceSettings,
    ) {
        let change = match (is_local, is_late) {
            (true, true) => -settings.late_step,
            (false, true) => settings.late_step,
            (true, false) => settings.recovery_step,
            (false, false) => 0.0,
        };
        self.part = (self.part + change).clamp(0.0, 1.0);
    }
}
