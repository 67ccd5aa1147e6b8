//! Application of accepted revisions of the site file to a relay.

use std::rc::Rc;

use super::services::Services;
use crate::revisions::Revisions;

/// Applies the newest revision and each later one until the subscription ends.
pub(super) async fn apply_revisions(services: Rc<Services>, mut revisions: Revisions) {
    loop {
        let accepted = revisions.borrow_and_update().clone();
        if let Some(accepted) = accepted {
            services.apply(&accepted).await;
        }
        if revisions.changed().await.is_err() {
            return;
        }
    }
}
