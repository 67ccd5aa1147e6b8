//! The evacuations that a control VM publishes, as a message and as status.

use std::time::{Duration, Instant};

use currantgate_control::PublishedEvacuations;

use super::message::{EvacuationState, ReturnedDomain};
use super::status::{EvacuatedDomain, EvacuationStatus};

/// Takes over the state of another control VM if it is newer, and returns whether it is.
pub(crate) fn adopt(
    published: &mut PublishedEvacuations,
    now: Instant,
    state: &EvacuationState,
) -> bool {
    let domains = state.evacuated.iter().map(|domain| &**domain);
    let is_newer = published.update(now, state.revision, domains);
    let returned = state.returned.iter();
    let returned = returned.map(|r| (&*r.domain, Duration::from_millis(r.ms_ago.into())));
    published.add_returned(now, state.revision, returned);
    is_newer
}

/// Returns the state to publish, or `None` before the first order.
pub(super) fn to_message(
    published: &PublishedEvacuations,
    now: Instant,
) -> Option<EvacuationState> {
    if published.revision() == 0 {
        return None;
    }
    let evacuated = published.evacuated();
    let returned = published.returned(now);
    let returned = returned.map(|(domain, ago)| ReturnedDomain {
        domain: domain.into(),
        ms_ago: ago.as_millis().try_into().unwrap_or(u32::MAX),
    });
    Some(EvacuationState {
        revision: published.revision(),
        evacuated: evacuated.map(|(domain, _)| domain.into()).collect(),
        returned: returned.collect(),
    })
}

/// Returns the state for operators, without listeners and upstreams.
pub(super) fn to_status(published: &PublishedEvacuations, now: Instant) -> EvacuationStatus {
    let evacuated = published
        .evacuated()
        .map(|(domain, since)| EvacuatedDomain {
            domain: domain.into(),
            since_ms: since.map(|since| to_ms(now.saturating_duration_since(since))),
        });
    let returned = published
        .returned(now)
        .map(|(domain, ago)| EvacuatedDomain {
            domain: domain.into(),
            since_ms: Some(to_ms(ago)),
        });
    EvacuationStatus {
        revision: published.revision(),
        evacuated: evacuated.collect(),
        returned: returned.collect(),
        ..EvacuationStatus::default()
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
