//! A controller within the test that is stopped while operators wait for its responses on open connections.

#[path = "../../../testing/support/running_controller.rs"]
mod running_controller;

use common::frames::{
    Channel, ConsensusFrame, ConsensusMessage, Flag, LengthPrefixed, SocketAddress, dial,
    write_frame,
};
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use controlplane::storage::DiskFaultHook;
use running_controller::{Running, folder, started, started_with};
use serde_json::json;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

const PATIENCE: Duration = Duration::from_secs(20);
/// A stopping controller answers what it has, and exits, within four seconds.
const LONGEST_STOP: Duration = Duration::from_secs(4);

fn change(name: &str) -> String {
    let spec = json!({"functions": {}, "routes": {}});
    json!({"number": 5, "base_number": 0, "change_id": name, "spec": spec}).to_string()
}

/// An operator on a connection that it keeps.
struct KeptConnection(TcpStream);

impl KeptConnection {
    async fn open(operators: SocketAddr) -> Self {
        Self(TcpStream::connect(operators).await.expect("a connection"))
    }

    async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.expect("sent");
    }

    async fn send_change(&mut self, name: &str) {
        let body = change(name);
        let length = body.len();
        let request =
            format!("PUT /v1/spec HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{body}");
        self.send(&request).await;
    }

    /// What comes until the connection is closed by the other side.
    async fn rest(&mut self) -> String {
        let mut received = String::new();
        let reading = self.0.read_to_string(&mut received);
        let ended = timeout(LONGEST_STOP, reading).await;
        ended
            .expect("a response and the end of the connection")
            .expect("read");
        received
    }

    /// Reads until these words have come.
    async fn read_until(&mut self, words: &str) {
        let mut received = String::new();
        while !received.contains(words) {
            let mut chunk = [0; 512];
            let reading = timeout(PATIENCE, self.0.read(&mut chunk)).await;
            let length = reading.expect("in time").expect("read");
            assert!(length > 0, "closed after {received}");
            received += &String::from_utf8_lossy(&chunk[..length]);
        }
    }
}

fn verify_answer(response: &str, state: &str) {
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains(&format!("\"state\":\"{state}\"")),
        "{response}"
    );
}

/// A disk at which every write waits while its gate is shut.
#[derive(Default)]
struct Gate {
    is_shut: Mutex<bool>,
    opened: Condvar,
    /// A write waits.
    reached: Notify,
    is_reached: AtomicBool,
}

impl Gate {
    fn set(&self, is_shut: bool) {
        *self.is_shut.lock().expect("a lock") = is_shut;
        self.opened.notify_all();
    }

    async fn await_write(&self) {
        while !self.is_reached.load(Ordering::Acquire) {
            timeout(PATIENCE, self.reached.notified())
                .await
                .expect("a write");
        }
    }
}

struct GatedDisk(Arc<Gate>);

impl DiskFaultHook for GatedDisk {
    fn before_write(&self) -> io::Result<()> {
        let mut is_shut = self.0.is_shut.lock().expect("a lock");
        while *is_shut {
            self.0.is_reached.store(true, Ordering::Release);
            self.0.reached.notify_one();
            is_shut = self.0.opened.wait(is_shut).expect("a lock");
        }
        Ok(())
    }
}

