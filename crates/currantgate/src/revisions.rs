//! Subscription of entries and relays to the accepted revisions of the
//! configuration.

use std::path::PathBuf;
use std::sync::Arc;

use currantgate_config::{ControlServers, Site};
use tokio::sync::watch;

use crate::{AcceptedRevision, ControlError, Subscription, SubscriptionSettings};

/// Receiver of accepted revisions. The first value is the newest revision on
/// disk, if there is one.
pub(crate) type Revisions = watch::Receiver<Option<Arc<AcceptedRevision>>>;

/// Subscribes to the control VMs as `name`; returns `None` if the settings list
/// no control VMs.
pub(crate) fn subscribe(
    name: String,
    control: Option<&ControlServers>,
    data: Option<&PathBuf>,
) -> Result<Option<Subscription>, ControlError> {
    let Some(control) = control else {
        return Ok(None);
    };
    let subscription = Subscription::start(&SubscriptionSettings {
        name: name.into(),
        control: control.clone(),
        data: data.cloned(),
    })?;
    Ok(Some(subscription))
}

/// Returns the site to start with: that of the newest revision on the VM's disk,
/// else the site file named by the settings.
pub(crate) fn initial_site(revisions: Option<&Revisions>, site: &Site) -> Arc<Site> {
    let accepted = revisions.and_then(|r| r.borrow().clone());
    accepted.map_or_else(|| Arc::new(site.clone()), |a| Arc::clone(&a.site))
}
