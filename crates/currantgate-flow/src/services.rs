//! Applies a new revision of the site's services.

use std::time::{Duration, Instant};

use currantgate_config::Service;

use crate::router::Router;
use crate::table::Table;

impl Router {
    /// Sets the services to those of a new revision of the site file, as a
    /// whole.
    ///
    /// Buckets and flows of services that remain are kept. A removed service is
    /// no longer reachable; its table is kept, so that a later revision that
    /// restores the service finds the versions that other entries still have.
    pub fn set_services(&mut self, now: Instant, services: Vec<Service>) {
        self.services.clear();
        for service in &services {
            let t = self.table_for(service);
            let address = (service.protocol, service.address);
            self.services.insert(address, t);
        }
        self.settings.services = services;
        self.clear_unreachable();
        self.choose_replicas(now);
        self.plan_at = now;
    }

    /// Returns the index of the table of `service`, which is created if
    /// missing.
    fn table_for(&mut self, service: &Service) -> usize {
        let id = service.id();
        if let Some(t) = self.tables.iter().position(|table| table.id == id) {
            let table = &mut self.tables[t];
            table.idle = Duration::from_secs(service.limits.idle_seconds);
            table.service = service.clone();
            return t;
        }
        let buckets = self.settings.buckets.clamp(1, 1 << 16);
        self.tables.push(Table::new(service.clone(), buckets));
        self.tables.len() - 1
    }

    /// Removes the flows of services that are no longer reachable.
    fn clear_unreachable(&mut self) {
        for (t, table) in self.tables.iter_mut().enumerate() {
            if self.services.values().any(|reached| *reached == t) {
                continue;
            }
            for bucket in &mut table.buckets {
                bucket.flows.clear();
            }
            table.flows = 0;
        }
    }
}
