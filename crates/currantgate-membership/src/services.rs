//! Changes to the site's services.

use currantgate_config::Service;

use crate::held_record::HeldRecord;
use crate::members::Members;

impl Members {
    /// Replaces all services with those of a new revision of the site file.
    ///
    /// Upstreams of a removed service are removed; they may announce themselves again
    /// once a later revision has the service.
    pub fn set_services(&mut self, services: Vec<Service>) {
        self.settings.services = services;
        let settings = &self.settings;
        let is_removed = |h: &HeldRecord| settings.service(h.record.upstream.service).is_none();
        for key in self.table.keys_where(is_removed) {
            if let Some(held) = self.table.get(key) {
                self.liveness.clear_digest(held.record.owner);
            }
            self.table.remove(key);
            self.changes.upstreams = true;
        }
    }
}
