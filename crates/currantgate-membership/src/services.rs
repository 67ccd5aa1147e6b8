//! Takes a new revision of the site's services.

use currantgate_config::Service;

use crate::members::Members;

impl Members {
    /// Takes the services of a new revision of the site file, as a whole.
    ///
    /// Upstreams of a service that is left out can't renew their leases any
    /// more, so they run out by themselves.
    pub fn set_services(&mut self, services: Vec<Service>) {
        self.settings.services = services;
    }
}
