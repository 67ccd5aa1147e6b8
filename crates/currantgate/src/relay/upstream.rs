//! Connections to upstreams.

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

/// Flow-control window of a stream in bytes: the amount that the relay buffers for a slow
/// reader.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 65_535;

/// Flow-control window of a connection in bytes: enough that 256 streams with slow readers
/// don't block the others.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 256 * STREAM_WINDOW_BYTES;

/// Opens a connection, drives it and reports its state to the dispatcher. Requests detect
/// its end on their own streams, so that a response received whole is still forwarded.
pub(crate) async fn run(
    shared: Rc<Shared>,
    id: ConnectionId,
    address: Option<SocketAddr>,
    ping: Rc<Notify>,
) {
    let Some((sender, mut connection)) = connect(address).await else {
        shared.handle(Input::ConnectFailed { connection: id });
        return;
    };
    let ping_pong = connection.ping_pong();
    shared.set_sender(id, sender);
    shared.handle(Input::Connected { connection: id });
    let pings: OptionFuture<_> = ping_pong
        .map(|ping_pong| send_pings(&shared, id, ping_pong, &ping))
        .into();
    tokio::select! {
        result = connection => {
            if let Err(e) = result {
                log::debug!("connection {id} to an upstream failed: {e}");
            }
        }
        Some(()) = pings => {}
    }
    shared.handle(Input::GoAway { connection: id });
}

/// Opens an HTTP/2 connection; returns `None` if that fails.
async fn connect(
    address: Option<SocketAddr>,
) -> Option<(SendRequest<Bytes>, Connection<TcpStream, Bytes>)> {
    let address = address?;
    let stream = TcpStream::connect(address)
        .await
        .inspect_err(|e| log::info!("upstream {address} is unreachable: {e}"))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    client::Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream)
        .await
        .inspect_err(|e| log::info!("the HTTP/2 handshake with upstream {address} failed: {e}"))
        .ok()
}

/// Sends a PING at each request of the dispatcher and reports each PONG, until the
/// connection ends.
async fn send_pings(shared: &Rc<Shared>, id: ConnectionId, mut ping_pong: PingPong, ping: &Notify) {
    loop {
        ping.notified().await;
        if ping_pong.ping(Ping::opaque()).await.is_err() {
            return;
        }
        shared.handle(Input::Pong { connection: id });
    }
}
