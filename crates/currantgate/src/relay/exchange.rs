//! One request of one caller, from its head to its end.

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

use super::answer::{self, AnswerError};
use super::attempt::{Failure, kind_of, try_once};
use super::body::Body;
use super::shared::{Order, Send, Shared};
use super::{headers, refusal};
use crate::TRACE_TARGET;

/// An answer whose head has come.
struct Answer {
    attempt: AttemptId,
    head: Response<()>,
    rx: RecvStream,
    /// The rest of the request's body goes here.
    tx: SendStream<Bytes>,
}

/// How waiting for an answer ended.
enum Wait {
    Answer(Answer),
    Rejected(Refusal, Option<Duration>),
    CallerGone,
}

struct Exchange {
    shared: Rc<Shared>,
    id: RequestId,
    head: Request<()>,
    body: Body,
    orders: UnboundedReceiver<Order>,
}

/// Takes one request and sees to it that its caller learns the outcome.
pub(crate) async fn run(
    shared: Rc<Shared>,
    service: Rc<Service>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let now = Instant::now();
    if !can_be_relayed(&request) {
        refuse(&mut respond, StatusCode::BAD_REQUEST);
        return;
    }
    let Ok(deadline) = headers::read_deadline(request.headers(), now) else {
        refuse(&mut respond, StatusCode::BAD_REQUEST);
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
    let traceparent = shared.trace.carry(head.headers_mut(), id);
    let on_gone = {
        let shared = Rc::clone(&shared);
        Box::new(move || shared.feed(Input::BodyDiscarded { request: id }))
    };
    let body = Body::new(rx, shared.dispatch.replay_bytes, on_gone);
    let span = tracing::debug_span!(
        target: TRACE_TARGET,
        "relay",
        service = %service.name,
        request = id,
        traceparent = %traceparent,
        outcome = tracing::field::Empty,
    );
    shared.feed(Input::Arrived {
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

/// Tells whether a request names all that an upstream must be told; a tunnel
/// asked for with CONNECT does not.
fn can_be_relayed(request: &Request<RecvStream>) -> bool {
    let uri = request.uri();
    request.method() != Method::CONNECT && uri.scheme().is_some() && uri.authority().is_some()
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // A caller that has gone needs no answer.
    let _ = respond.send_response(response, true);
}

impl Exchange {
    /// Returns how the request ended, as metrics name it.
    async fn run(&mut self, mut respond: SendResponse<Bytes>) -> &'static str {
        let wait = tokio::select! {
            wait = self.wait_for_answer() => wait,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => Wait::CallerGone,
        };
        match wait {
            Wait::Answer(answer) => self.pass_on(answer, respond).await,
            Wait::Rejected(reason, retry_after) => {
                reject(&mut respond, reason, retry_after);
                refusal::label(reason)
            }
            Wait::CallerGone => self.cancel(),
        }
    }

    fn cancel(&self) -> &'static str {
        self.shared.feed(Input::Cancelled { request: self.id });
        "cancelled"
    }

    async fn wait_for_answer(&mut self) -> Wait {
        let mut order = self.orders.recv().await;
        loop {
            order = match order {
                Some(Order::Send(send)) => match self.attempt(send).await {
                    Ok(answer) => return Wait::Answer(answer),
                    Err(next) => next,
                },
                Some(Order::Reject(reason, retry_after)) => {
                    return Wait::Rejected(reason, retry_after);
                }
                Some(Order::Answer | Order::Done | Order::Truncated) | None => {
                    return Wait::CallerGone;
                }
            };
        }
    }

    /// Makes one attempt; returns the next order if no answer comes of it.
    async fn attempt(&mut self, send: Send) -> Result<Answer, Option<Order>> {
        let (attempt, connection) = (send.attempt, send.connection);
        self.body.rewind();
        let span = tracing::debug_span!(target: TRACE_TARGET, "attempt", attempt, connection);
        let trying = try_once(&self.head, &mut self.body, send).instrument(span);
        let tried = tokio::select! {
            tried = trying => tried,
            order = self.orders.recv() => return Err(order),
        };
        match tried {
            Ok((head, rx, tx)) => {
                let kind = kind_of(head.status());
                self.shared.feed(Input::ResponseHead { attempt, kind });
                match self.orders.recv().await {
                    Some(Order::Answer) => Ok(Answer {
                        attempt,
                        head,
                        rx,
                        tx,
                    }),
                    order => Err(order),
                }
            }
            Err(Failure::NotProcessed { leave_connection }) => {
                if leave_connection {
                    self.shared.feed(Input::GoAway { connection });
                }
                self.shared.feed(Input::NotProcessed { attempt });
                Err(self.orders.recv().await)
            }
            Err(Failure::Reset) => {
                self.shared.feed(Input::Reset { attempt });
                Err(self.orders.recv().await)
            }
            Err(Failure::CallerGone) => Err(None),
        }
    }

    /// Passes an answer on; returns how that ended, as metrics name it.
    async fn pass_on(
        &mut self,
        mut answer: Answer,
        mut respond: SendResponse<Bytes>,
    ) -> &'static str {
        answer.head.headers_mut().remove(headers::OUTCOME);
        if answer.rx.is_end_stream() {
            // Nothing can break off any more.
            self.shared.feed(Input::ResponseEnd {
                attempt: answer.attempt,
            });
            let sent = respond.send_response(answer.head, true);
            return sent.map_or("cancelled", |_| "answered");
        }
        let Ok(mut tx) = respond.send_response(answer.head, false) else {
            return self.cancel();
        };
        let stall = Duration::from_millis(self.shared.dispatch.stall_ms);
        let passed = {
            let passing = answer::pass_on(&mut answer.rx, &mut tx, stall);
            tokio::pin!(passing);
            let mut pumping = true;
            loop {
                tokio::select! {
                    passed = &mut passing => break passed,
                    _ = self.body.pump(&mut answer.tx), if pumping => pumping = false,
                    // The connection was given up.
                    _ = self.orders.recv() => break Err(AnswerError::Upstream),
                }
            }
        };
        self.end_answer(answer.attempt, passed, &mut tx)
    }

    fn end_answer(
        &mut self,
        attempt: AttemptId,
        passed: Result<Option<HeaderMap>, AnswerError>,
        tx: &mut SendStream<Bytes>,
    ) -> &'static str {
        match passed {
            Ok(trailers) => {
                self.shared.feed(Input::ResponseEnd { attempt });
                if !matches!(self.orders.try_recv(), Ok(Order::Done)) {
                    tx.send_reset(Reason::INTERNAL_ERROR);
                    return "truncated";
                }
                let ended = match trailers {
                    Some(trailers) => tx.send_trailers(trailers),
                    None => tx.send_data(Bytes::new(), true),
                };
                ended.map_or("cancelled", |()| "answered")
            }
            Err(AnswerError::Upstream) => {
                self.shared.feed(Input::Reset { attempt });
                tx.send_reset(Reason::INTERNAL_ERROR);
                "truncated"
            }
            Err(AnswerError::Caller) => {
                tx.send_reset(Reason::CANCEL);
                self.cancel()
            }
        }
    }
}

fn reject(respond: &mut SendResponse<Bytes>, reason: Refusal, retry_after: Option<Duration>) {
    let response = refusal::response(reason, retry_after);
    // A caller that has gone needs no answer.
    if let Ok(mut tx) = respond.send_response(response, false) {
        let _ = tx.send_data(format!("{reason}\n").into(), true);
    }
}
