//! State of admission that operators see.

/// State of the admission of a service's new flows by this entry's own flows. See
/// `docs/design/admission.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionState {
    /// Number of flows that this entry may have open.
    pub flow_window: f64,
    /// Part of the new flows that prefer the own failure domain, from 0 to 1.
    pub domain_preference: f64,
}
