//! What a fabric does to packets besides carrying them.

use std::time::Duration;

use currantgate_config::ConfigError;
use rand::{Rng, RngExt as _};
use serde::Deserialize;

/// The shares of packets that a fabric loses, duplicates and delays.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The share of packets that are lost, from 0 to 1.
    pub lose: f64,
    /// The share of packets that arrive twice, from 0 to 1.
    pub duplicate: f64,
    /// The share of packets that are delayed, from 0 to 1, so that later ones
    /// overtake them.
    pub delay: f64,
    /// Milliseconds by which packets are delayed.
    pub delay_ms: u64,
}

/// What becomes of one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fate {
    pub(crate) copies: u32,
    pub(crate) delay: Option<Duration>,
}

impl Faults {
    /// Decides about one packet.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Fate {
        let mut happens = |share: f64| share > 0.0 && rng.random_bool(share.min(1.0));
        let is_lost = happens(self.lose);
        let is_doubled = happens(self.duplicate);
        let is_delayed = happens(self.delay);
        Fate {
            copies: if is_lost {
                0
            } else {
                1 + u32::from(is_doubled)
            },
            delay: is_delayed.then(|| Duration::from_millis(self.delay_ms)),
        }
    }

    /// Checks that all shares are shares.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let shares = [
            ("faults.lose", self.lose),
            ("faults.duplicate", self.duplicate),
            ("faults.delay", self.delay),
        ];
        match shares
            .iter()
            .find(|(_, share)| !(0.0..=1.0).contains(share))
        {
            None => Ok(()),
            Some((key, _)) => Err(ConfigError::value(*key, "must be from 0 to 1")),
        }
    }
}
