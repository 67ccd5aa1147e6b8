//! Settings of the planner of voters.

use std::time::Duration;

/// Settings of a [`crate::VoterPlanner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterPlannerSettings {
    /// The fewest voters that the site should have: 2f + 1 to tolerate the
    /// simultaneous loss of f VMs.
    pub min_voters: usize,
    /// The most voters. While more control VMs than `min_voters` are alive, more of them
    /// vote, so that a majority of the control VMs is always one of the voters too, and
    /// several VMs that have successors can be removed at once.
    pub max_voters: usize,
    /// The number of failure domains that may be lost at the same time while a quorum of the
    /// voters stays, if the control VMs are in enough of them.
    pub tolerated_domains: usize,
    /// The time without contact after which a voter is replaced. It must exceed
    /// two heartbeat intervals plus a reconnect, and stay below the time within
    /// which the successor of a replaced VM must count as recovered.
    pub lost_after: Duration,
    /// The time of contact after which a VM becomes a voter in excess of `min_voters`, so
    /// that one that starts again and again does not change the voters each time.
    pub settled_after: Duration,
    /// The time after a change of the voters for which an even number of them is kept. It is
    /// then reduced by one, which costs no tolerance.
    pub even_kept_for: Duration,
    /// The time for which a standby that did not catch up is avoided.
    pub avoided_for: Duration,
    /// The time for which a VM leads before it passes the lead on to a younger voter, so that
    /// the lead does not return at once to one that can't keep it.
    pub lead_kept_for: Duration,
    /// The most optional changes within a minute. The loss and return of a failure domain of
    /// nine voters takes four, and they can follow each other every 15 s.
    pub max_optional_changes: usize,
    /// The time after a slow write to the leader's own disk in which it starts no optional
    /// change: each of them has to be written there as well.
    pub held_for: Duration,
}

impl Default for VoterPlannerSettings {
    fn default() -> Self {
        Self {
            min_voters: 3,
            max_voters: 9,
            tolerated_domains: 0,
            lost_after: Duration::from_millis(2_500),
            settled_after: Duration::from_millis(1_000),
            even_kept_for: Duration::from_secs(10),
            avoided_for: Duration::from_secs(10),
            lead_kept_for: Duration::from_secs(2),
            max_optional_changes: 20,
            held_for: Duration::from_secs(2),
        }
    }
}
