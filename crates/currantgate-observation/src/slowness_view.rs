//! The lists of slow upstreams of several control VMs, merged at an entry.

use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};

use crate::{NORMAL_SLOWNESS, SlowUpstream, UpstreamKey};

/// The lists of slow upstreams of several control VMs, merged at an entry.
///
/// Each control VM merges the reports of other entries. An upstream counts with the highest
/// slowness that any of them lists: the entries of its own domain notice first that it is
/// slow, while those of other domains send it flows, too. `S` identifies a control VM.
///
/// ```
/// use currantgate_observation::{SlowUpstream, SlownessView};
///
/// let mut view = SlownessView::default();
/// let slow = |key, slowness| SlowUpstream { key, slowness };
/// assert_eq!(view.apply("a", &[slow(7, 3)]), [slow(7, 3)]);
/// assert_eq!(view.apply("b", &[slow(7, 2)]), []);
/// assert_eq!(view.remove(&"a"), [slow(7, 2)]);
/// ```
#[derive(Clone, Debug)]
pub struct SlownessView<S> {
    lists: IndexMap<S, IndexMap<UpstreamKey, u8>>,
}

impl<S> Default for SlownessView<S> {
    fn default() -> Self {
        Self {
            lists: IndexMap::new(),
        }
    }
}

impl<S: Hash + Eq> SlownessView<S> {
    /// Applies changes of the list of a control VM, and returns the changes of the merged
    /// list.
    pub fn apply(&mut self, from: S, changes: &[SlowUpstream]) -> Vec<SlowUpstream> {
        let keys: IndexSet<_> = changes.iter().map(|change| change.key).collect();
        let before: Vec<_> = keys.iter().map(|key| self.slowness(*key)).collect();
        let list = self.lists.entry(from).or_default();
        for change in changes {
            if change.slowness > NORMAL_SLOWNESS {
                list.insert(change.key, change.slowness);
            } else {
                list.swap_remove(&change.key);
            }
        }
        self.changes(keys, before)
    }

    /// Drops the list of a control VM, and returns the changes of the merged list.
    pub fn remove(&mut self, from: &S) -> Vec<SlowUpstream> {
        let keys = self.lists.get(from).into_iter().flat_map(IndexMap::keys);
        let keys: IndexSet<_> = keys.copied().collect();
        let before: Vec<_> = keys.iter().map(|key| self.slowness(*key)).collect();
        self.lists.swap_remove(from);
        self.changes(keys, before)
    }

    /// Returns the upstreams whose highest slowness is no longer the one before.
    fn changes(&self, keys: IndexSet<UpstreamKey>, before: Vec<u8>) -> Vec<SlowUpstream> {
        let changes = keys.into_iter().zip(before);
        let changes = changes.map(|(key, before)| (key, before, self.slowness(key)));
        changes
            .filter(|(_, before, after)| before != after)
            .map(|(key, _, slowness)| SlowUpstream { key, slowness })
            .collect()
    }

    /// Returns the highest slowness of an upstream in any list.
    fn slowness(&self, key: UpstreamKey) -> u8 {
        let listed = self.lists.values().filter_map(|list| list.get(&key));
        listed.copied().max().unwrap_or(NORMAL_SLOWNESS)
    }
}
