//! Streams that other processes open to a control VM.

use std::cell::RefCell;
use std::rc::Rc;

use currantgate_control::{IncomingStream, TransportError};

use super::call::{CALL_PATH, Call, PEER_PATH, Reply, SUBSCRIBE_PATH};
use super::core::Core;
use super::daemon::StreamHandler;
use super::peer::serve_peer;
use super::publishing::{Publishing, serve_subscriber};

/// Serves one stream of another control VM, a subscriber or an operator.
pub(super) async fn serve_stream(
    core: Rc<RefCell<Core>>,
    publishing: Rc<RefCell<Publishing>>,
    extra: Option<StreamHandler>,
    incoming: IncomingStream,
) {
    match &*incoming.path {
        PEER_PATH => serve_peer(incoming, |envelope| core.borrow_mut().receive(envelope)).await,
        SUBSCRIBE_PATH => serve_subscriber(&publishing, incoming).await,
        CALL_PATH => serve_call(incoming, async |call| answer(&core, call).await).await,
        other if extra.is_none() => {
            log::warn!("{} asks for {other}, which there is none", incoming.from);
        }
        _ => {
            if let Some(serve) = extra {
                serve(incoming).await;
            }
        }
    }
}

/// Answers one request of an operator.
pub(super) async fn serve_call(
    mut incoming: IncomingStream,
    answer: impl AsyncFnOnce(Call) -> Option<Reply>,
) {
    let from = incoming.from;
    let exchange = async {
        let call = incoming.reader.next().await?;
        let call = call.ok_or(TransportError::Truncated)?;
        if let Some(reply) = answer(call).await {
            incoming.writer.send(&reply).await?;
        }
        incoming.writer.finish()
    };
    if let Err(e) = exchange.await {
        log::warn!("a request from {from} could not be answered: {e}");
    }
}

async fn answer(core: &RefCell<Core>, call: Call) -> Option<Reply> {
    let waiting = match call {
        Call::Read => return Some(core.borrow().read()),
        Call::FindRevision(revision) => return Some(core.borrow().find_revision(revision)),
        Call::Status => return Some(core.borrow().status()),
        Call::Apply(request) => core.borrow_mut().apply(request),
        Call::Replace(request) => core.borrow_mut().replace(request),
    };
    // Without an answer the stream ends, and the outcome is unknown.
    waiting.await.ok()
}
