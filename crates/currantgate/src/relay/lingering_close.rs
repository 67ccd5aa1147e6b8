//! Lingering close of a connection, so that the peer receives all data.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// Time within which the peer must close the connection, too.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer for discarded data in bytes.
const BUFFER_BYTES: usize = 4_096;

/// A second handle to a connection, which keeps it open for a lingering close.
///
/// Closing a socket with unread data resets the connection, and the peer then loses
/// responses and the GOAWAY that it has not read yet.
#[derive(Debug)]
pub(crate) struct Linger(TcpStream);

impl Linger {
    /// Returns the connection and a second handle to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be duplicated.
    pub(crate) fn new(stream: TcpStream) -> io::Result<(TcpStream, Self)> {
        let stream = stream.into_std()?;
        let second = stream.try_clone()?;
        let linger = Self(TcpStream::from_std(second)?);
        Ok((TcpStream::from_std(stream)?, linger))
    }

    /// Discards received data until the peer closes the connection or the timeout passes.
    /// Call it once the first handle has been closed.
    pub(crate) async fn wait_for_close(mut self) {
        let discard = async {
            let mut buf = [0; BUFFER_BYTES];
            while self.0.read(&mut buf).await.is_ok_and(|len| len > 0) {}
        };
        // After the timeout the connection is closed anyway.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
    }
}
