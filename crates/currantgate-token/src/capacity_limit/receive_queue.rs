//! What an entry's reads tell about its receive queue.

use std::time::{Duration, Instant};

use super::CapacityLimitSettings;

/// The receive queue, as far as reads show it.
#[derive(Debug, Default)]
pub(super) struct ReceiveQueue {
    /// When the last packet was read.
    last_read: Option<Instant>,
    /// Nothing since the queue was found empty.
    busy: Option<BusyPeriod>,
}

/// A time in which the receive queue has not been found empty.
#[derive(Debug)]
struct BusyPeriod {
    started: Instant,
    /// When the queue will have been busy for long enough to show a limit.
    long_at: Instant,
    /// The same by the time in which the process ran; each pause moves it.
    long_running_at: Instant,
    packets: u32,
}

impl ReceiveQueue {
    /// Records that a packet was read; returns whether the queue shows that the processor
    /// is at its limit.
    pub(super) fn record_packet(&mut self, now: Instant, settings: &CapacityLimitSettings) -> bool {
        let last_read = self.last_read.unwrap_or(now).min(now);
        self.last_read = Some(now);
        let step = now - last_read;
        let long_time = settings.busy_time + work_off_time(step, settings);
        let Some(busy) = self.busy.as_mut().filter(|_| step < settings.stall_time) else {
            self.busy = Some(BusyPeriod {
                started: now,
                long_at: now + long_time,
                long_running_at: now + settings.busy_running_time,
                packets: 1,
            });
            return false;
        };
        busy.long_at = busy.long_at.max(busy.started + long_time);
        busy.long_running_at += step.saturating_sub(settings.max_step);
        busy.packets = busy.packets.saturating_add(1);
        busy.packets >= settings.busy_packets && now >= busy.long_at.max(busy.long_running_at)
    }

    /// Records that a read found no packet.
    pub(super) fn record_empty(&mut self) {
        self.busy = None;
    }
}

/// Returns the time in which an entry below its limit reads the packets that arrived within
/// a pause of the process.
fn work_off_time(pause: Duration, settings: &CapacityLimitSettings) -> Duration {
    if (settings.long_pause..settings.stall_time).contains(&pause) {
        pause * settings.work_off_factor
    } else {
        Duration::ZERO
    }
}
