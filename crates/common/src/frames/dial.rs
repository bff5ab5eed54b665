use super::{Channel, FrameFault, Place, write_channel};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Opens a channel to another process from this process's own IP number, by which the machines of a
/// fleet know each other.
pub async fn dial(
    own_ip: Ipv4Addr,
    to: Place,
    channel: Channel,
    patience: Duration,
) -> Result<TcpStream, FrameFault> {
    let opening = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::V4(SocketAddrV4::new(own_ip, 0)))?;
        let mut stream = socket.connect(to.address()).await?;
        crate::sockets::tune(&stream);
        write_channel(&mut stream, channel).await?;
        Ok(stream)
    };
    tokio::time::timeout(patience, opening)
        .await
        .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))?
}
