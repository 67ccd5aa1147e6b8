//! Services that the configuration in force names.

use indexmap::IndexSet;

/// Services that the configuration in force names.
///
/// Reports of other services may come from a writer that is no upstream of this site. They must
/// not replace or close anything that is in use, see `docs/design/platform.md#upstreams`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedServices {
    /// `None` before the first configuration.
    names: Option<IndexSet<Box<str>>>,
}

impl NamedServices {
    /// Returns the services of a configuration.
    pub fn new(names: impl IntoIterator<Item = Box<str>>) -> Self {
        Self {
            names: Some(names.into_iter().collect()),
        }
    }

    /// Returns whether a service is named. Before the first configuration any may be named
    /// soon, so all count.
    pub fn contains(&self, service: &str) -> bool {
        self.names
            .as_ref()
            .is_none_or(|names| names.contains(service))
    }
}
