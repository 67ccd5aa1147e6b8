//! The server, which accepts connections.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{FrameReader, FrameWriter, Secret, TransportError};

/// The timeout of the HTTP/2 handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of concurrent streams of a connection.
const MAX_STREAMS: u32 = 32;

/// The maximum size of a request's headers in bytes.
const MAX_HEADER_BYTES: u32 = 4_096;

/// The flow-control window of a stream in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// The delay before a retry after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// The shared key with which messages are authenticated.
    pub secret: Secret,
    /// The maximum number of concurrent connections.
    pub max_connections: usize,
}

/// A stream that another process opened.
#[derive(Debug)]
pub struct IncomingStream {
    /// The address of the client.
    pub from: SocketAddr,
    /// The path of the request, which selects a service.
    pub path: Box<str>,
    /// The reader of the client's messages.
    pub reader: FrameReader,
    /// The writer of messages to the client.
    pub writer: FrameWriter,
}

/// Accepts connections and passes their streams to a service.
#[derive(Debug)]
pub struct Server {
    task: actix_rt::task::JoinHandle<()>,
}

impl Server {
    /// Starts a task on the runtime of the current thread that accepts
    /// connections until the server is dropped.
    ///
    /// Connections are accepted from the addresses for which `is_allowed` returns
    /// `true`. `serve` is called for each stream.
    pub fn start<A, S, F>(
        listener: TcpListener,
        settings: ServerSettings,
        is_allowed: A,
        serve: S,
    ) -> Self
    where
        A: Fn(IpAddr) -> bool + 'static,
        S: Fn(IncomingStream) -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        let task = actix_rt::spawn(accept(listener, settings, is_allowed, Rc::new(serve)));
        Self { task }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<A, S, F>(
    listener: TcpListener,
    settings: ServerSettings,
    is_allowed: A,
    serve: Rc<S>,
) where
    A: Fn(IpAddr) -> bool + 'static,
    S: Fn(IncomingStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    // Ends all connections when the server ends.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if !is_allowed(from.ip()) {
            log::warn!("refusing a connection from {from}: the address is not allowed");
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("refusing a connection from {from}: too many connections");
            continue;
        };
        let secret = settings.secret;
        let serve = Rc::clone(&serve);
        connections.spawn_local(async move {
            if let Err(e) = serve_connection(stream, from, secret, serve).await {
                log::debug!("the connection from {from} ended: {e}");
            }
            drop(permit);
        });
    }
}

async fn serve_connection<S, F>(
    stream: TcpStream,
    from: SocketAddr,
    secret: Secret,
    serve: Rc<S>,
) -> Result<(), TransportError>
where
    S: Fn(IncomingStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    stream.set_nodelay(true)?;
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(WINDOW_BYTES)
        .handshake(stream);
    let handshake = timeout(HANDSHAKE_TIMEOUT, handshake).await;
    let mut connection = handshake.map_err(|_| TransportError::Timeout)??;
    let mut streams = tokio::task::JoinSet::new();
    while let Some(request) = connection.accept().await {
        let (request, response) = request?;
        while streams.try_join_next().is_some() {}
        match start_stream(request, response, from, secret) {
            Ok(incoming) => {
                streams.spawn_local(serve(incoming));
            }
            Err(e) => log::debug!("failed to start a stream from {from}: {e}"),
        }
    }
    Ok(())
}

fn start_stream(
    request: Request<h2::RecvStream>,
    mut response: SendResponse<Bytes>,
    from: SocketAddr,
    secret: Secret,
) -> Result<IncomingStream, TransportError> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::OK;
    let stream = response.send_response(head, false)?;
    let path = request.uri().path().into();
    Ok(IncomingStream {
        from,
        path,
        reader: FrameReader::new(request.into_body(), secret),
        writer: FrameWriter::new(stream, secret),
    })
}
