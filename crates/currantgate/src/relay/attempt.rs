//! One attempt to have a request answered by an upstream.

use std::time::Instant;

use bytes::Bytes;
use currantgate_request::ResponseKind;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response, StatusCode};

use super::body::{Body, BodyError};
use super::headers;
use super::shared::Send;

/// How an attempt failed before its answer began.
pub(crate) enum Failure {
    /// There is proof that the upstream did not process it; the connection may
    /// take no new streams.
    NotProcessed { leave_connection: bool },
    /// The upstream broke it off.
    Reset,
    /// The caller broke its body off.
    CallerGone,
}

/// The head of an answer, the rest of it, and where the rest of the request goes.
pub(crate) type Head = (Response<()>, RecvStream, SendStream<Bytes>);

/// Sends the request and waits for the head of its answer, while the body
/// goes on its way.
pub(crate) async fn try_once(
    head: &Request<()>,
    body: &mut Body,
    send: Send,
) -> Result<Head, Failure> {
    let unsent = |_| Failure::NotProcessed {
        leave_connection: true,
    };
    let mut sender = send.sender.ready().await.map_err(unsent)?;
    let mut head = head.clone();
    headers::write_deadline(head.headers_mut(), Instant::now(), send.deadline);
    let empty = body.is_empty();
    let (mut response, mut tx) = sender.send_request(head, empty).map_err(unsent)?;
    let mut pumping = !empty;
    loop {
        tokio::select! {
            answer = &mut response => return begin(answer, tx),
            pumped = body.pump(&mut tx), if pumping => {
                pumping = false;
                if pumped == Err(BodyError::Caller) {
                    return Err(Failure::CallerGone);
                }
            }
        }
    }
}

fn begin(
    answer: <ResponseFuture as Future>::Output,
    tx: SendStream<Bytes>,
) -> Result<Head, Failure> {
    let (parts, rx) = answer.map_err(|e| classify(&e))?.into_parts();
    Ok((Response::from_parts(parts, ()), rx, tx))
}

/// Tells whether an error proves that the upstream did not process a stream:
/// it refused the stream, or its GOAWAY names a lower one.
fn classify(e: &h2::Error) -> Failure {
    if e.is_remote() && e.is_go_away() {
        return Failure::NotProcessed {
            leave_connection: true,
        };
    }
    if e.is_remote() && e.is_reset() && e.reason() == Some(Reason::REFUSED_STREAM) {
        return Failure::NotProcessed {
            leave_connection: false,
        };
    }
    Failure::Reset
}

/// Tells what an answer's status says of the upstream's health.
pub(crate) fn kind_of(status: StatusCode) -> ResponseKind {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            ResponseKind::Failed
        }
        _ => ResponseKind::Served,
    }
}
