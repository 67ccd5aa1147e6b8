//! The demand of one failure domain, with the interval at which it is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::error::EncodeError;
use currantgate_capacity::{ClassDemand, DomainDemand, ServiceDemand};

/// Interval at which an unchanged figure is sent: entries don't use figures that are
/// older than two seconds.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest interval between two messages about a domain: entries report once in it.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between two messages about a domain. Figures that need more bytes
/// exceed the limit, as entries would otherwise go without them at the first delay.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(1_200);

/// Bytes a second that the figures of all domains may take on the feeds of an entry.
/// With 256 bytes for its own reports, an entry stays within 1 KB (1,024 bytes).
const MAX_BYTES_PER_SECOND: usize = 750;

/// Bytes of the message beside the demand: its kind, the age of the figure and the length
/// of the demand.
const MESSAGE_BYTES: usize = 1 + 3 + 3;

/// Bytes of a frame around a message: length, MAC and the header of HTTP/2. Figures are
/// sent along with heartbeats, so that they share the headers of TCP/IP.
const FRAME_BYTES: usize = 4 + 32 + 9;

/// Part of a figure by which it must change to be sent early.
const NOTICEABLE_CHANGE: f32 = 0.05;

/// Flows a second below which a change is never noticeable, as few flows vary much.
const MIN_NOTICEABLE_FLOWS: f32 = 1.0;

/// The demand of one failure domain, with the interval at which it is sent.
#[derive(Clone, Debug)]
pub struct PublishedDemand {
    /// Demand of the domain.
    pub demand: DomainDemand,
    /// The demand as feeds carry it.
    pub(super) encoded: Arc<[u8]>,
    /// Time at which the reports of the domain were merged.
    merged_at: Instant,
    /// Shortest interval between two messages about the domain on one feed.
    pub(super) min_interval: Duration,
    /// Interval of the messages while the demand does not change.
    pub(super) refresh_interval: Duration,
}

impl PublishedDemand {
    /// Returns the demand with the interval at which the figures of `domains` domains of
    /// that size fit into an entry's share of bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the demand can't be encoded.
    pub fn new(
        merged_at: Instant,
        demand: DomainDemand,
        domains: usize,
    ) -> Result<Self, EncodeError> {
        let encoded = bincode::serde::encode_to_vec(&demand, bincode::config::standard())?;
        let message_bytes = encoded.len() + MESSAGE_BYTES + FRAME_BYTES;
        let second_bytes = domains.max(1) * message_bytes;
        let interval = Duration::from_secs_f64(second_bytes as f64 / MAX_BYTES_PER_SECOND as f64);
        let min_interval = interval.clamp(MIN_SEND_INTERVAL, MAX_SEND_INTERVAL);
        Ok(Self {
            demand,
            encoded: encoded.into(),
            merged_at,
            min_interval,
            refresh_interval: min_interval.max(REFRESH_INTERVAL),
        })
    }

    /// Returns the time since the reports were merged, in milliseconds.
    pub fn age_ms(&self, now: Instant) -> u16 {
        let age = now.saturating_duration_since(self.merged_at);
        u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
    }

    /// Returns whether the demand differs noticeably from an earlier one of its domain.
    pub(super) fn differs_from(&self, earlier: &DomainDemand) -> bool {
        let services = &self.demand.services;
        services.len() != earlier.services.len()
            || services.iter().any(|service| {
                let before = earlier.services.iter();
                let mut before = before.filter(|s| s.service == service.service);
                before.next().is_none_or(|s| is_service_changed(s, service))
            })
    }
}

fn is_service_changed(before: &ServiceDemand, after: &ServiceDemand) -> bool {
    before.classes.len() != after.classes.len()
        || after.classes.iter().any(|class| {
            let mut same = before
                .classes
                .iter()
                .filter(|c| c.priority == class.priority);
            same.next().is_none_or(|c| is_class_changed(c, class))
        })
        || is_changed(mean_slot_ms(before), mean_slot_ms(after))
}

fn is_class_changed(before: &ClassDemand, after: &ClassDemand) -> bool {
    let difference = (before.arrivals - after.arrivals).abs();
    difference >= MIN_NOTICEABLE_FLOWS && is_changed(before.arrivals, after.arrivals)
}

fn is_changed(before: f32, after: f32) -> bool {
    (before - after).abs() > NOTICEABLE_CHANGE * before.max(after)
}

/// Returns the mean time in a slot of the flows that ended; 0 when none did.
fn mean_slot_ms(demand: &ServiceDemand) -> f32 {
    if demand.completions > 0.0 {
        demand.slot_ms / demand.completions
    } else {
        0.0
    }
}
