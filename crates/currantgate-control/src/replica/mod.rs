//! The consensus state machine of one replica, an implementation of Raft.
//!
//! The submodules contain elections, the follower, the leader, commitment, the
//! leader's lease, operators' requests, and the order of writes and messages.
//! See `docs/design/control.md`.

mod commit;
mod departure;
mod election;
mod evacuation;
mod follower;
mod leader;
mod lease;
mod operator;
mod persistence;
mod role;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::raft_log::RaftLog;
use crate::{
    Entry, Evacuations, HardState, Index, MIN_ELECTION_TIMEOUT, Message, Output, RecoveredState,
    ReplicaSettings, SiteState, VoterId,
};
use departure::Departures;
use follower::IncomingSnapshot;
use persistence::PendingWrites;
use role::Role;

/// The replica of the log and its state on one control VM.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    started: Instant,
    hard_state: HardState,
    log: RaftLog,
    commit: Index,
    /// The highest commit index that a leader has sent since this replica started.
    leader_commit: Option<Index>,
    state: SiteState,
    evacuations: Arc<Evacuations>,
    role: Role,
    incoming: Option<IncomingSnapshot>,
    /// The instant before which the replica grants no vote.
    no_votes_until: Instant,
    /// The instant at which the replica starts a pre-vote, put off by each
    /// message of a leader and each granted vote.
    election_deadline: Instant,
    /// The control VMs that have announced that they stop.
    departures: Departures,
    writes: PendingWrites,
    outputs: VecDeque<Output>,
}

impl Replica {
    /// Returns a replica that continues from the state on its disk.
    ///
    /// It grants no vote before [`MIN_ELECTION_TIMEOUT`] has passed, as it may
    /// have acknowledged a leader shortly before the restart.
    pub fn new(settings: ReplicaSettings, recovered: RecoveredState, now: Instant) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let known_commit = recovered.commit;
        let commit = recovered.snapshot.last_index;
        let state = recovered.snapshot.state.clone();
        let evacuations = Arc::new(recovered.snapshot.evacuations.clone());
        let log = RaftLog::new(recovered.snapshot, recovered.entries);
        let known_commit = known_commit.min(log.last_index());
        let mut replica = Self {
            writes: PendingWrites::new(log.last_index(), known_commit),
            settings,
            rng,
            started: now,
            hard_state: recovered.hard_state,
            log,
            commit,
            leader_commit: None,
            state,
            evacuations,
            role: Role::Follower { leader: None },
            incoming: None,
            no_votes_until: now + MIN_ELECTION_TIMEOUT,
            election_deadline: now,
            departures: Departures::default(),
            outputs: VecDeque::new(),
        };
        replica.commit_to(now, known_commit);
        replica.reset_election_deadline(now);
        replica
    }

    /// Returns the replica's id.
    pub fn id(&self) -> VoterId {
        self.settings.id
    }

    /// Returns the committed entry at `index`, unless a snapshot covers it.
    pub fn committed_entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index).filter(|_| index <= self.commit)
    }

    /// Handles a message from control VM `from`.
    pub fn receive(&mut self, now: Instant, from: VoterId, message: Message) {
        if !message.is_well_formed() {
            log::warn!("ignoring a malformed message from control VM {from}");
            return;
        }
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => self.receive_pre_vote(now, from, term, (last_term, last_index)),
            Message::PreVoteReply { term, granted } => {
                self.receive_pre_vote_reply(now, from, term, granted);
            }
            Message::Vote {
                term,
                last_index,
                last_term,
            } => {
                // A vote now could elect a leader while another holds the lease that this
                // replica has acknowledged.
                if now >= self.no_votes_until {
                    self.receive_vote(now, from, term, (last_term, last_index));
                }
            }
            Message::TransferVote {
                term,
                last_index,
                last_term,
            } => self.receive_vote(now, from, term, (last_term, last_index)),
            Message::StartElection { term } => self.receive_start_election(now, from, term),
            Message::Departure { .. } => self.receive_departure(now, from),
            Message::Released { term } => self.receive_release(term),
            Message::VoteReply { term, granted } => {
                self.receive_vote_reply(now, from, term, granted);
            }
            message @ (Message::Append { .. } | Message::Snapshot { .. }) => {
                self.receive_from_leader(now, from, message);
            }
            Message::AppendReply {
                term,
                sent,
                outcome,
            } => self.receive_append_reply(now, from, term, sent, outcome),
        }
    }

    /// Handles the timeouts that have expired at `now`.
    pub fn tick(&mut self, now: Instant) {
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Returns the instant at which [`Replica::tick`] must be called next.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Returns the next output. An [`Output::Persist`] comes before the outputs
    /// that depend on it.
    pub fn poll_output(&mut self) -> Option<Output> {
        if let Some(output) = self.take_batch() {
            return Some(output);
        }
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        self.take_sendable_message()
    }
}
