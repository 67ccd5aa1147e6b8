//! The exchange of one request of a caller and its response.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantgate_config::Service;
use currantgate_request::{AttemptId, Input, Refusal, Repeatability, RequestId};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::Instrument as _;

use super::attempt::{AttemptError, response_kind, send_attempt};
use super::request_body::Body;
use super::response_body::{self, ForwardError};
use super::shared::{Order, SendOrder, Shared};
use super::{headers, refusal};
use crate::TRACE_TARGET;

/// A response of an upstream whose head has been received.
struct UpstreamResponse {
    attempt: AttemptId,
    head: Response<()>,
    rx: RecvStream,
    /// The stream for the rest of the request's body.
    tx: SendStream<Bytes>,
}

/// The result of waiting for a response.
enum Waited {
    Response(UpstreamResponse),
    Rejected(Refusal, Option<Duration>),
    CallerGone,
}

/// The exchange of one request of a caller and its response.
struct Exchange {
    shared: Rc<Shared>,
    id: RequestId,
    head: Request<()>,
    body: Body,
    /// Orders of the dispatcher for this request.
    orders: UnboundedReceiver<Order>,
}

/// Handles one request until it is settled, and counts its outcome.
pub(crate) async fn run(
    shared: Rc<Shared>,
    service: Rc<Service>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let now = Instant::now();
    if !can_be_relayed(&request) {
        send_status(&mut respond, StatusCode::BAD_REQUEST);
        return;
    }
    let Ok(deadline) = headers::read_deadline(request.headers(), now) else {
        send_status(&mut respond, StatusCode::BAD_REQUEST);
        return;
    };
    let timeout = Duration::from_millis(service.requests.timeout_ms);
    let deadline = deadline.unwrap_or(now + timeout);
    let repeatable = service
        .requests
        .is_repeatable(request.method().as_str(), request.uri().path());
    let repeatability = match repeatable {
        true => Repeatability::Repeatable,
        false => Repeatability::Once,
    };

    let (id, orders) = shared.register();
    let (parts, rx) = request.into_parts();
    let mut head = Request::from_parts(parts, ());
    let traceparent = shared.trace.propagate(head.headers_mut(), id);
    let on_discard = {
        let shared = Rc::clone(&shared);
        Box::new(move || shared.handle(Input::BodyDiscarded { request: id }))
    };
    let body = Body::new(rx, shared.dispatch.replay_bytes, on_discard);
    let span = tracing::debug_span!(
        target: TRACE_TARGET,
        "relay",
        service = %service.name,
        request = id,
        traceparent = %traceparent,
        outcome = tracing::field::Empty,
    );
    shared.handle(Input::Arrived {
        request: id,
        service: service.id(),
        deadline,
        repeatability,
    });
    let mut exchange = Exchange {
        shared: Rc::clone(&shared),
        id,
        head,
        body,
        orders,
    };
    let outcome = exchange.run(respond).instrument(span.clone()).await;
    span.record("outcome", outcome);
    shared.metrics.count(outcome);
    shared.unregister(id);
}

/// Returns whether a request can be relayed: it has a scheme and an authority for the
/// upstream, and does not open a tunnel with CONNECT.
fn can_be_relayed(request: &Request<RecvStream>) -> bool {
    let uri = request.uri();
    request.method() != Method::CONNECT && uri.scheme().is_some() && uri.authority().is_some()
}

/// Responds with a status and no body.
fn send_status(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // Fails only if the caller has reset the stream.
    let _ = respond.send_response(response, true);
}

