//! Plain TCP, relayed byte by byte.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_config::{Service, UpstreamId};
use indexmap::IndexMap;
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

use super::shared::Shared;

/// How long an upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// Connections that are relayed to each upstream.
    static OPEN: RefCell<IndexMap<UpstreamId, usize>> = RefCell::default();
}

/// Relays one connection to the upstream with the fewest, or to the next one
/// while none has accepted; after that nothing is tried again, since bytes may
/// have been taken.
pub(crate) async fn relay(shared: &Rc<Shared>, service: &Service, mut caller: TcpStream) {
    let mut upstreams = shared.core().upstreams(service.id());
    upstreams.sort_by_key(|(id, _)| open(*id));
    for (id, address) in upstreams {
        let Some(mut upstream) = connect(address).await else {
            continue;
        };
        change(id, 1);
        let copied = copy_bidirectional(&mut caller, &mut upstream).await;
        change(id, -1);
        shared.metrics.count(match copied {
            Ok(_) => "tcp_closed",
            Err(_) => "tcp_broken",
        });
        return;
    }
    log::warn!("{}: no upstream accepts a connection", service.name);
    shared.metrics.count("tcp_refused");
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    connected.ok()?.ok()
}

fn open(id: UpstreamId) -> usize {
    OPEN.with_borrow(|open| open.get(&id).copied().unwrap_or(0))
}

fn change(id: UpstreamId, by: isize) {
    OPEN.with_borrow_mut(|open| {
        let count = open.entry(id).or_insert(0);
        *count = count.saturating_add_signed(by);
        if *count == 0 {
            open.swap_remove(&id);
        }
    });
}
