//! Logging of whether the voters outlast the loss that the site tolerates.

use std::time::{Duration, Instant};

use currantgate_control::VoterSpread;
use indexmap::IndexMap;

/// The time for which a state must last to be logged. A loss that the site tolerates, with
/// the changes of the voters after it, is shorter or is logged by itself.
const LASTING: Duration = Duration::from_secs(10);

/// The state of the spread of voters, and the one that was logged last.
#[derive(Debug, Default)]
pub(super) struct SpreadLog {
    /// The state at the last call and the instant of its start.
    current: Option<(VoterSpread, Instant)>,
    logged: Option<VoterSpread>,
}

impl SpreadLog {
    /// Records the state, and logs it once if it lasts and is another one than before. A
    /// spread that was never missed is not logged.
    pub(super) fn record(
        &mut self,
        now: Instant,
        spread: VoterSpread,
        voters_by_domain: &IndexMap<&str, usize>,
    ) {
        let since = match self.current {
            Some((current, since)) if current == spread => since,
            _ => now,
        };
        self.current = Some((spread, since));
        let is_usual = spread == self.logged.unwrap_or(VoterSpread::Spread);
        if is_usual || now < since + LASTING {
            return;
        }
        self.logged = Some(spread);
        log::warn!(
            event = "voters",
            spread:? = spread,
            voters_by_domain:? = voters_by_domain;
            "{spread}"
        );
    }
}
