//! An operator's change that is under way at a controller when that is stopped.

use common::frames::SocketAddress;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a controller may take to begin to read the change.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the operator waits for a response; a stopping controller is killed before.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A change on a connection of its own, which the controller has begun to read.
pub(super) struct ChangeAtStop {
    controller: String,
    stream: TcpStream,
}

impl ChangeAtStop {
    /// Sends a change of a label, on this version; none if the controller does not read it in time.
    pub(super) async fn send(
        controller: &str,
        operators: SocketAddress,
        version: u64,
        change_id: &str,
    ) -> Option<Self> {
        let patch = json!({"labels": {"order-at-stop": change_id}});
        let body = json!({
            "base_serial": version, "change_id": change_id, "patch": patch, "wait": "in_force",
        });
        let sending = send_change(operators, &body);
        let stream = timeout(READ_TIMEOUT, sending).await.ok()?.ok()?;
        Some(Self {
            controller: controller.to_owned(),
            stream,
        })
    }

    /// Waits for the response; returns the violation if the connection ends without one.
    pub(super) async fn check_response(mut self) -> Option<String> {
        let mut first_byte = [0; 1];
        let reading = self.stream.read_exact(&mut first_byte);
        let response = timeout(RESPONSE_TIMEOUT, reading).await;
        let is_answered = matches!(response, Ok(Ok(_)));
        (!is_answered).then(|| {
            format!(
                "{} stopped without a response to an operator's change",
                self.controller
            )
        })
    }
}

/// Sends a change whose body follows once the other side has begun to read it.
async fn send_change(operators: SocketAddress, body: &Value) -> std::io::Result<TcpStream> {
    let body_text = body.to_string();
    let length = body_text.len();
    let mut stream = TcpStream::connect(operators.to_std()).await?;
    let head = format!(
        "PATCH /v1/spec HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        received.push(stream.read_u8().await?);
    }
    stream.write_all(body_text.as_bytes()).await?;
    Ok(stream)
}
