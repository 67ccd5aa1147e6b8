//! Settings of the detection of an entry's limit.

use std::time::Duration;

/// Settings of a [`crate::CapacityLimit`].
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityLimitSettings {
    /// Time for which the receive queue must not have been found empty. A process that gets
    /// a part of a core in each 100 ms is paused twice within that time, so that a whole
    /// slice between two pauses has not emptied the queue.
    pub busy_time: Duration,
    /// Part of that time in which the process must have run: two slices of 3.8 ms, the
    /// smallest that entries have.
    pub busy_running_time: Duration,
    /// Packets that must have been read in a row, so that a few packets that take long are
    /// no sign of a limit.
    pub busy_packets: u32,
    /// Longest time between two packets that counts as running time. The rest is a pause of
    /// the process.
    pub max_step: Duration,
    /// Shortest pause that is longer than those of a process that gets a part of a core in
    /// each 100 ms. The packets that arrived within it are no sign of overload.
    pub long_pause: Duration,
    /// Multiple of a long pause by which the queue must have been busy for longer: at 0.8 of
    /// what the processor carries, it takes four times the pause to work off the packets.
    pub work_off_factor: u32,
    /// Time without a packet after which the queue is watched anew: the process was
    /// stopped, and the packets that arrived meanwhile are no sign of overload.
    pub stall_time: Duration,
    /// Time after a failed send in which the link's buffer counts as full. Tokio refuses all
    /// sends until half of the buffer is free, which takes 80 ms with 2 Mbit/s.
    pub full_time: Duration,
    /// Time after the last sign of a limit until new flows are no longer limited. It must be
    /// shorter than 2 s. With a load just above the limit, signs come about once a second.
    pub hold_time: Duration,
    /// Part of the rate of new flows before the first sign of a limit that is taken after it.
    pub first_reduction: f64,
    /// Part of the previous rate of new flows that is taken after another sign of a limit.
    pub reduction: f64,
    /// Time after which the rate is reduced again if signs of a limit last. The open flows
    /// of the previous rate have mostly ended then.
    pub reduction_interval: Duration,
    /// Part of the allowed rate at which new flows are taken while the receive queue shows a
    /// limit of the processor. With none, the processor idles once the queue is empty. While
    /// the link's buffer is full, none are taken, as each costs packets of open flows.
    pub busy_share: f64,
    /// Growth of the allowed rate a second without a sign of a limit.
    pub growth_per_second: f64,
    /// Growth of that growth a second, so that the rate is many times higher when it ends to
    /// be limited. With a fixed growth, an entry that had reduced it too much was flooded then.
    pub growth_acceleration: f64,
    /// Lowest allowed rate of new flows a second. With fewer, the entry could not notice
    /// that it can take more.
    pub min_flows_per_second: f64,
    /// Resets for each packet that was sent. Each reset also lets its caller send another
    /// first packet.
    pub resets_per_send: f64,
}

impl Default for CapacityLimitSettings {
    fn default() -> Self {
        Self {
            busy_time: Duration::from_millis(200),
            busy_running_time: Duration::from_millis(8),
            busy_packets: 128,
            max_step: Duration::from_millis(1),
            long_pause: Duration::from_millis(150),
            work_off_factor: 4,
            stall_time: Duration::from_millis(500),
            full_time: Duration::from_millis(100),
            hold_time: Duration::from_millis(1_800),
            first_reduction: 0.5,
            reduction: 0.8,
            reduction_interval: Duration::from_millis(400),
            busy_share: 0.3,
            growth_per_second: 0.3,
            growth_acceleration: 1.0,
            min_flows_per_second: 20.0,
            resets_per_send: 0.02,
        }
    }
}
