//! Opens connections to other rudderstream processes.

use super::{Channel, FrameError, SocketAddress, write_channel};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to another process from this process's own IP address, without writing anything.
pub async fn connect_from(own_ip: Ipv4Addr, to: SocketAddress) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::V4(SocketAddrV4::new(own_ip, 0)))?;
    let stream = socket.connect(to.to_std()).await?;
    crate::sockets::set_socket_options(&stream);
    Ok(stream)
}

/// Connects to another process and writes the channel's opening bytes. The connection is made from this process's own
/// IP address, because machines identify each other by it.
///
/// # Errors
/// [`FrameError::Connection`] if the connection cannot be opened, or not within `timeout`.
pub async fn dial(
    own_ip: Ipv4Addr,
    to: SocketAddress,
    channel: Channel,
    timeout: Duration,
) -> Result<TcpStream, FrameError> {
    let connecting = async {
        let mut stream = connect_from(own_ip, to).await?;
        write_channel(&mut stream, channel).await?;
        Ok(stream)
    };
    tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| FrameError::Connection(std::io::ErrorKind::TimedOut.into()))?
}
