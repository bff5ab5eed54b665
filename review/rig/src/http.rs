//! The little HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message as read from a socket: its first line, its headers (names in lower case) and its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The method and the target of a request.
    pub fn request_line(&self) -> (String, String) {
        let mut parts = self.first.split(' ');
        (
            parts.next().unwrap_or("").to_owned(),
            parts.next().unwrap_or("").to_owned(),
        )
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// How the reading of a message ended.
#[derive(Clone, Debug)]
pub enum ReadEnd {
    Whole(Message),
    /// The connection ended before the first byte.
    ClosedEarly,
    /// The connection ended within the message.
    CutShort,
    Timeout,
}

pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes: `Some(0)` at the end of the stream, `None` at the deadline.
    fn fill(&mut self, deadline: Instant) -> Option<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut part = [0; 16384];
        match self.stream.read(&mut part) {
            Ok(count) => {
                self.buffer.extend_from_slice(&part[..count]);
                Some(count)
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                None
            }
            Err(_) => Some(0),
        }
    }

    fn line_end(&self) -> Option<usize> {
        self.buffer.windows(4).position(|window| window == b"\r\n\r\n")
    }

    /// Reads one message. An answer without a length ends with its connection.
    pub fn read(&mut self, deadline: Instant, is_answer: bool) -> ReadEnd {
        let head_end = loop {
            if let Some(end) = self.line_end() {
                break end;
            }
            match self.fill(deadline) {
                None => return ReadEnd::Timeout,
                Some(0) if self.buffer.is_empty() => return ReadEnd::ClosedEarly,
                Some(0) => return ReadEnd::CutShort,
                Some(_) => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            return self.read_chunks(deadline, message);
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let length = match (length, is_answer) {
            (Some(length), _) => length,
            (None, false) => 0,
            (None, true) => usize::MAX,
        };
        while self.buffer.len() < length {
            match self.fill(deadline) {
                None => return ReadEnd::Timeout,
                Some(0) if length == usize::MAX => break,
                Some(0) => return ReadEnd::CutShort,
                Some(_) => {}
            }
        }
        let taken = length.min(self.buffer.len());
        message.body = self.buffer.drain(..taken).collect();
        ReadEnd::Whole(message)
    }

    fn read_chunks(&mut self, deadline: Instant, mut message: Message) -> ReadEnd {
        loop {
            let line_end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                match self.fill(deadline) {
                    None => return ReadEnd::Timeout,
                    Some(0) => return ReadEnd::CutShort,
                    Some(_) => {}
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16) else {
                return ReadEnd::CutShort;
            };
            while self.buffer.len() < line_end + 2 + size + 2 {
                match self.fill(deadline) {
                    None => return ReadEnd::Timeout,
                    Some(0) => return ReadEnd::CutShort,
                    Some(_) => {}
                }
            }
            message
                .body
                .extend_from_slice(&self.buffer[line_end + 2..line_end + 2 + size]);
            self.buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return ReadEnd::Whole(message);
            }
        }
    }
}

/// True if the other side has closed the connection.
pub fn is_gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0; 1];
    let gone = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    gone
}

pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn request_bytes(method: &str, target: &str, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn call(address: SocketAddr, bytes: &[u8], timeout: Duration) -> ReadEnd {
    let deadline = Instant::now() + timeout;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))) else {
        return ReadEnd::ClosedEarly;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(bytes).is_err() {
        return ReadEnd::ClosedEarly;
    }
    Reader::new(stream).read(deadline, true)
}

/// The text value of a key in a flat JSON object.
pub fn json_text(body: &[u8], key: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let start = text.find(&format!("\"{key}\""))? + key.len() + 2;
    let rest = text[start..]
        .trim_start()
        .strip_prefix(':')?
        .trim_start()
        .strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
