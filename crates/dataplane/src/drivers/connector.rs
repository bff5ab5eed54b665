//! Opens byte streams to runners and to other daemons. The drivers depend only on the traits in this module, so that
//! they work over any transport, and tests can inject a failure at each byte of an exchange.

use common::frames::{SocketAddress, connect_from};
use common::sockets;
use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connected, bidirectional byte stream.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// Resolves to a connected stream.
pub type ConnectFuture<'a> =
    Pin<Box<dyn Future<Output = io::Result<Box<dyn ByteStream>>> + Send + 'a>>;

/// Opens byte streams without writing anything to them.
pub trait Connector: Send + Sync {
    /// Opens a connection to a runner.
    fn connect_to_runner(&self, address: SocketAddress) -> ConnectFuture<'_>;

    /// Opens a connection to another daemon.
    fn connect_to_daemon(&self, address: SocketAddress) -> ConnectFuture<'_>;
}

/// Opens TCP connections.
pub struct TcpConnector {
    own_ip: Ipv4Addr,
}

impl TcpConnector {
    /// Creates a connector that binds connections to other daemons to `own_ip`, by which they identify the member.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self { own_ip }
    }
}

impl Connector for TcpConnector {
    fn connect_to_runner(&self, address: SocketAddress) -> ConnectFuture<'_> {
        Box::pin(async move {
            let stream = TcpStream::connect(address.to_std()).await?;
            sockets::set_socket_options(&stream);
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }

    fn connect_to_daemon(&self, address: SocketAddress) -> ConnectFuture<'_> {
        Box::pin(async move {
            let stream = connect_from(self.own_ip, address).await?;
            Ok(Box::new(stream) as Box<dyn ByteStream>)
        })
    }
}
