//! Incoming streams of a control VM.

use std::cell::RefCell;
use std::rc::Rc;

use currantgate_control::{IncomingStream, TransportError};

use super::call::{CALL_PATH, Call, PEER_PATH, Reply, SUBSCRIBE_PATH};
use super::core::Core;
use super::daemon::StreamHandler;
use super::evacuation::execute_order;
use super::peer::serve_peer;
use super::publishing::{Publishing, serve_subscriber};

/// Serves one stream of another control VM, a subscriber or an operator; streams of other
/// paths go to `other_streams`.
pub(super) async fn serve_stream(
    core: Rc<RefCell<Core>>,
    publishing: Rc<RefCell<Publishing>>,
    other_streams: Option<StreamHandler>,
    incoming: IncomingStream,
) {
    match &*incoming.path {
        PEER_PATH => serve_peer(incoming, |envelope| core.borrow_mut().receive(envelope)).await,
        SUBSCRIBE_PATH => serve_subscriber(&publishing, incoming).await,
        CALL_PATH => serve_call(incoming, async |call| answer(&core, call).await).await,
        other if other_streams.is_none() => {
            log::warn!("{} requests unknown path {other}", incoming.from);
        }
        _ => {
            if let Some(serve) = other_streams {
                serve(incoming).await;
            }
        }
    }
}

/// Reads one request of an operator and sends the reply; without one the stream ends.
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
        log::warn!("answering a request from {from} failed: {e}");
    }
}

/// Carries out a request; returns its reply, or `None` if the request was dropped.
async fn answer(core: &RefCell<Core>, call: Call) -> Option<Reply> {
    let reply = match call {
        Call::Read => return Some(core.borrow().read()),
        Call::FindRevision(revision) => return Some(core.borrow().find_revision(revision)),
        Call::Status => return Some(core.borrow().status()),
        Call::Evacuations => return Some(core.borrow().evacuation_status()),
        Call::EvacuatedFlows => return Some(core.borrow().evacuated_flows()),
        Call::VoterSpread => return Some(Reply::VoterSpread(core.borrow().voter_spread())),
        Call::Evacuate(order) => {
            return Some(Reply::Evacuation(execute_order(core, order).await));
        }
        Call::Apply(request) => core.borrow_mut().apply(request),
        Call::Replace(request) => core.borrow_mut().replace(request),
    };
    // Without a reply the stream ends, and the client reports the outcome as unknown.
    reply.await.ok()
}
