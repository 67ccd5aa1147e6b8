//! The times at which control VMs joined, as their ids tell them.
//!
//! A VM that joins a running site may be the successor of an older one, which is then removed.
//! All leaders must agree on which VMs are older, also after restarts, so that the time is a
//! part of the id. See `docs/design/control.md#consensus`.

use std::time::Duration;

use crate::VoterId;

/// The time at which a VM joined, in units of 256 ms since 1970; 0 for the VMs with which the
/// site started.
pub(crate) type JoinTime = u64;

/// The difference between two join times from which one VM counts as younger, about a second:
/// VMs that join together are not successors of each other, and clocks differ.
const MIN_DIFFERENCE: JoinTime = 4;

/// The number of random bits of an id. The others hold the join time until the year 2109.
const RANDOM_BITS: u32 = 30;

/// The binary logarithm of the unit of join times in milliseconds.
const UNIT_BITS: u32 = 8;

/// The lowest id that a VM chooses. Lower ones are given to first voters or by operators.
const MIN_CHOSEN_ID: VoterId = 1 << 32;

/// The lowest id of a VM that joins a running site.
const MIN_JOINING_ID: VoterId = 1 << 33;

/// Returns the id of a VM of a new site that is no first voter.
pub fn id_in_new_site(random: u64) -> VoterId {
    MIN_CHOSEN_ID | random >> 32
}

/// Returns the id of a VM that joins a running site at a time since 1970.
pub fn id_of_joining(unix_time: Duration, random: u64) -> VoterId {
    let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
    let id = unix_ms >> UNIT_BITS << RANDOM_BITS | random >> (u64::BITS - RANDOM_BITS);
    id.max(MIN_JOINING_ID)
}

/// Returns when the VM with an id joined. Ids of earlier builds are random, and so are their
/// times.
pub(crate) fn join_time(id: VoterId) -> JoinTime {
    if id < MIN_JOINING_ID {
        return 0;
    }
    id >> RANDOM_BITS
}

/// Returns whether a VM that joined at `time` is older than one that joined at `other`.
pub(crate) fn is_older(time: JoinTime, other: JoinTime) -> bool {
    time.saturating_add(MIN_DIFFERENCE) < other
}
