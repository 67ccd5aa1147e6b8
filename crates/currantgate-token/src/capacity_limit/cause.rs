//! Causes of an entry's limit.

use displaydoc::Display;

/// The resource of an entry that is the bottleneck.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum LimitCause {
    /// processor
    Processor,
    /// link
    Link,
}

impl LimitCause {
    /// All causes.
    pub const ALL: [Self; 2] = [Self::Processor, Self::Link];
}
