//! The client, which opens connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use http::Request;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::{FrameReader, FrameWriter, Secret, TransportError, first_to_end};

/// The timeout for establishing a connection. It allows for many round trips,
/// and is below the second after which the operating system resends a lost SYN
/// packet, so that a new attempt reaches a VM that has just restarted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The interval at which another attempt is made while the earlier ones hang.
/// With [`CONNECT_TIMEOUT`] at most 8 descriptors are in use for one connection.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(40);

/// The flow-control window of a stream in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// The interval of the probes of a connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The timeout of a probe: many round trips, also to a VM that is short of processor time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to another process. Its task is aborted when it is dropped.
#[derive(Debug)]
pub struct Client {
    requests: SendRequest<Bytes>,
    secret: Secret,
    driver: actix_rt::task::JoinHandle<()>,
}

impl Client {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or is not established in time.
    pub async fn connect(address: SocketAddr, secret: Secret) -> Result<Self, TransportError> {
        let (requests, connection) = handshake(address).await?;
        let never = std::future::pending();
        Ok(Self::start(address, secret, requests, connection, never))
    }

    /// Connects to `address`, and ends the connection when probes are not answered: one that
    /// carries no messages could otherwise be dead without notice.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or is not established in time.
    pub async fn connect_probed(
        address: SocketAddr,
        secret: Secret,
    ) -> Result<Self, TransportError> {
        let (requests, mut connection) = handshake(address).await?;
        let pings = connection.ping_pong();
        let failure = async move {
            match pings {
                Some(pings) => probe(pings).await,
                None => std::future::pending().await,
            }
        };
        Ok(Self::start(address, secret, requests, connection, failure))
    }

    /// Starts the task that drives the connection until it ends or `failure` does.
    fn start(
        address: SocketAddr,
        secret: Secret,
        requests: SendRequest<Bytes>,
        connection: Connection,
        failure: impl Future<Output = TransportError> + 'static,
    ) -> Self {
        let driver = actix_rt::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(e) = ended {
                    log::debug!("the connection to {address} ended: {e}");
                },
                e = failure => {
                    log::info!("the connection to {address} is given up: a probe failed: {e}");
                }
            }
        });
        Self {
            requests,
            secret,
            driver,
        }
    }

    /// Opens a bidirectional stream for `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails, the path is malformed or the
    /// server refuses the stream.
    pub async fn open(&self, path: &str) -> Result<(FrameWriter, FrameReader), TransportError> {
        let mut requests = self.requests.clone().ready().await?;
        let request = Request::post(format!("http://control{path}"));
        let request = request.body(()).map_err(|_| TransportError::BadPath)?;
        let (response, stream) = requests.send_request(request, false)?;
        let response = response.await?;
        if !response.status().is_success() {
            return Err(TransportError::Status(response.status().as_u16()));
        }
        let reader = FrameReader::new(response.into_body(), self.secret);
        Ok((FrameWriter::new(stream, self.secret), reader))
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An HTTP/2 connection that is to be driven.
type Connection = h2::client::Connection<TcpStream, Bytes>;

async fn handshake(
    address: SocketAddr,
) -> Result<(SendRequest<Bytes>, Connection), TransportError> {
    let connecting = async {
        let stream = first_to_end(ATTEMPT_INTERVAL, || TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .enable_push(false)
            .handshake(stream);
        Ok::<_, TransportError>(handshake.await?)
    };
    let connected = timeout(CONNECT_TIMEOUT, connecting).await;
    connected.map_err(|_| TransportError::Timeout)?
}

/// Sends probes until one fails, and returns the failure.
async fn probe(mut pings: PingPong) -> TransportError {
    loop {
        sleep(PROBE_INTERVAL).await;
        match timeout(PROBE_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return e.into(),
            Err(_) => return TransportError::Timeout,
        }
    }
}
