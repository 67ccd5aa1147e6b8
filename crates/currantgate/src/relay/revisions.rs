//! How a relay takes accepted revisions of the site file.

use std::rc::Rc;

use super::services::Services;
use crate::revisions::Revisions;

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
