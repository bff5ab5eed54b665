//! Streams of lines whose peer may become unreachable.

use common::frames::SocketAddress;
use common::http::{LineStreamEnd, follow_lines};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The state in `/proc/net/tcp` of the timer of an idle connection whose peer will be probed.
const KEEP_ALIVE_TIMER: &str = "02";

/// Returns an address and port as `/proc/net/tcp` prints them, or `None` if they are not IPv4.
///
/// The kernel prints the four octets of the address as one number in the machine's byte order, so a little-endian
/// machine prints them reversed: 127.0.0.1 is `0100007F`. The port is printed as a plain number.
fn kernel_form(end: SocketAddr) -> Option<String> {
    let SocketAddr::V4(end) = end else {
        return None;
    };
    let address = u32::from_ne_bytes(end.ip().octets());
    Some(format!("{address:08X}:{:04X}", end.port()))
}

/// Returns the timer state of the connection between these two ends, at the local end.
///
/// Both ends are compared with their addresses and ports. A closed connection from another local address or to another
/// peer may have the same local port, and stays listed in the state `TIME_WAIT` with the timer "03".
fn timer_state(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let ends = [kernel_form(local)?, kernel_form(remote)?];
    let connections = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let own = connections.lines().find(|line| {
        let listed_ends = line.split_whitespace().skip(1).take(2);
        listed_ends.eq(ends.iter().map(String::as_str))
    })?;
    let timer = own.split_whitespace().nth(5)?;
    Some(timer.split_once(':')?.0.to_owned())
}

/// Guards against a client that follows events and waits forever for an unreachable machine: the client sends nothing,
/// so only keep-alive probes detect the loss.
#[gtest]
fn the_idle_peer_of_a_line_stream_is_probed() -> Result<()> {
    let runtime = common::command_line::runtime(1)?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let listener_address = listener.local_addr()?;
        let address = SocketAddress(listener_address.to_string().parse()?);
        let serving = async {
            let (mut stream, client_address) = listener.accept().await?;
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await?);
            }
            let timer = timer_state(client_address, listener_address);
            let response = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nline\n";
            stream.write_all(response).await?;
            std::io::Result::Ok(timer)
        };
        let following = follow_lines(address, "/", |_| ControlFlow::Continue(()));
        let (timer, end) = tokio::join!(serving, following);
        verify_that!(end.ok(), some(eq(LineStreamEnd::Ended)))?;
        verify_that!(timer?, some(eq(KEEP_ALIVE_TIMER)))
    })
}
