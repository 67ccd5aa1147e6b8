//! How an entry takes accepted revisions of the site file.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use currantgate_config::{EntrySettings, Site};
use tokio::sync::watch;

use super::daemon::Shared;
use crate::{Accepted, EntryError, Subscription, SubscriptionSettings};

/// Accepted revisions, the newest one first known from disk.
type Revisions = watch::Receiver<Option<Arc<Accepted>>>;

/// Starts to follow the control VMs, if the settings name any.
pub(super) fn subscribe(settings: &EntrySettings) -> Result<Option<Subscription>, EntryError> {
    let Some(control) = &settings.control else {
        return Ok(None);
    };
    let subscription = Subscription::start(&SubscriptionSettings {
        name: format!("entry-{}", settings.id).into(),
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
pub(super) async fn follow(shared: Rc<Shared>, mut revisions: Revisions) {
    loop {
        if let Some(accepted) = revisions.borrow_and_update().clone() {
            put_in_force(&shared, &accepted);
        }
        if revisions.changed().await.is_err() {
            return;
        }
    }
}

fn put_in_force(shared: &Shared, accepted: &Accepted) {
    let now = Instant::now();
    shared.core.borrow_mut().set_site(now, &accepted.site);
    shared.flush(now);
    shared
        .metrics
        .revision
        .set(i64::try_from(accepted.revision).unwrap_or(i64::MAX));
    log::info!("revision {} is in force", accepted.revision);
}
