//! Chooses the primary and backup of a bucket.

use currantgate_config::{Domain, EntryId};
use indexmap::IndexMap;

use crate::rendezvous;

/// Returns the primary and the backup of a bucket.
///
/// The backup is in another failure domain if there is one, so that the
/// primary's decisions survive the loss of its domain.
pub(crate) fn choose(
    key: u64,
    candidates: &[EntryId],
    domains: &IndexMap<EntryId, Domain>,
) -> (Option<EntryId>, Option<EntryId>) {
    let weight = |id: &EntryId| rendezvous::weight(key, u64::from(*id));
    let Some(primary) = candidates.iter().copied().max_by_key(weight) else {
        return (None, None);
    };
    let others = candidates.iter().copied().filter(|id| *id != primary);
    let in_other_domain = |id: EntryId| domains.get(&id) != domains.get(&primary);
    let backup = others.max_by_key(|id| (in_other_domain(*id), weight(id)));
    (Some(primary), backup)
}
