//! The sockets of one entry.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use currantgate_config::EntryListen;
use socket2::SockRef;

use crate::EntryError;

/// Size of the receive buffer of a UDP socket in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// The bound sockets of one entry.
///
/// They are bound before the entry starts, so that ports assigned by the operating
/// system are known when the settings of the other entries are written.
#[derive(Debug)]
pub struct EntrySockets {
    pub(crate) fabric: UdpSocket,
    pub(crate) tunnel: UdpSocket,
    pub(crate) peer: UdpSocket,
    pub(crate) announce: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl EntrySockets {
    /// Binds all sockets of `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that can't be bound.
    pub fn bind(listen: &EntryListen) -> Result<Self, EntryError> {
        Ok(Self {
            fabric: bind_udp(listen.fabric, "fabric")?,
            tunnel: bind_udp(listen.tunnel, "tunnel")?,
            peer: bind_udp(listen.peer, "peer")?,
            announce: bind_tcp(listen.announce, "announce")?,
            metrics: bind_tcp(listen.metrics, "metrics")?,
        })
    }

    /// Returns the bound addresses with their ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of a socket can't be read.
    pub fn addresses(&self) -> std::io::Result<EntryListen> {
        Ok(EntryListen {
            fabric: self.fabric.local_addr()?,
            tunnel: self.tunnel.local_addr()?,
            peer: self.peer.local_addr()?,
            announce: self.announce.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

/// Binds a non-blocking UDP socket with an enlarged receive buffer.
fn bind_udp(address: SocketAddr, purpose: &'static str) -> Result<UdpSocket, EntryError> {
    let bind = || {
        let socket = UdpSocket::bind(address)?;
        SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    };
    bind().map_err(|source| EntryError::Bind {
        address,
        purpose,
        source,
    })
}

fn bind_tcp(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).map_err(|source| EntryError::Bind {
        address,
        purpose,
        source,
    })
}
