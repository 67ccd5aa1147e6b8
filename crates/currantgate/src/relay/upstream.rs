//! One connection to an upstream.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use currantgate_request::{ConnectionId, Input};
use futures_util::future::OptionFuture;
use h2::client::{self, Connection, SendRequest};
use h2::{Ping, PingPong};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::shared::Shared;

/// Bytes of an answer that may wait in the relay for a slow caller.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 65_535;

/// Bytes of all streams on one connection that may wait in the relay: enough
/// for 256 streams that wait for slow readers not to hold up the others.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 256 * STREAM_WINDOW_BYTES;

/// Opens a connection, keeps it going and tells the dispatcher what becomes
/// of it. Requests on it learn of its end by their own streams, so that an
/// answer that has come whole is still passed on.
pub(crate) async fn run(
    shared: Rc<Shared>,
    id: ConnectionId,
    address: Option<SocketAddr>,
    ping: Rc<Notify>,
) {
    let Some((sender, mut connection)) = open(address).await else {
        shared.feed(Input::ConnectFailed { connection: id });
        return;
    };
    let ping_pong = connection.ping_pong();
    shared.opened(id, sender);
    shared.feed(Input::Connected { connection: id });
    let pings: OptionFuture<_> = ping_pong
        .map(|ping_pong| keep_pinging(&shared, id, ping_pong, &ping))
        .into();
    tokio::select! {
        result = connection => {
            if let Err(e) = result {
                log::debug!("connection {id} to an upstream ended: {e}");
            }
        }
        Some(()) = pings => {}
    }
    shared.feed(Input::GoAway { connection: id });
}

async fn open(
    address: Option<SocketAddr>,
) -> Option<(SendRequest<Bytes>, Connection<TcpStream, Bytes>)> {
    let address = address?;
    let stream = TcpStream::connect(address)
        .await
        .inspect_err(|e| log::info!("upstream {address} can't be reached: {e}"))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    client::Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream)
        .await
        .inspect_err(|e| log::info!("upstream {address} speaks no HTTP/2: {e}"))
        .ok()
}

/// Sends a PING whenever the dispatcher asks for one; ends with the connection.
async fn keep_pinging(shared: &Rc<Shared>, id: ConnectionId, mut pings: PingPong, ping: &Notify) {
    loop {
        ping.notified().await;
        if pings.ping(Ping::opaque()).await.is_err() {
            return;
        }
        shared.feed(Input::Pong { connection: id });
    }
}
