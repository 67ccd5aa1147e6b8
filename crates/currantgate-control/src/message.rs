//! Messages between control VMs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Term};

/// The exclusive upper limit of terms, indexes and sizes in messages: far above
/// any real value, and low enough that sums can't overflow.
const NUMBER_LIMIT: u64 = 1 << 62;

/// A message from one control VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a pre-vote: whether the receiver would grant a vote in `term`.
    /// It changes no state of the receiver.
    PreVote {
        /// The term that the sender would start.
        term: Term,
        /// The index of the sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Replies to [`Message::PreVote`].
    PreVoteReply {
        /// The term of the request if the vote would be granted, otherwise the
        /// voter's own term.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term that the sender started.
        term: Term,
        /// The index of the sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Replies to [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries, and serves as a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The index of the entry before the first one sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries that follow, if any.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The send time, as the time since the leader's process started, on the
        /// leader's clock.
        sent: Duration,
        /// Whether the receiver is not a voter yet.
        learner: bool,
    },
    /// Replies to [`Message::Append`] and [`Message::Snapshot`].
    AppendReply {
        /// The follower's term.
        term: Term,
        /// The send time in the message that this replies to.
        sent: Duration,
        /// The result of that message.
        outcome: AppendOutcome,
    },
    /// Transfers a chunk of a snapshot to a follower whose next entry is no
    /// longer in the leader's log.
    Snapshot {
        /// The leader's term.
        term: Term,
        /// The index of the last entry that the snapshot covers.
        last_index: Index,
        /// The offset of the chunk in the snapshot in bytes.
        offset: u64,
        /// The length of the whole snapshot in bytes.
        total: u64,
        /// The BLAKE3 digest of the whole snapshot.
        digest: [u8; 32],
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The send time, as the time since the leader's process started, on the
        /// leader's clock.
        sent: Duration,
        /// Whether the receiver is not a voter yet.
        learner: bool,
    },
    /// Asks the receiver to start an election at once: the leader of `term`, which sends it,
    /// has resigned.
    StartElection {
        /// The term of the resigned leader.
        term: Term,
    },
    /// Requests a vote after [`Message::StartElection`]. The previous term's leader holds no
    /// lease any more, so that voters need not wait until its lease has expired.
    TransferVote {
        /// The term that the sender started.
        term: Term,
        /// The index of the sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Announces that the sender stops, and requests that its vote is handed over.
    Departure {
        /// The sender's term.
        term: Term,
    },
    /// Replies to [`Message::Departure`]: the receiver is not a voter, and this is committed.
    Released {
        /// The leader's term.
        term: Term,
    },
}

/// The result of a message of the leader at a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log matches the leader's up to this index and is synced.
    Matched(Index),
    /// The entry before the first one sent is missing or has another term.
    Mismatch {
        /// The index of that entry.
        prev_index: Index,
        /// The highest index at which the logs may match.
        hint: Index,
    },
    /// A chunk was received; the next one starts at `offset`.
    Chunk {
        /// The index of the last entry that the snapshot covers.
        last_index: Index,
        /// The number of bytes received so far.
        offset: u64,
    },
    /// The message has an earlier term than the follower.
    StaleTerm,
}

impl Message {
    /// Returns whether the numbers are below the limit and the fields are
    /// consistent. A message that is not well-formed is ignored.
    pub fn is_well_formed(&self) -> bool {
        let numbers = match self {
            Self::PreVote {
                term,
                last_index,
                last_term,
            }
            | Self::Vote {
                term,
                last_index,
                last_term,
            }
            | Self::TransferVote {
                term,
                last_index,
                last_term,
            } => [*term, *last_index, *last_term, 0],
            Self::PreVoteReply { term, .. }
            | Self::VoteReply { term, .. }
            | Self::StartElection { term }
            | Self::Departure { term }
            | Self::Released { term } => [*term, 0, 0, 0],
            Self::AppendReply { term, outcome, .. } => {
                let (a, b) = outcome.numbers();
                [*term, a, b, 0]
            }
            Self::Append {
                term,
                prev_index,
                prev_term,
                commit,
                ..
            } => [*term, *prev_index, *prev_term, *commit],
            Self::Snapshot {
                term,
                last_index,
                offset,
                total,
                ..
            } => [*term, *last_index, *offset, *total],
        };
        numbers.into_iter().all(|n| n < NUMBER_LIMIT) && self.is_consistent()
    }

    fn is_consistent(&self) -> bool {
        match self {
            Self::Append {
                term,
                prev_index,
                entries,
                ..
            } => entries
                .iter()
                .zip(prev_index + 1..)
                .all(|(entry, index)| entry.index == index && entry.term <= *term),
            Self::Snapshot {
                offset,
                total,
                data,
                ..
            } => offset + data.len() as u64 <= *total,
            _ => true,
        }
    }

    /// Returns the sender's term.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Snapshot { term, .. }
            | Self::StartElection { term }
            | Self::TransferVote { term, .. }
            | Self::Departure { term }
            | Self::Released { term } => *term,
        }
    }
}

impl AppendOutcome {
    fn numbers(&self) -> (u64, u64) {
        match *self {
            Self::Matched(index) => (index, 0),
            Self::Mismatch { prev_index, hint } => (prev_index, hint),
            Self::Chunk { last_index, offset } => (last_index, offset),
            Self::StaleTerm => (0, 0),
        }
    }
}
