//! Closing a connection without losing what the other end has not read.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// How long the other end may take to close, too.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes that are thrown away at once.
const BUFFER_BYTES: usize = 4_096;

/// A second handle on a connection that keeps the system from resetting it.
///
/// A socket that is closed with unread bytes resets the connection, and the
/// other end then loses the last answers and the GOAWAY that it has not read.
#[derive(Debug)]
pub(crate) struct Linger(TcpStream);

impl Linger {
    /// Returns the connection and a second handle on it.
    ///
    /// # Errors
    ///
    /// Returns an error when the system has no more handles.
    pub(crate) fn new(stream: TcpStream) -> io::Result<(TcpStream, Self)> {
        let stream = stream.into_std()?;
        let second = stream.try_clone()?;
        let linger = Self(TcpStream::from_std(second)?);
        Ok((TcpStream::from_std(stream)?, linger))
    }

    /// Waits until the other end closes, once this end has.
    pub(crate) async fn finish(mut self) {
        let drain = async {
            let mut buf = [0; BUFFER_BYTES];
            while self.0.read(&mut buf).await.is_ok_and(|len| len > 0) {}
        };
        // Whoever is too slow has lost nothing that waiting longer would save.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}
