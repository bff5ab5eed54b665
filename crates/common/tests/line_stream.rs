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

/// Returns the timer state of the connection with this local port.
fn timer_state(local: SocketAddr) -> Option<String> {
    let local_end = format!(":{:04X}", local.port());
    let connections = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let own = connections.lines().find(|line| {
        let local_address = line.split_whitespace().nth(1);
        local_address.is_some_and(|address| address.ends_with(&local_end))
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
        let address = SocketAddress(listener.local_addr()?.to_string().parse()?);
        let serving = async {
            let (mut stream, client_address) = listener.accept().await?;
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await?);
            }
            let timer = timer_state(client_address);
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
