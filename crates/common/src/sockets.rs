//! What every connection between machines is set to.

use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection counts as lost, in milliseconds.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// Sends small writes at once, and finds out within two seconds that the other machine is gone.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS);
}
