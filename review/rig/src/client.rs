//! Clients: each try has an id of its own.

use crate::http::{request_bytes, ReadEnd, Reader};
use crate::platform::{body_of, seal_of};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Try {
    pub attempt: String,
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub deadline_ms: u64,
    pub address: SocketAddr,
    /// The client closes its connection after this time.
    pub leaves_after: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub tried: Try,
    pub sent_at: u64,
    pub ended_at: u64,
    pub status: u16,
    pub seal: String,
    pub body: Vec<u8>,
    /// How it ended: `answer`, `timeout`, `closed`, `cut short`, `no connection`, `left`.
    pub end: &'static str,
}

impl Outcome {
    pub fn is_success(&self) -> bool {
        self.end == "answer" && (200..300).contains(&self.status)
    }

    /// A success that is the runner's own whole answer to this very request.
    pub fn is_sound(&self) -> bool {
        self.seal == seal_of(&self.tried.attempt) && self.body == body_of(&self.tried.attempt)
    }
}

#[derive(Clone)]
pub struct Clients {
    pub record: Record,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    pub open: Arc<AtomicUsize>,
    next: Arc<AtomicUsize>,
}

pub fn body_for(tried: &Try) -> Vec<u8> {
    if tried.method == "POST" {
        format!("sent with {} ", tried.attempt).repeat(20).into_bytes()
    } else {
        Vec::new()
    }
}

impl Clients {
    pub fn new(record: Record) -> Self {
        Self {
            record,
            outcomes: Arc::default(),
            open: Arc::default(),
            next: Arc::default(),
        }
    }

    pub fn attempt(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("t{number:06}")
    }

    pub fn spawn(&self, tried: Try) {
        let clients = self.clone();
        self.open.fetch_add(1, Ordering::AcqRel);
        std::thread::spawn(move || {
            let outcome = clients.run(tried);
            clients.outcomes.lock().unwrap().push(outcome);
            clients.open.fetch_sub(1, Ordering::AcqRel);
        });
    }

    pub fn run(&self, tried: Try) -> Outcome {
        let sent_at = self.record.now();
        self.record.note(format!(
            "client sends {} {}{} attempt={} deadline={} to {}",
            tried.method, tried.host, tried.target, tried.attempt, tried.deadline_ms, tried.address
        ));
        let (status, seal, body, end) = self.exchange(&tried);
        let ended_at = self.record.now();
        self.record.note(format!(
            "client attempt={} ends: {end} {status} after {} ms",
            tried.attempt,
            ended_at - sent_at
        ));
        Outcome {
            tried,
            sent_at,
            ended_at,
            status,
            seal,
            body,
            end,
        }
    }

    fn exchange(&self, tried: &Try) -> (u16, String, Vec<u8>, &'static str) {
        let none = |end| (0, String::new(), Vec::new(), end);
        let begun = Instant::now();
        let Ok(mut stream) = TcpStream::connect_timeout(&tried.address, Duration::from_secs(1)) else {
            return none("no connection");
        };
        let _ = stream.set_nodelay(true);
        let headers = vec![
            ("Host".to_owned(), tried.host.clone()),
            ("Rudderstream-Attempt-Id".to_owned(), tried.attempt.clone()),
            ("Rudderstream-Deadline-Ms".to_owned(), tried.deadline_ms.to_string()),
        ];
        let bytes = request_bytes(tried.method, &tried.target, &headers, &body_for(tried));
        if stream.write_all(&bytes).is_err() {
            return none("closed");
        }
        let waits = tried
            .leaves_after
            .unwrap_or(Duration::from_millis(tried.deadline_ms + 700));
        match Reader::new(stream).read(begun + waits, true) {
            ReadEnd::Whole(answer) => {
                let seal = answer.header("rudderstream-reply-seal").unwrap_or("").to_owned();
                (answer.status(), seal, answer.body, "answer")
            }
            ReadEnd::Timeout if tried.leaves_after.is_some() => none("left"),
            ReadEnd::Timeout => none("timeout"),
            ReadEnd::ClosedEarly => none("closed"),
            ReadEnd::CutShort => none("cut short"),
        }
    }

    /// Waits until no try is open.
    pub fn wait(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.open.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn all(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }
}
