//! The sockets of one entry.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use currantgate_config::EntryListen;
use socket2::SockRef;

use crate::EntryError;

/// Bytes that the kernel may hold for a UDP socket before it drops packets.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// The bound sockets of one entry.
///
/// They are bound before the entry starts, so that ports chosen by the system
/// are known when the other entries' settings are written.
#[derive(Debug)]
pub struct EntrySockets {
    pub(crate) fabric: UdpSocket,
    pub(crate) tunnel: UdpSocket,
    pub(crate) peer: UdpSocket,
    pub(crate) announce: TcpListener,
    pub(crate) metrics: TcpListener,
}

impl EntrySockets {
    /// Binds all sockets that `listen` names.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that can't be bound.
    pub fn bind(listen: &EntryListen) -> Result<Self, EntryError> {
        Ok(Self {
            fabric: bind_udp(listen.fabric, "fabric")?,
            tunnel: bind_udp(listen.tunnel, "tunnel")?,
            peer: bind_udp(listen.peer, "peer")?,
            announce: bind_tcp(listen.announce, "announce")?,
            metrics: bind_tcp(listen.metrics, "metrics")?,
        })
    }

    /// Returns the addresses that were bound, ports included.
    ///
    /// # Errors
    ///
    /// Returns an error when the system doesn't tell a socket's address.
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
