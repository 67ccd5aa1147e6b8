//! Timeouts and intervals of the consensus and of the distribution, and the
//! clock drift that the leader's lease tolerates.

use std::time::Duration;

/// The largest clock drift of a VM against real time, in percent. Two leaders
/// may hold a lease at the same time if a clock drifts by more.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 1;

/// The time after a message from the leader during which a follower grants no
/// vote and starts no election, on the follower's clock.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The duration of a leader's lease, on the leader's clock. It starts when the
/// leader sends the message that a quorum later acknowledges, and it is
/// [`MIN_ELECTION_TIMEOUT`] less the drift between two clocks within the bound.
pub const LEASE_DURATION: Duration = Duration::from_millis(
    MIN_ELECTION_TIMEOUT.as_millis() as u64 * (100 - MAX_CLOCK_DRIFT_PERCENT as u64)
        / (100 + MAX_CLOCK_DRIFT_PERCENT as u64),
);

/// The interval between heartbeats of a publisher to its subscribers.
pub const PUBLISHER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time without a message after which a subscriber connects to another
/// publisher.
pub const PUBLISHER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The interval between heartbeats of a leader to its followers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
