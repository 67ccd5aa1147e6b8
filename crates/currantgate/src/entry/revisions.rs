//! How an entry takes accepted revisions of the site file.

use std::rc::Rc;
use std::time::Instant;

use super::daemon::Shared;
use crate::AcceptedRevision;
use crate::revisions::Revisions;

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

fn put_in_force(shared: &Shared, accepted: &AcceptedRevision) {
    let now = Instant::now();
    shared.core.borrow_mut().set_site(now, &accepted.site);
    shared.flush(now);
    shared
        .metrics
        .revision
        .set(i64::try_from(accepted.revision).unwrap_or(i64::MAX));
    log::info!("revision {} is in force", accepted.revision);
}
