//! What entries and relays do alike with accepted revisions.

use std::path::PathBuf;
use std::sync::Arc;

use currantgate_config::{ControlServers, Site};
use tokio::sync::watch;

use crate::{Accepted, ControlError, Subscription, SubscriptionSettings};

/// Accepted revisions, the newest one first known from disk.
pub(crate) type Revisions = watch::Receiver<Option<Arc<Accepted>>>;

/// Starts to follow the control VMs as `name`, if the settings name any.
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

/// Returns what is in force at the start: the newest revision that the VM's
/// disk holds, else the site file that the settings name.
pub(crate) fn site_at_start(revisions: Option<&Revisions>, site: &Site) -> Arc<Site> {
    let adopted = revisions.and_then(|r| r.borrow().clone());
    adopted.map_or_else(|| Arc::new(site.clone()), |a| Arc::clone(&a.site))
}
