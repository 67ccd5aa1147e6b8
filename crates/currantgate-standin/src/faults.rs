//! Fault injection of the fabric.

use std::time::Duration;

use currantgate_config::ConfigError;
use rand::{Rng, RngExt as _};
use serde::Deserialize;

/// Probabilities with which a fabric loses, duplicates and delays a packet.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Probability that a packet is lost, from 0 to 1.
    pub lose: f64,
    /// Probability that a packet is duplicated, from 0 to 1.
    pub duplicate: f64,
    /// Probability that a packet is delayed and so reordered, from 0 to 1.
    pub delay: f64,
    /// Delay in milliseconds.
    pub delay_ms: u64,
}

/// Faults to inject into one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PacketOutcome {
    pub(crate) copies: u32,
    pub(crate) delay: Option<Duration>,
}

impl Faults {
    /// Draws the faults for one packet at random.
    pub(crate) fn sample(&self, rng: &mut impl Rng) -> PacketOutcome {
        let mut happens =
            |probability: f64| probability > 0.0 && rng.random_bool(probability.min(1.0));
        let is_lost = happens(self.lose);
        let is_duplicated = happens(self.duplicate);
        let is_delayed = happens(self.delay);
        PacketOutcome {
            copies: if is_lost {
                0
            } else {
                1 + u32::from(is_duplicated)
            },
            delay: is_delayed.then(|| Duration::from_millis(self.delay_ms)),
        }
    }

    /// Returns an error if a probability is not from 0 to 1.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let probabilities = [
            ("faults.lose", self.lose),
            ("faults.duplicate", self.duplicate),
            ("faults.delay", self.delay),
        ];
        match probabilities
            .iter()
            .find(|(_, probability)| !(0.0..=1.0).contains(probability))
        {
            None => Ok(()),
            Some((key, _)) => Err(ConfigError::value(*key, "must be from 0 to 1")),
        }
    }
}
