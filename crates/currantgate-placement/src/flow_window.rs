//! Window of open flows that follows how long flows take.

use crate::FlowWindowSettings;

/// Number of flows that this entry may have open at a service.
///
/// It answers the load in which callers ask for more than upstreams can do: queues there
/// fill within a tenth of a second, before any statistics show it. Each flow that ends
/// moves the window, as in congestion control, until a fixed part of the flows is late. This
/// depends neither on the number of entries nor on their shares of the demand. See
/// `docs/design/admission.md`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowWindow {
    /// Current size; nothing before the first change.
    size: Option<f64>,
}

impl FlowWindow {
    /// Returns the number of flows that may be open.
    pub(crate) fn size(self, settings: &FlowWindowSettings) -> f64 {
        self.size.unwrap_or(settings.initial)
    }

    /// Tells whether so few flows may be open that they hardly wait for each other.
    pub(crate) fn is_minimal(self, settings: &FlowWindowSettings) -> bool {
        self.size(settings) <= settings.min
    }

    /// Records a flow that has ended while `open` flows were open, itself included.
    ///
    /// A window of which only a part is used neither causes late flows nor prevents them,
    /// and stays as it is.
    pub(crate) fn record_end(&mut self, open: u32, is_late: bool, settings: &FlowWindowSettings) {
        let size = self.size(settings);
        if f64::from(open) < settings.used_part * size {
            return;
        }
        let size = if is_late {
            size - settings.decrease
        } else {
            size + settings.increase + settings.even_increase / size
        };
        self.size = Some(size.max(settings.min));
    }
}
