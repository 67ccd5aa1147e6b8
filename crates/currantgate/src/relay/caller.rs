//! Connections from callers.

use std::rc::Rc;
use std::time::Duration;

use currantgate_config::RequestProtocol;
use h2::server;
use tokio::net::{TcpListener, TcpStream};

use super::active_service::ActiveService;
use super::lingering_close::Linger;
use super::shared::Shared;
use super::upstream::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use super::{exchange, tcp};

/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 256;

/// Time within which a caller must complete the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request's headers in bytes.
const MAX_HEADER_BYTES: u32 = 64 * 1_024;

/// Guard that counts an open connection until dropped.
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared
            .open_connections
            .set(shared.open_connections.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
        self.0.ended.notify_waiters();
    }
}

/// Accepts connections to one service until it stops.
pub(crate) async fn accept(
    shared: Rc<Shared>,
    active_service: Rc<ActiveService>,
    listener: TcpListener,
) {
    let mut stopping = active_service.stopping();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(
                    Rc::clone(&shared),
                    Rc::clone(&active_service),
                    stream,
                ));
            }
            Err(e) => {
                log::warn!(
                    "{}: accepting a connection failed: {e}",
                    active_service.name()
                );
                // The operating system lacks a resource, so an immediate retry would fail too.
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves one connection until it ends or the drain timeout passes.
async fn serve(shared: Rc<Shared>, active_service: Rc<ActiveService>, stream: TcpStream) {
    let _guard = ConnectionGuard::new(&shared);
    let drain = Duration::from_millis(shared.dispatch.drain_ms);
    tokio::select! {
        () = serve_protocol(&shared, &active_service, stream) => {}
        () = active_service.wait_for_drain_timeout(drain) => {
            log::warn!("{}: closed a connection: the drain timeout passed", active_service.name());
        }
    }
}

/// Serves one connection with the protocol of its service.
async fn serve_protocol(
    shared: &Rc<Shared>,
    active_service: &Rc<ActiveService>,
    stream: TcpStream,
) {
    let service = active_service.settings();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(
            "{}: setting TCP_NODELAY on a caller's socket failed: {e}",
            service.name
        );
    }
    match service.requests.protocol {
        RequestProtocol::Tcp => tcp::relay(shared, &service, stream).await,
        RequestProtocol::Http2 => {
            let Ok((stream, linger)) = Linger::new(stream) else {
                log::warn!("{}: duplicating a caller's socket failed", service.name);
                return;
            };
            match serve_http2(shared, active_service, stream).await {
                Ok(()) => linger.wait_for_close().await,
                Err(e) => log::debug!("{}: a caller's connection failed: {e}", service.name),
            }
        }
    }
}

/// Serves HTTP/2 requests until the connection ends; sends a GOAWAY once the service
/// stops.
async fn serve_http2(
    shared: &Rc<Shared>,
    active_service: &Rc<ActiveService>,
    stream: TcpStream,
) -> Result<(), h2::Error> {
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(stream);
    let Ok(handshake) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return Ok(());
    };
    let mut connection = handshake?;
    let mut stopping = active_service.stopping();
    if *stopping.borrow_and_update() {
        connection.graceful_shutdown();
    }
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            Ok(()) = stopping.changed() => {
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        let (shared, service) = (Rc::clone(shared), active_service.settings());
        actix_rt::spawn(exchange::run(shared, service, request, respond));
    }
}
