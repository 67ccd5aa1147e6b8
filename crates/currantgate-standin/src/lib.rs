//! Small stand-ins for what surrounds the entries: fabric, caller, upstream.
//!
//! They speak just enough of IP, TCP and the announcement protocol to show
//! the entries at work on loopback. An [`Upstream`] answers like a kernel
//! would, so a flow that is led astray is reset and seen as broken by its
//! [`Caller`].

mod announcer;
mod caller;
mod error;
mod fabric;
mod segment;
mod tally;
mod upstream;

pub use caller::{Caller, CallerSettings};
pub use error::StandinError;
pub use fabric::{Fabric, FabricHandle};
pub use tally::Tally;
pub use upstream::{Upstream, UpstreamSettings};
