//! Orders to evacuate failure domains, from their receipt to the answer.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantgate_control::{EvacuationAnswer, EvacuationOrder, Evacuations, Replica, RequestId};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::call::Reply;
use super::core::Core;

/// Time within which an order is answered. Callers give up after a second, and take an
/// answer that says that the outcome is unknown as a reason to try another VM.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between the receipt of an order and its proposal. An order that was delayed, in the
/// sockets of a frozen VM or by a broken link, may be one that its sender has given up. The
/// end of the connection then comes with the order, or a round trip after it when TCP sends
/// both again; callers are 3 ms away.
const GIVE_UP_WAIT: Duration = Duration::from_millis(20);

/// The answer to an order on a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationReply {
    /// The decision of the control VMs.
    Decided(EvacuationAnswer),
    /// The domain does not exist or the order exceeds a limit, as the text says, and nothing
    /// was done.
    InvalidOrder(Box<str>),
    /// This VM feeds no entries, so that nothing could carry out the order.
    Unsupported,
}

/// The evacuations on one control VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalEvacuations {
    /// The committed evacuations that the VM knows of.
    pub(crate) evacuations: Arc<Evacuations>,
    /// Whether the VM knows all orders that were acknowledged before the current term.
    pub(crate) is_caught_up: bool,
    /// Whether the VM's log has orders that are not known to be committed.
    pub(crate) has_uncommitted_orders: bool,
}

impl LocalEvacuations {
    pub(super) fn of(replica: &Replica, now: Instant) -> Self {
        Self {
            evacuations: Arc::clone(replica.evacuations()),
            is_caught_up: replica.is_caught_up(now),
            has_uncommitted_orders: replica.has_uncommitted_orders(),
        }
    }
}

/// An order whose sender waits for the answer. When dropped, the order is cancelled
/// unless it is in the log already.
struct OpenOrder<'a> {
    core: &'a RefCell<Core>,
    order: &'a EvacuationOrder,
    /// The id of the proposal; nothing while the order is not proposed yet.
    id: Option<RequestId>,
    is_answered: bool,
}

impl Drop for OpenOrder<'_> {
    fn drop(&mut self) {
        let is_dropped = self.id.is_none_or(|id| {
            // The VM stops when the state is in use here, and then answers nothing.
            let core = self.core.try_borrow_mut();
            core.is_ok_and(|mut core| core.cancel_order(id))
        });
        if self.is_answered {
            return;
        }
        let outcome = if is_dropped {
            "is dropped"
        } else {
            "may still be committed"
        };
        log::info!(
            event = "evacuation",
            domain = &*self.order.domain,
            action:% = self.order.action;
            "order {outcome}: its caller has left"
        );
    }
}

/// Has an order executed and returns the answer. The sender's task drops the future when
/// the connection ends.
pub(super) async fn execute_order(core: &RefCell<Core>, order: EvacuationOrder) -> EvacuationReply {
    let checked = core.borrow().check_order(&order);
    if let Err(refusal) = checked {
        // Not at a higher level, as any caller can cause any number of these lines.
        if let EvacuationReply::InvalidOrder(problem) = &refusal {
            log::debug!(event = "evacuation", action:% = order.action; "order is refused: {problem}");
        }
        return refusal;
    }
    let mut open = OpenOrder {
        core,
        order: &order,
        id: None,
        is_answered: false,
    };
    // The connection's task drops this future when it reads the end of the connection.
    sleep(GIVE_UP_WAIT).await;
    let (id, reply) = core.borrow_mut().order_evacuation(order.clone());
    open.id = Some(id);
    let answer = match timeout(ORDER_TIMEOUT, reply).await {
        Ok(Ok(Reply::Evacuation(EvacuationReply::Decided(answer)))) => answer,
        _ => EvacuationAnswer::Unknown,
    };
    open.is_answered = true;
    drop(open);
    log::info!(
        event = "evacuation",
        domain = &*order.domain,
        action:% = order.action;
        "order is answered: {answer:?}"
    );
    EvacuationReply::Decided(answer)
}
