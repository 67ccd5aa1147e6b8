//! What an entry's reads tell about its receive queue.

use std::time::Instant;

use super::CapacityLimitSettings;

/// The receive queue, as far as reads show it.
#[derive(Debug, Default)]
pub(super) struct ReceiveQueue {
    /// Nothing since the queue was found empty.
    busy: Option<BusyPeriod>,
}

/// A time in which the receive queue has not been found empty.
#[derive(Debug)]
struct BusyPeriod {
    /// When the queue will have been busy for long enough to show a limit.
    long_at: Instant,
    /// The same by the time in which the process ran; each pause moves it.
    long_running_at: Instant,
    last_read: Instant,
    packets: u32,
}

impl ReceiveQueue {
    /// Records that a packet was read; returns whether the queue shows that the processor
    /// is at its limit.
    pub(super) fn record_packet(&mut self, now: Instant, settings: &CapacityLimitSettings) -> bool {
        let is_continued = |busy: &BusyPeriod| now < busy.last_read + settings.stall_time;
        let Some(busy) = self.busy.as_mut().filter(|busy| is_continued(busy)) else {
            self.busy = Some(BusyPeriod {
                long_at: now + settings.busy_time,
                long_running_at: now + settings.busy_running_time,
                last_read: now,
                packets: 1,
            });
            return false;
        };
        let step = now.saturating_duration_since(busy.last_read);
        busy.long_running_at += step.saturating_sub(settings.max_step);
        busy.last_read = busy.last_read.max(now);
        busy.packets = busy.packets.saturating_add(1);
        busy.packets >= settings.busy_packets && now >= busy.long_at.max(busy.long_running_at)
    }

    /// Records that a read found no packet.
    pub(super) fn record_empty(&mut self) {
        self.busy = None;
    }
}
