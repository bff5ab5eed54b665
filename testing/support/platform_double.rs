//! A test double of the platform that returns prepared responses and records the calls.

use common::frames::SocketAddress;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A test double of the platform that returns prepared responses in order and records the calls.
pub(crate) struct PlatformDouble {
    /// The address at which it listens.
    pub(crate) address: SocketAddress,
    calls: Arc<Mutex<Vec<String>>>,
}

fn content_length(head: &str) -> usize {
    let length_text = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length_text
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

async fn read_call(stream: &mut TcpStream) -> String {
    let mut message = Vec::new();
    while !message.ends_with(b"\r\n\r\n") {
        message.push(stream.read_u8().await.expect("a complete head"));
    }
    let mut body = vec![0; content_length(&String::from_utf8_lossy(&message))];
    stream.read_exact(&mut body).await.expect("a complete body");
    message.extend(body);
    String::from_utf8_lossy(&message).replace("\r\n", "\n")
}

impl PlatformDouble {
    /// Starts a double that answers each call with the next status and body, and accepts no calls after the last. Its
    /// task is detached and ends with the last response.
    pub(crate) async fn answering(answers: &[(u16, String)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("not an IPv4 address");
        };
        let address = SocketAddress(address);
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (recorded, answers) = (calls.clone(), answers.to_vec());
        tokio::spawn(async move {
            for (status, body) in answers {
                let (mut stream, _) = listener.accept().await.expect("a call");
                let call = read_call(&mut stream)
                    .await
                    .replace(&address.to_string(), "PLATFORM");
                recorded.lock().expect("the calls").push(call);
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
            }
        });
        Self { address, calls }
    }

    /// Returns the calls so far, in order of arrival.
    pub(crate) fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("the calls").clone()
    }
}
