//! One attempt to send a request to an upstream.

use std::time::Instant;

use bytes::Bytes;
use currantgate_request::ResponseKind;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response, StatusCode};

use super::headers;
use super::request_body::{Body, BodyError};
use super::shared::SendOrder;

/// Why an attempt failed before its response began.
pub(crate) enum AttemptError {
    /// The upstream provably did not process the request. With `is_connection_closing`,
    /// the connection accepts no new streams either.
    NotProcessed { is_connection_closing: bool },
    /// The stream or the connection failed, and the request may have been processed.
    Reset,
    /// The caller reset its stream before the end of its body.
    CallerGone,
}

/// The head of a response, the stream of its body, and the stream for the rest of the
/// request's body.
pub(crate) type ResponseStreams = (Response<()>, RecvStream, SendStream<Bytes>);

/// Sends the request, and its body while it waits for the head of the response.
pub(crate) async fn send_attempt(
    head: &Request<()>,
    body: &mut Body,
    order: SendOrder,
) -> Result<ResponseStreams, AttemptError> {
    let not_sent = |_| AttemptError::NotProcessed {
        is_connection_closing: true,
    };
    let mut sender = order.sender.ready().await.map_err(not_sent)?;
    let mut head = head.clone();
    headers::write_deadline(head.headers_mut(), Instant::now(), order.deadline);
    let empty = body.is_empty();
    let (mut response, mut tx) = sender.send_request(head, empty).map_err(not_sent)?;
    let mut is_sending_body = !empty;
    loop {
        tokio::select! {
            result = &mut response => return begin_response(result, tx),
            sent = body.send_to(&mut tx), if is_sending_body => {
                is_sending_body = false;
                if sent == Err(BodyError::Caller) {
                    return Err(AttemptError::CallerGone);
                }
            }
        }
    }
}

/// Splits a response into its head and streams.
fn begin_response(
    result: <ResponseFuture as Future>::Output,
    tx: SendStream<Bytes>,
) -> Result<ResponseStreams, AttemptError> {
    let (parts, rx) = result.map_err(|e| classify(&e))?.into_parts();
    Ok((Response::from_parts(parts, ()), rx, tx))
}

/// Classifies an error by whether it proves that the upstream did not process the
/// request: a `REFUSED_STREAM`, or a GOAWAY with a lower stream id.
fn classify(e: &h2::Error) -> AttemptError {
    if e.is_remote() && e.is_go_away() {
        return AttemptError::NotProcessed {
            is_connection_closing: true,
        };
    }
    if e.is_remote() && e.is_reset() && e.reason() == Some(Reason::REFUSED_STREAM) {
        return AttemptError::NotProcessed {
            is_connection_closing: false,
        };
    }
    AttemptError::Reset
}

/// Returns what a response's status indicates of the upstream's health.
pub(crate) fn response_kind(status: StatusCode) -> ResponseKind {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            ResponseKind::Failed
        }
        _ => ResponseKind::Served,
    }
}
