//! Evacuations of failure domains: operators' orders that the upstreams of a
//! domain get no new flows. See `docs/design/evacuation.md`.

mod answer;
mod evacuations;
mod order;
mod published;

pub use answer::EvacuationAnswer;
pub use evacuations::Evacuations;
pub use order::{EvacuationAction, EvacuationOrder, OrderLimit};
pub use published::PublishedEvacuations;
