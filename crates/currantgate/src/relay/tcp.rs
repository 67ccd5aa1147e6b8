//! Relaying of TCP connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantgate_config::{Service, UpstreamId};
use indexmap::IndexMap;
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

use super::shared::Shared;

/// Time within which an upstream must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// Number of open connections to each upstream.
    static OPEN_CONNECTIONS: RefCell<IndexMap<UpstreamId, usize>> = RefCell::default();
}

/// Relays one connection to the upstream with the fewest open connections, or to the next
/// one that accepts. A connection that was accepted is never retried, since the upstream
/// may have processed some of its data.
pub(crate) async fn relay(shared: &Rc<Shared>, service: &Service, mut caller: TcpStream) {
    let mut upstreams = shared.core().upstreams(service.id());
    upstreams.sort_by_key(|(id, _)| open_connections(*id));
    for (id, address) in upstreams {
        let Some(mut upstream) = connect(address).await else {
            continue;
        };
        add_connections(id, 1);
        let copied = copy_bidirectional(&mut caller, &mut upstream).await;
        add_connections(id, -1);
        shared.metrics.count(match copied {
            Ok(_) => "tcp_closed",
            Err(_) => "tcp_broken",
        });
        return;
    }
    log::warn!("{}: no upstream accepted a connection", service.name);
    shared.metrics.count("tcp_refused");
}

/// Connects to an upstream; returns `None` if that fails or times out.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    connected.ok()?.ok()
}

/// Returns the number of open connections to an upstream.
fn open_connections(id: UpstreamId) -> usize {
    OPEN_CONNECTIONS.with_borrow(|open| open.get(&id).copied().unwrap_or(0))
}

/// Adds to the number of open connections to an upstream; an entry at 0 is removed.
fn add_connections(id: UpstreamId, delta: isize) {
    OPEN_CONNECTIONS.with_borrow_mut(|open| {
        let count = open.entry(id).or_insert(0);
        *count = count.saturating_add_signed(delta);
        if *count == 0 {
            open.swap_remove(&id);
        }
    });
}
