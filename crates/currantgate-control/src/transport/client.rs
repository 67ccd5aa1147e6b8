//! The side that opens connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{FrameReader, FrameWriter, Secret, TransportError};

/// How long a connection may take to come up: many round trips, and below the
/// second after which the system repeats a lost first packet, so that a VM that
/// has just come back is found by the next try.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The bytes that may be under way on one stream.
const WINDOW_BYTES: u32 = 1 << 20;

/// One connection to another process; the task that drives it ends with it.
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
    /// Returns an error when the connection does not come up in time.
    pub async fn connect(address: SocketAddr, secret: Secret) -> Result<Self, TransportError> {
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
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

    /// Opens a stream in both directions at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is broken or the other side
    /// refuses the stream.
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
