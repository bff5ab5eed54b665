//! Socket options of connections between machines.

use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged before the connection is closed, in milliseconds (RFC 5482).
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// Disables Nagle's algorithm, and has the connection fail within two seconds if the other machine is unreachable.
///
/// Errors are ignored: the connection works without the options.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS);
}
