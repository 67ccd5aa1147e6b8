//! Demand that an entry observes of a service between two reports.

use std::mem;
use std::time::Duration;

use currantgate_capacity::ClassDemand;

use crate::{Priority, ServiceDemand};

/// Demand of a service since the last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandLog {
    classes: Vec<ClassDemand>,
    completions: f32,
    slot_ms: f32,
    /// Usable slots of the entry's domain at the last update.
    pub(crate) slots: f32,
}

impl DemandLog {
    /// Counts the arrival of a request.
    pub(crate) fn record_arrival(&mut self, priority: Priority) {
        match self.classes.iter_mut().find(|c| c.priority == priority) {
            Some(class) => class.arrivals += 1.0,
            None => self.classes.push(ClassDemand {
                priority,
                arrivals: 1.0,
            }),
        }
    }

    /// Counts a flow that was served.
    pub(crate) fn record_completion(&mut self, slot_time: Duration) {
        self.completions += 1.0;
        self.slot_ms += slot_time.as_secs_f32() * 1_000.0;
    }

    /// Returns and removes the demand since the last call, if there was any.
    pub(crate) fn take(&mut self, service: &str) -> Option<ServiceDemand> {
        let slots = self.slots;
        let log = mem::replace(
            self,
            Self {
                slots,
                ..Self::default()
            },
        );
        let is_empty = log.classes.is_empty() && log.completions <= 0.0;
        (!is_empty).then(|| ServiceDemand {
            service: service.into(),
            classes: log.classes,
            completions: log.completions,
            slot_ms: log.slot_ms,
            slots,
        })
    }
}
