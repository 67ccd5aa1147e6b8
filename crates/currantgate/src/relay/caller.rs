//! Connections of callers.

use std::rc::Rc;
use std::time::Duration;

use currantgate_config::RequestProtocol;
use h2::server;
use tokio::net::{TcpListener, TcpStream};

use super::linger::Linger;
use super::served::Served;
use super::shared::Shared;
use super::upstream::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use super::{exchange, tcp};

/// Requests that one connection may have open at once.
const MAX_STREAMS: u32 = 256;

/// How long a caller may take to begin to speak HTTP/2.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a request's headers that are read.
const MAX_HEADER_BYTES: u32 = 64 * 1_024;

/// Counts an open connection for as long as it lives.
struct Open(Rc<Shared>);

impl Open {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.ended.notify_waiters();
    }
}

/// Takes callers of one service until it is to stop.
pub(crate) async fn accept(shared: Rc<Shared>, served: Rc<Served>, listener: TcpListener) {
    let mut stopping = served.stopping();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(Rc::clone(&shared), Rc::clone(&served), stream));
            }
            Err(e) => {
                log::warn!("{}: a caller could not be accepted: {e}", served.name());
                // The system is short of something; trying on at once won't help.
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves one connection to its end, or until the time to drain is over.
async fn serve(shared: Rc<Shared>, served: Rc<Served>, stream: TcpStream) {
    let _open = Open::new(&shared);
    let drain = Duration::from_millis(shared.dispatch.drain_ms);
    tokio::select! {
        () = speak(&shared, &served, stream) => {}
        () = served.drained(drain) => {
            log::warn!("{}: cut a connection: the time to drain is over", served.name());
        }
    }
}

async fn speak(shared: &Rc<Shared>, served: &Rc<Served>, stream: TcpStream) {
    let service = served.service();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("{}: a caller's socket: {e}", service.name);
    }
    match service.requests.protocol {
        RequestProtocol::Tcp => tcp::relay(shared, &service, stream).await,
        RequestProtocol::Http2 => {
            let Ok((stream, linger)) = Linger::new(stream) else {
                log::warn!("{}: a caller's socket has no second handle", service.name);
                return;
            };
            match serve_http2(shared, served, stream).await {
                Ok(()) => linger.finish().await,
                Err(e) => log::debug!("{}: a caller's connection ended: {e}", service.name),
            }
        }
    }
}

async fn serve_http2(
    shared: &Rc<Shared>,
    served: &Rc<Served>,
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
    let mut stopping = served.stopping();
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
        let (shared, service) = (Rc::clone(shared), served.service());
        actix_rt::spawn(exchange::run(shared, service, request, respond));
    }
}
