//! A little HTTP/1.1 for the stand-ins: whole messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line, in three parts.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; zero if it has none.
    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        &self.first[0]
    }

    pub fn target(&self) -> &str {
        &self.first[1]
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a message, or `None` if the connection ended before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut parts = first_line.splitn(3, ' ').map(str::to_owned);
    let mut message = Message {
        first: [parts.next().unwrap_or_default(), parts.next().unwrap_or_default(), parts.next().unwrap_or_default()],
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| bad("the head broke off"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("not a header"))?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let size_line = read_line(reader)?.ok_or_else(|| bad("a chunk broke off"))?;
            let size = usize::from_str_radix(size_line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| bad("no size of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length").and_then(|value| value.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_answer && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// An answer of a stand-in.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub close: bool,
    /// A surplus answer that follows this one on its connection, and how much later.
    pub surplus: Option<(Duration, Box<Answer>)>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into(), close: false, surplus: None }
    }

    pub fn json(status: u16, text: String) -> Self {
        Self::new(status, text).with("Content-Type", "application/json")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Serves the requests of one connection, one after the other. `handle` returns `None` to close without an answer.
pub fn serve_connection(stream: TcpStream, mut handle: impl FnMut(Message) -> Option<Answer>) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    let mut writing = stream;
    while let Ok(Some(request)) = read_message(&mut reader, false) {
        let closes = request.closes();
        let Some(answer) = handle(request) else {
            return;
        };
        if writing.write_all(&answer.to_bytes()).is_err() || answer.close || closes {
            return;
        }
        if let Some((delay, surplus)) = answer.surplus
            && let Ok(mut late_writing) = writing.try_clone()
        {
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                late_writing.write_all(&surplus.to_bytes())
            });
        }
    }
}
/// Writes a request on an open connection, its body after a pause, and reads the whole answer.
fn exchange(stream: TcpStream, request: &Message, timeout: Duration, body_after: Duration) -> io::Result<Message> {
    let _ = stream.set_nodelay(true);
    let mut text = format!("{} {} HTTP/1.1\r\n", request.first[0], request.first[1]);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.first[0] == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    (&stream).write_all(text.as_bytes())?;
    std::thread::sleep(body_after);
    (&stream).write_all(&request.body)?;
    stream.set_read_timeout(Some(timeout.saturating_sub(body_after).max(Duration::from_millis(1))))?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)?.ok_or_else(|| bad("closed without an answer"))
}

/// Sends a request on a connection of its own.
pub fn call(address: SocketAddr, request: &Message, timeout: Duration) -> io::Result<Message> {
    call_slowly(address, request, timeout, Duration::ZERO)
}

/// Sends a request on a connection of its own, whose body follows its head after a pause.
pub fn call_slowly(
    address: SocketAddr,
    request: &Message,
    timeout: Duration,
    body_after: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    exchange(stream, request, timeout.saturating_sub(started.elapsed()), body_after)
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    Message {
        first: [method.to_owned(), target.to_owned(), String::new()],
        headers: headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect(),
        body: body.to_vec(),
    }
}
