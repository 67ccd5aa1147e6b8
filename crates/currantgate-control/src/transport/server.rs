//! The side that takes connections.

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

/// How long the first exchange of a connection may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The most streams of one connection at a time.
const MAX_STREAMS: u32 = 32;

/// The most bytes of headers of one request.
const MAX_HEADER_BYTES: u32 = 4_096;

/// The bytes that may be under way on one stream.
const WINDOW_BYTES: u32 = 1 << 20;

/// How long to wait after the system refused to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// The secret that messages are authenticated with.
    pub secret: Secret,
    /// The most connections at a time.
    pub max_connections: usize,
}

/// One stream that another process opened.
#[derive(Debug)]
pub struct IncomingStream {
    /// Who opened it.
    pub from: SocketAddr,
    /// Which service it asks for.
    pub path: Box<str>,
    /// Its messages.
    pub reader: FrameReader,
    /// The answers.
    pub writer: FrameWriter,
}

/// Takes connections and hands their streams to a service.
#[derive(Debug)]
pub struct Server {
    task: actix_rt::task::JoinHandle<()>,
}

impl Server {
    /// Serves on the current thread's runtime until the server is dropped.
    ///
    /// `is_allowed` tells from which addresses connections are taken; `serve`
    /// is called for each stream.
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
                log::warn!("can't accept a connection: {e}");
                actix_rt::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        if !is_allowed(from.ip()) {
            log::warn!("a connection from {from} is refused: the address is not allowed");
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("a connection from {from} is refused: too many");
            continue;
        };
        let secret = settings.secret;
        let serve = Rc::clone(&serve);
        connections.spawn_local(async move {
            if let Err(e) = drive(stream, from, secret, serve).await {
                log::debug!("the connection from {from} ended: {e}");
            }
            drop(permit);
        });
    }
}

async fn drive<S, F>(
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
            Err(e) => log::debug!("a stream from {from} could not start: {e}"),
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
