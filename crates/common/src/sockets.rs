//! Socket options for connections between machines.

use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent data may remain unacknowledged before the connection is closed, in milliseconds (RFC 5482).
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// How long a connection is idle before its peer is probed.
const PROBE_AFTER_IDLE: Duration = Duration::from_secs(2);
/// The interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options of [`set_socket_options`] and enables TCP keep-alive, so that a connection on which this side sends
/// nothing fails within seconds if the other machine is unreachable.
pub fn probe_when_idle(stream: &TcpStream) {
    set_socket_options(stream);
    let _ = rustix::net::sockopt::set_socket_keepalive(stream, true);
    let _ = rustix::net::sockopt::set_tcp_keepidle(stream, PROBE_AFTER_IDLE);
    let _ = rustix::net::sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL);
}

/// Disables Nagle's algorithm, and makes the connection fail if sent data is not acknowledged within two seconds.
///
/// Errors are ignored: the connection works without the options.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS);
}
