//! Settings of the window of open flows.

/// Settings of the window of open flows. See `docs/design/admission.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowWindowSettings {
    /// Size before any flow has ended, in flows.
    pub initial: f64,
    /// Smallest size, in flows. It keeps an entry with few flows from being limited by
    /// chance, and leaves room for requests that must run once.
    pub min: f64,
    /// Part of the window that must be in use for it to change.
    pub used_part: f64,
    /// Flows by which each flow in time increases the window.
    pub increase: f64,
    /// Flows by which a whole window of flows in time increases it further. It is the same
    /// for all entries, so that small windows catch up with large ones.
    pub even_increase: f64,
    /// Flows by which each late flow decreases the window.
    pub decrease: f64,
    /// Factor of the window for requests that must run once. It differs between entries
    /// by chance, and only a lack of slots may make an entry refuse such requests.
    pub run_once_factor: f64,
    /// Part of the window that may be open when a flow is placed that can't be answered
    /// within its latency target any more. The rest is for flows that can.
    pub late_part: f64,
}

impl Default for FlowWindowSettings {
    fn default() -> Self {
        Self {
            initial: 8.0,
            min: 4.0,
            used_part: 0.5,
            increase: 0.1,
            even_increase: 2.0,
            decrease: 0.2,
            run_once_factor: 2.0,
            late_part: 0.8,
        }
    }
}
