//! The opening of byte streams to runners and to other daemons. The drivers depend only on the traits here, so that
//! they run over any transport, and tests can inject a failure at each byte of an exchange.

use common::frames::{SocketAddress, connect_from};
use common::sockets;
use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A connected stream of bytes.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// A stream that is being opened.
pub type ConnectFuture<'a> =
    Pin<Box<dyn Future<Output = io::Result<Box<dyn ByteStream>>> + Send + 'a>>;

/// Opens byte streams; it writes nothing to them.
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
    /// Connections to other daemons are bound to this address, by which these identify the member.
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
