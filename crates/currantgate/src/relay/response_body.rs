//! An answer's body on its way to the caller.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use http::HeaderMap;

use super::body::capacity;

/// Why an answer is not passed on to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerError {
    /// The caller went away or took nothing for too long.
    Caller,
    /// The upstream broke the answer off.
    Upstream,
}

/// Passes an answer's body on, reading only as fast as the caller takes it.
///
/// The stream is not ended: that is for the dispatcher to decide. Returns the
/// trailers, if there are any.
pub(crate) async fn pass_on(
    rx: &mut RecvStream,
    tx: &mut SendStream<Bytes>,
    stall: Duration,
) -> Result<Option<HeaderMap>, AnswerError> {
    loop {
        let chunk = tokio::select! {
            chunk = rx.data() => chunk,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => return Err(AnswerError::Caller),
        };
        let Some(chunk) = chunk else { break };
        let chunk = chunk.map_err(|_| AnswerError::Upstream)?;
        let len = chunk.len();
        send(tx, chunk, stall).await?;
        let released = rx.flow_control().release_capacity(len);
        released.map_err(|_| AnswerError::Upstream)?;
    }
    rx.trailers().await.map_err(|_| AnswerError::Upstream)
}

async fn send(
    tx: &mut SendStream<Bytes>,
    mut chunk: Bytes,
    stall: Duration,
) -> Result<(), AnswerError> {
    while !chunk.is_empty() {
        let capacity = tokio::time::timeout(stall, capacity(tx, chunk.len())).await;
        let capacity = capacity.ok().flatten().ok_or(AnswerError::Caller)?;
        let part = chunk.split_to(capacity.min(chunk.len()));
        tx.send_data(part, false).map_err(|_| AnswerError::Caller)?;
    }
    Ok(())
}
