//! The client, which opens connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;
use tokio::time::timeout;

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
        let (requests, connection) = connected.map_err(|_| TransportError::Timeout)??;
        let driver = actix_rt::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("the connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            requests,
            secret,
            driver,
        })
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
