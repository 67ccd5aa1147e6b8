//! Why a new flow gets no upstream.

use displaydoc::Display;

/// Why a new flow gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// no upstream of the service is known
    NoUpstream,
}
