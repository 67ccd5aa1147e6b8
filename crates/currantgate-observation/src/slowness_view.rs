//! The lists of slow upstreams of several control VMs, merged at an entry.

use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};

use crate::{NORMAL_SLOWNESS, SlowUpstream, UpstreamKey};

/// The lists of slow upstreams of several control VMs, merged at an entry. `S` identifies a
/// control VM.
///
/// Each control VM merges the reports of other entries. An upstream of another failure domain
/// counts with the highest slowness that any of them lists: the entries of its domain notice
/// first that it is slow, while those of other domains send it flows, too. An upstream of the
/// entry's own domain counts as the domain's collector lists it: entries that are cut off
/// from a domain report all of its upstreams as unresponsive, although its own entries reach
/// them.
///
/// `is_local` tells whether an upstream is of the entry's own domain.
///
/// ```
/// use currantgate_observation::{SlowUpstream, SlownessView};
///
/// let mut view = SlownessView::default();
/// let slow = |key, slowness| SlowUpstream { key, slowness };
/// let is_local = |_| false;
/// assert_eq!(view.apply("a", &[slow(7, 3)], is_local), [slow(7, 3)]);
/// assert_eq!(view.apply("b", &[slow(7, 2)], is_local), []);
/// assert_eq!(view.remove(&"a", is_local), [slow(7, 2)]);
/// ```
#[derive(Clone, Debug)]
pub struct SlownessView<S> {
    lists: IndexMap<S, IndexMap<UpstreamKey, u8>>,
    /// Control VM that merges the reports of the entry's own domain.
    collector: Option<S>,
}

impl<S> Default for SlownessView<S> {
    fn default() -> Self {
        Self {
            lists: IndexMap::new(),
            collector: None,
        }
    }
}

impl<S: Hash + Eq> SlownessView<S> {
    /// Sets the control VM that merges the reports of the entry's own domain, and returns the
    /// changes of the merged list.
    pub fn set_collector(
        &mut self,
        collector: Option<S>,
        is_local: impl Fn(UpstreamKey) -> bool,
    ) -> Vec<SlowUpstream> {
        let keys = self.lists.values().flat_map(IndexMap::keys);
        let keys: IndexSet<_> = keys.copied().collect();
        self.update(&keys, is_local, |view| view.collector = collector)
    }

    /// Applies changes of the list of a control VM, and returns the changes of the merged
    /// list.
    pub fn apply(
        &mut self,
        from: S,
        changes: &[SlowUpstream],
        is_local: impl Fn(UpstreamKey) -> bool,
    ) -> Vec<SlowUpstream> {
        let keys: IndexSet<_> = changes.iter().map(|change| change.key).collect();
        self.update(&keys, is_local, |view| {
            let list = view.lists.entry(from).or_default();
            for change in changes {
                if change.slowness > NORMAL_SLOWNESS {
                    list.insert(change.key, change.slowness);
                } else {
                    list.swap_remove(&change.key);
                }
            }
        })
    }

    /// Drops the list of a control VM, and returns the changes of the merged list.
    pub fn remove(
        &mut self,
        from: &S,
        is_local: impl Fn(UpstreamKey) -> bool,
    ) -> Vec<SlowUpstream> {
        let keys = self.lists.get(from).into_iter().flat_map(IndexMap::keys);
        let keys: IndexSet<_> = keys.copied().collect();
        self.update(&keys, is_local, |view| {
            view.lists.swap_remove(from);
        })
    }

    /// Makes a change, and returns which of the given upstreams have another slowness since.
    fn update(
        &mut self,
        keys: &IndexSet<UpstreamKey>,
        is_local: impl Fn(UpstreamKey) -> bool,
        change: impl FnOnce(&mut Self),
    ) -> Vec<SlowUpstream> {
        let slownesses = |view: &Self| -> Vec<u8> {
            let slowness = |key: &UpstreamKey| view.slowness(*key, is_local(*key));
            keys.iter().map(slowness).collect()
        };
        let before = slownesses(self);
        change(self);
        let after = slownesses(self);
        let changes = keys.iter().zip(before.iter().zip(after));
        changes
            .filter(|(_, (before, after))| **before != *after)
            .map(|(key, (_, slowness))| SlowUpstream {
                key: *key,
                slowness,
            })
            .collect()
    }

    /// Returns the slowness that an upstream counts with.
    fn slowness(&self, key: UpstreamKey, is_local: bool) -> u8 {
        let mut lists = self.lists.iter();
        let slowness = if is_local {
            let own = lists.find(|(from, _)| self.collector.as_ref() == Some(from));
            own.and_then(|(_, list)| list.get(&key))
        } else {
            lists.filter_map(|(_, list)| list.get(&key)).max()
        };
        slowness.copied().unwrap_or(NORMAL_SLOWNESS)
    }
}