impl Exchange {
    /// Runs the exchange; returns the value of the `outcome` label.
    async fn run(&mut self, mut respond: SendResponse<Bytes>) -> &'static str {
        let waited = tokio::select! {
            waited = self.wait_for_response() => waited,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => Waited::CallerGone,
        };
        match waited {
            Waited::Response(response) => self.forward_response(response, respond).await,
            Waited::Rejected(reason, retry_after) => {
                reject(&mut respond, reason, retry_after);
                refusal::label(reason)
            }
            Waited::CallerGone => self.cancel(),
        }
    }

    /// Reports that the caller cancelled the request; returns the `outcome` label.
    fn cancel(&self) -> &'static str {
        self.shared.handle(Input::Cancelled { request: self.id });
        "cancelled"
    }

    /// Carries out orders until a response begins or the request ends without one.
    async fn wait_for_response(&mut self) -> Waited {
        let mut order = self.orders.recv().await;
        loop {
            order = match order {
                Some(Order::Send(order)) => match self.attempt(order).await {
                    Ok(response) => return Waited::Response(response),
                    Err(next) => next,
                },
                Some(Order::Reject(reason, retry_after)) => {
                    return Waited::Rejected(reason, retry_after);
                }
                Some(Order::Forward | Order::End | Order::Abort) | None => {
                    return Waited::CallerGone;
                }
            };
        }
    }

    /// Makes one attempt; returns the next order if it ends without a response.
    async fn attempt(&mut self, order: SendOrder) -> Result<UpstreamResponse, Option<Order>> {
        let (attempt, connection) = (order.attempt, order.connection);
        self.body.rewind();
        let span = tracing::debug_span!(target: TRACE_TARGET, "attempt", attempt, connection);
        let sending = send_attempt(&self.head, &mut self.body, order).instrument(span);
        let result = tokio::select! {
            result = sending => result,
            order = self.orders.recv() => return Err(order),
        };
        match result {
            Ok((head, rx, tx)) => {
                let kind = response_kind(head.status());
                self.shared.handle(Input::ResponseHead { attempt, kind });
                match self.orders.recv().await {
                    Some(Order::Forward) => Ok(UpstreamResponse {
                        attempt,
                        head,
                        rx,
                        tx,
                    }),
                    order => Err(order),
                }
            }
            Err(AttemptError::NotProcessed {
                is_connection_closing,
            }) => {
                if is_connection_closing {
                    self.shared.handle(Input::GoAway { connection });
                }
                self.shared.handle(Input::NotProcessed { attempt });
                Err(self.orders.recv().await)
            }
            Err(AttemptError::Reset) => {
                self.shared.handle(Input::Reset { attempt });
                Err(self.orders.recv().await)
            }
            Err(AttemptError::CallerGone) => Err(None),
        }
    }

    /// Forwards a response; returns the value of the `outcome` label.
    async fn forward_response(
        &mut self,
        mut response: UpstreamResponse,
        mut respond: SendResponse<Bytes>,
    ) -> &'static str {
        response.head.headers_mut().remove(headers::OUTCOME);
        if response.rx.is_end_stream() {
            // The response is complete, so it can't fail any more.
            self.shared.handle(Input::ResponseEnd {
                attempt: response.attempt,
            });
            let sent = respond.send_response(response.head, true);
            return sent.map_or("cancelled", |_| "answered");
        }
        let Ok(mut tx) = respond.send_response(response.head, false) else {
            return self.cancel();
        };
        let stall = Duration::from_millis(self.shared.dispatch.stall_ms);
        let forwarded = {
            let forwarding = response_body::forward_body(&mut response.rx, &mut tx, stall);
            tokio::pin!(forwarding);
            let mut is_sending_body = true;
            loop {
                tokio::select! {
                    forwarded = &mut forwarding => break forwarded,
                    _ = self.body.send_to(&mut response.tx), if is_sending_body => is_sending_body = false,
                    // The dispatcher has closed the connection.
                    _ = self.orders.recv() => break Err(ForwardError::Upstream),
                }
            }
        };
        self.end_response(response.attempt, forwarded, &mut tx)
    }

    /// Ends the caller's stream after its body; returns the value of the `outcome` label.
    fn end_response(
        &mut self,
        attempt: AttemptId,
        forwarded: Result<Option<HeaderMap>, ForwardError>,
        tx: &mut SendStream<Bytes>,
    ) -> &'static str {
        match forwarded {
            Ok(trailers) => {
                self.shared.handle(Input::ResponseEnd { attempt });
                if !matches!(self.orders.try_recv(), Ok(Order::End)) {
                    tx.send_reset(Reason::INTERNAL_ERROR);
                    return "truncated";
                }
                let ended = match trailers {
                    Some(trailers) => tx.send_trailers(trailers),
                    None => tx.send_data(Bytes::new(), true),
                };
                ended.map_or("cancelled", |()| "answered")
            }
            Err(ForwardError::Upstream) => {
                self.shared.handle(Input::Reset { attempt });
                tx.send_reset(Reason::INTERNAL_ERROR);
                "truncated"
            }
            Err(ForwardError::Caller) => {
                tx.send_reset(Reason::CANCEL);
                self.cancel()
            }
        }
    }
}

/// Responds to a refused request; the body is the reason.
fn reject(respond: &mut SendResponse<Bytes>, reason: Refusal, retry_after: Option<Duration>) {
    let response = refusal::response(reason, retry_after);
    // Fails only if the caller has reset the stream.
    if let Ok(mut tx) = respond.send_response(response, false) {
        let _ = tx.send_data(format!("{reason}\n").into(), true);
    }
}
