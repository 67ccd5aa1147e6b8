//! Elections in which two replicas become candidates at nearly the same time.

mod common;

use std::time::Duration;

use common::net::Net;
use currantgate_control::{MIN_ELECTION_TIMEOUT, VoterId};
use rstest::rstest;

/// The time between two pre-votes, as in the run of the soak in which the votes were split.
const GAP: Duration = Duration::from_millis(24);

/// The time to establish a connection between two VMs that are short of processor time.
const CONNECT_TIME: Duration = Duration::from_millis(50);

/// The number of elections, and how many of them may take longer: see `docs/design/control.md`.
const ELECTIONS: u64 = 100;
const MAX_LATE: usize = 1;

/// Whether the voters have connections to each other when the leader is lost.
#[derive(Clone, Copy, PartialEq)]
enum Connections {
    Open,
    OnDemand,
}

/// Returns the time from the first pre-vote until another replica leads, after the loss of the
/// leader. The two replicas that are the first to start a pre-vote do so `GAP` apart.
fn election_time(voters: VoterId, seed: u64, connections: Connections) -> Duration {
    let mut net = Net::new(voters, seed);
    net.delay_ms = 3;
    // The number of restarts seeds the timeouts of a replica.
    for id in net.ids() {
        for _ in 0..seed % 7 {
            net.crash(id);
            net.restart(id);
        }
    }
    net.run_until("a leader", |net| net.leader().is_some());
    net.run(Duration::from_millis(100 + 37 * seed));
    let leader = net.leader().expect("the leader stays");
    net.connect_time = Some(CONNECT_TIME);
    match connections {
        Connections::Open => net.connect_all(),
        Connections::OnDemand => net.disconnect_all(),
    }
    net.crash(leader);
    let mut others: Vec<_> = net.ids().into_iter().filter(|id| *id != leader).collect();
    others.sort_by_key(|id| net.time_to_deadline(*id));
    let (first, second) = (others[0], others[1]);
    // The first one waits until the second is to follow it after the gap. The others only vote.
    for other in &others {
        if *other != second {
            net.suspend(*other);
        }
    }
    while net.time_to_deadline(second) > GAP {
        net.step = if net.time_to_deadline(second) > 2 * GAP {
            GAP / 2
        } else {
            Duration::from_millis(1)
        };
        net.step();
    }
    net.resume(first);
    let mut time = Duration::ZERO;
    while net.leader().is_none() {
        net.step();
        time += net.step;
        assert!(time < Duration::from_secs(20), "no replica leads");
    }
    time
}

/// Guards against a split vote when two replicas start a pre-vote 24 ms apart: the next election
/// begins one to two election timeouts later, and no change is acknowledged until then. A
/// leader is to follow within two election timeouts of the loss, of which the first passes
/// before any pre-vote.
#[rstest]
fn two_candidates_do_not_split_the_votes(
    #[values(3, 5)] voters: VoterId,
    #[values(Connections::Open, Connections::OnDemand)] connections: Connections,
) {
    let times = (0..ELECTIONS).map(|seed| election_time(voters, seed, connections));
    let late = times.filter(|time| *time > MIN_ELECTION_TIMEOUT).count();
    assert!(late <= MAX_LATE, "{late} of {ELECTIONS} elections are late");
}
