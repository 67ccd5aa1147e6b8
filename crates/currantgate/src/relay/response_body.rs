//! Forwarding of a response's body to the caller.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use http::HeaderMap;

use super::request_body::wait_for_capacity;

/// The side that ended a response before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The caller reset the stream, or accepted no data within the stall timeout.
    Caller,
    /// The upstream reset the stream or its connection failed.
    Upstream,
}

/// Forwards a response's body, reading it only as fast as the caller accepts it.
///
/// Returns the trailers, if any. The caller's stream is left open, as the dispatcher
/// decides how it ends.
pub(crate) async fn forward_body(
    rx: &mut RecvStream,
    tx: &mut SendStream<Bytes>,
    stall: Duration,
) -> Result<Option<HeaderMap>, ForwardError> {
    loop {
        let chunk = tokio::select! {
            chunk = rx.data() => chunk,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => return Err(ForwardError::Caller),
        };
        let Some(chunk) = chunk else { break };
        let chunk = chunk.map_err(|_| ForwardError::Upstream)?;
        let len = chunk.len();
        send(tx, chunk, stall).await?;
        let released = rx.flow_control().release_capacity(len);
        released.map_err(|_| ForwardError::Upstream)?;
    }
    rx.trailers().await.map_err(|_| ForwardError::Upstream)
}

/// Sends a chunk; fails if the caller accepts no data within `stall`.
async fn send(
    tx: &mut SendStream<Bytes>,
    mut chunk: Bytes,
    stall: Duration,
) -> Result<(), ForwardError> {
    while !chunk.is_empty() {
        let capacity = tokio::time::timeout(stall, wait_for_capacity(tx, chunk.len())).await;
        let capacity = capacity.ok().flatten().ok_or(ForwardError::Caller)?;
        let part = chunk.split_to(capacity.min(chunk.len()));
        tx.send_data(part, false)
            .map_err(|_| ForwardError::Caller)?;
    }
    Ok(())
}
