//! Intervals of the consensus, and the bound on clock rates that the lease
//! rests on.

use std::time::Duration;

/// The most that a VM's clock may run fast or slow against real time, in
/// percent. Leases are only exclusive while clocks keep it.
pub const CLOCK_RATE_BOUND_PERCENT: u32 = 1;

/// How long a follower that heard the leader votes for no one else, on the
/// follower's clock.
pub const PROMISE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a leader's lease lasts after it sent what a quorum acknowledged,
/// on the leader's clock: the promise, shortened by the difference that two
/// clocks within the bound can have.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(
    PROMISE_TIMEOUT.as_millis() as u64 * (100 - CLOCK_RATE_BOUND_PERCENT as u64)
        / (100 + CLOCK_RATE_BOUND_PERCENT as u64),
);

/// How often a publisher tells its subscribers that it is alive.
pub const PUBLISHER_INTERVAL: Duration = Duration::from_millis(1_000);

/// Silence after which a subscriber looks for another publisher.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How often a leader tells its followers that it leads.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
