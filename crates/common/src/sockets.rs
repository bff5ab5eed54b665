//! Socket options of connections between machines.

use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged before the connection is closed, in milliseconds (RFC 5482).
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// How long a connection may be idle until its other side is probed.
const PROBE_AFTER_IDLE: Duration = Duration::from_secs(2);
/// The interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options of [`set_socket_options`], and has a connection on which nothing is sent from here fail within some
/// seconds if the other machine is unreachable.
pub fn probe_when_idle(stream: &TcpStream) {
    set_socket_options(stream);
    let _ = rustix::net::sockopt::set_socket_keepalive(stream, true);
    let _ = rustix::net::sockopt::set_tcp_keepidle(stream, PROBE_AFTER_IDLE);
    let _ = rustix::net::sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL);
}

/// Disables Nagle's algorithm, and has the connection fail within two seconds if the other machine is unreachable.
///
/// Errors are ignored: the connection works without the options.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS);
}
