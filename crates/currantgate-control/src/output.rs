//! What a replica wants done.

use std::sync::Arc;

use crate::{
    ApplyAnswer, Batch, BatchId, Change, Message, ReadAnswer, ReplaceAnswer, RequestId, VoterId,
};

/// What a replica wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write and sync, then call [`crate::Replica::persisted`].
    Persist {
        /// Names the batch.
        id: BatchId,
        /// What to write.
        batch: Batch,
    },
    /// Send a message; all it depends on is synced.
    Send {
        /// The other control VM.
        to: VoterId,
        /// What it is told.
        message: Message,
    },
    /// Answer an operator's change.
    Applied {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ApplyAnswer,
    },
    /// Answer an operator's replacement of a voter.
    Replaced {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ReplaceAnswer,
    },
    /// Answer a read that waited for a quorum.
    ReadDone {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ReadAnswer,
    },
    /// A revision is committed: hand it on to entries and relays.
    Committed(Arc<Change>),
}
