//! Connections that are open when a server stops.

use bytes::Bytes;
use common::http::{HttpResponse, full_body, serve};
use googletest::prelude::*;
use hyper::Response;
use std::io::{Read, Write};
use std::net::TcpStream;
use tokio::net::TcpListener;
use tokio::sync::watch;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
/// The number of attempts: in each, the server may notice either the stop or the request first.
const CONNECTION_COUNT: usize = 30;

async fn answer() -> HttpResponse {
    Response::new(full_body(Bytes::from_static(b"answer")))
}

fn read_to_end(mut connection: TcpStream) -> String {
    let mut response = Vec::new();
    // The response may also end with a reset connection.
    let _ = connection.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against closing a connection with an unread request: the request arrives before the stop, but the server does
/// not run in between.
#[gtest]
fn a_request_that_arrived_before_the_stop_is_answered() -> Result<()> {
    let runtime = common::command_line::runtime(1)?;
    for number in 0..CONNECTION_COUNT {
        let response = runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let (stop_sender, stop) = watch::channel(false);
            let serving = tokio::spawn(serve(listener, |_| answer(), stop));
            let mut connection = TcpStream::connect(address)?;
            connection.write_all(REQUEST)?;
            let mut first_byte = [0; 1];
            let mut reader = connection.try_clone()?;
            tokio::task::spawn_blocking(move || reader.read_exact(&mut first_byte)).await??;
            // The runtime does not run between the request and the stop.
            connection.write_all(REQUEST)?;
            stop_sender.send_replace(true);
            let reading = tokio::task::spawn_blocking(move || read_to_end(connection));
            serving.await?;
            Ok::<String, Box<dyn std::error::Error>>(reading.await?)
        });
        let response = response.or_fail()?;
        let answer_count = response.matches("answer").count();
        verify_that!(answer_count, eq(2))
            .with_failure_message(|| format!("connection {number}: {response}"))?;
    }
    Ok(())
}
