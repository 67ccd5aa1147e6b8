//! Outputs of a replica, which its owner carries out.

use std::sync::Arc;

use crate::{
    ApplyAnswer, Batch, BatchId, Change, EvacuationAnswer, Evacuations, Message, ReadAnswer,
    ReplaceAnswer, RequestId, VoterId,
};

/// An output of a replica, which its owner carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write and sync a batch, then call [`crate::Replica::persisted`].
    Persist {
        /// The id to confirm.
        id: BatchId,
        /// The writes.
        batch: Batch,
    },
    /// Send a message. All writes that it depends on are synced.
    Send {
        /// The receiver.
        to: VoterId,
        /// The message.
        message: Message,
    },
    /// Answer a request to change the site file.
    Applied {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ApplyAnswer,
    },
    /// Answer a request to change the voters.
    Replaced {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ReplaceAnswer,
    },
    /// Answer a read that requires the confirmation of a quorum.
    ReadDone {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ReadAnswer,
    },
    /// Distribute a committed change to entries and relays.
    Committed(Arc<Change>),
    /// Answer an order to evacuate a failure domain, or to end that.
    Ordered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: EvacuationAnswer,
    },
    /// Distribute the evacuations after a committed order or a snapshot.
    Evacuated(Arc<Evacuations>),
}
