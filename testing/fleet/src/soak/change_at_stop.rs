//! An operator's change that is in flight at a controller when the controller is stopped.

use common::frames::SocketAddress;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout until a controller begins to read the change.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of the response. It is longer than the grace period after which a stopping controller is killed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A change that the controller has begun to read, on a dedicated connection.
pub(super) struct ChangeAtStop {
    controller: String,
    stream: TcpStream,
}

impl ChangeAtStop {
    /// Sends a change of a label with the given base version. Returns `None` if the controller does not begin to read
    /// it in time.
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

    /// Waits for the response. Returns a violation if the connection closes without one.
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

/// Sends the head of a request with `expect: 100-continue`, and its body once the controller has asked for it.
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
