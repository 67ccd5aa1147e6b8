//! How a relay takes accepted revisions of the site file.

use std::rc::Rc;
use std::sync::Arc;

use currantgate_config::{RelaySettings, Site};
use tokio::sync::watch;

use super::services::Services;
use crate::{Accepted, RelayError, Subscription, SubscriptionSettings};

/// Accepted revisions, the newest one first known from disk.
type Revisions = watch::Receiver<Option<Arc<Accepted>>>;

/// Starts to follow the control VMs, if the settings name any.
pub(super) fn subscribe(settings: &RelaySettings) -> Result<Option<Subscription>, RelayError> {
    let Some(control) = &settings.control else {
        return Ok(None);
    };
    let subscription = Subscription::start(&SubscriptionSettings {
        name: format!("relay-{}", settings.listen.announce).into(),
        control: control.clone(),
        data: settings.data.clone(),
    })?;
    Ok(Some(subscription))
}

/// Returns what is in force at the start: the newest revision that the VM's
/// disk holds, else the site file that the settings name.
pub(super) fn site_at_start(revisions: Option<&Revisions>, site: &Site) -> Arc<Site> {
    let adopted = revisions.and_then(|r| r.borrow().clone());
    adopted.map_or_else(|| Arc::new(site.clone()), |a| Arc::clone(&a.site))
}

/// Puts each newer revision in force.
pub(super) async fn follow(services: Rc<Services>, mut revisions: Revisions) {
    loop {
        let accepted = revisions.borrow_and_update().clone();
        if let Some(accepted) = accepted {
            services.put_in_force(&accepted).await;
        }
        if revisions.changed().await.is_err() {
            return;
        }
    }
}
