//! Application of accepted revisions of the site file to an entry.

use std::rc::Rc;
use std::time::Instant;

use super::daemon::Shared;
use crate::AcceptedRevision;
use crate::revisions::Revisions;

/// Applies the newest revision and each later one until the subscription ends.
pub(super) async fn apply_revisions(shared: Rc<Shared>, mut revisions: Revisions) {
    loop {
        if let Some(accepted) = revisions.borrow_and_update().clone() {
            apply(&shared, &accepted);
        }
        if revisions.changed().await.is_err() {
            return;
        }
    }
}

fn apply(shared: &Shared, accepted: &AcceptedRevision) {
    let now = Instant::now();
    shared.core.borrow_mut().set_site(now, &accepted.site);
    shared.flush(now);
    shared
        .metrics
        .revision
        .set(i64::try_from(accepted.revision).unwrap_or(i64::MAX));
    log::info!("applied revision {}", accepted.revision);
}
