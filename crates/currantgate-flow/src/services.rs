//! Takes a new revision of the site's services.

use std::time::{Duration, Instant};

use currantgate_config::Service;

use crate::router::Router;
use crate::table::Table;

impl Router {
    /// Takes the services of a new revision of the site file, as a whole.
    ///
    /// Buckets and flows of services that stay are kept. A service that is
    /// left out is reached no more; its table stays, so that a later revision
    /// that has it again finds the versions that other entries remember.
    pub fn set_services(&mut self, now: Instant, services: Vec<Service>) {
        self.services.clear();
        for service in &services {
            let t = self.table_for(service);
            let address = (service.protocol, service.address);
            self.services.insert(address, t);
        }
        self.settings.services = services;
        self.drop_unreachable();
        self.choose_replicas(now);
        self.plan_at = now;
    }

    /// Returns the table of `service`, which is a new one if there was none.
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

    /// Lets go of what is remembered of flows that can't be reached.
    fn drop_unreachable(&mut self) {
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