async fn await_leadership(running: &Running) {
    let began = Instant::now();
    loop {
        let mut operator = KeptConnection::open(running.operators).await;
        operator
            .send("GET /v1/spec HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
            .await;
        if operator.rest().await.starts_with("HTTP/1.1 200") {
            return;
        }
        assert!(began.elapsed() < PATIENCE, "it does not lead");
    }
}

/// A leader that was told to stop while the write of a change waits at its disk, and the change's operator.
async fn stop_with_change_in_flight(data: &Path) -> (Arc<Gate>, KeptConnection) {
    let gate = Arc::new(Gate::default());
    let running = started_with(None, Some(data), || Box::new(GatedDisk(gate.clone()))).await;
    await_leadership(&running).await;
    gate.set(true);
    let mut operator = KeptConnection::open(running.operators).await;
    operator.send_change("c").await;
    gate.await_write().await;
    running.stop.send_replace(true);
    (gate, operator)
}

/// Guards against a change that is being written when its leader stops, and whose operator is told nothing.
#[tokio::test]
async fn a_change_in_flight_at_a_stopping_leader_ends_as_unknown() {
    let data = folder("in-flight");
    let (gate, mut operator) = stop_with_change_in_flight(&data).await;
    let response = operator.rest().await;
    gate.set(false);
    let _ = std::fs::remove_dir_all(&data);
    verify_answer(&response, "unknown");
}

/// Guards against a change that is dropped at a stop although it would have been committed at once.
#[tokio::test]
async fn a_change_that_can_still_be_committed_is_finished_by_a_stopping_leader() {
    let data = folder("finished");
    let (gate, mut operator) = stop_with_change_in_flight(&data).await;
    gate.set(false);
    let response = operator.rest().await;
    let _ = std::fs::remove_dir_all(&data);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a request that is read when its controller has stopped, and is reported as perhaps carried out, or
/// not answered.
#[tokio::test]
async fn a_change_that_is_read_by_a_stopping_controller_ends_as_not_accepted() {
    let running = started(None, None).await;
    let mut operator = KeptConnection::open(running.operators).await;
    let body = change("c");
    let length = body.len();
    operator
        .send(&format!(
            "PUT /v1/spec HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: {length}\r\n\r\n"
        ))
        .await;
    operator.read_until("100 Continue").await;
    running.stop.send_replace(true);
    operator.send(&body).await;
    verify_answer(&operator.rest().await, "not_accepted");
}

/// A controller that says it leads, and reads operators' requests without a response.
struct SilentLeader {
    operators: TcpListener,
    /// Where it would listen for other processes.
    address: SocketAddress,
}

impl SilentLeader {
    async fn open() -> Self {
        let operators = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = SocketAddress("127.0.0.1:9".parse().expect("an address"));
        Self { operators, address }
    }

    fn heartbeat(&self, round: u64) -> ConsensusFrame {
        let local_address = self.operators.local_addr().expect("an address");
        ConsensusFrame {
            from: ControllerId(77),
            address: self.address,
            operators: SocketAddress(local_address.to_string().parse().expect("an address")),
            zone: Zone::from("south"),
            body: ConsensusMessage::Heartbeat {
                term: Term(3),
                round,
                accepted: DocumentVersion::default(),
                committed: DocumentVersion::default(),
                members: LengthPrefixed(Vec::new()),
                complete: Flag(true),
            },
        }
    }

    /// Sends heartbeats to a controller until a request has been forwarded here; returns its connection.
    async fn lead_until_asked(&self, controller: SocketAddr) -> TcpStream {
        let to = SocketAddress(controller.to_string().parse().expect("an address"));
        let mut link = dial(Ipv4Addr::LOCALHOST, to, Channel::Consensus, PATIENCE)
            .await
            .expect("a link");
        let mut heartbeats = tokio::time::interval(Duration::from_millis(50));
        for round in 1.. {
            tokio::select! {
                asked = self.operators.accept() => return asked.expect("a connection").0,
                _ = heartbeats.tick() => {
                    let sent = write_frame(&mut link, &self.heartbeat(round)).await;
                    sent.expect("a heartbeat");
                }
            }
        }
        unreachable!("it is asked, or the test's time is over")
    }
}

/// Guards against a forwarded request whose operator's connection is closed without a response when its controller stops.
#[tokio::test]
async fn a_forwarded_change_at_a_stopping_controller_ends_as_unknown() {
    let running = started(None, None).await;
    let leader = SilentLeader::open().await;
    let mut operator = KeptConnection::open(running.operators).await;
    let asking = async {
        // Refused at first, as no leader is known yet.
        loop {
            operator.send_change("c").await;
            operator.read_until("}").await;
        }
    };
    let asked = tokio::select! {
        () = asking => unreachable!("the leader does not respond"),
        asked = timeout(PATIENCE, leader.lead_until_asked(running.address)) => asked,
    };
    let mut forwarded = asked.expect("a forwarded request");
    let mut first_byte = [0; 1];
    forwarded
        .read_exact(&mut first_byte)
        .await
        .expect("a request");
    running.stop.send_replace(true);
    verify_answer(&operator.rest().await, "unknown");
}
