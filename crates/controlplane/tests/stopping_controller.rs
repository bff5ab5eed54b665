//! Shutdown of a controller while operators are waiting for responses on open connections. The controller runs within
//! the test process.

#[path = "../../../testing/support/running_controller.rs"]
mod running_controller;

use common::frames::{
    Channel, ConsensusFrame, ConsensusMessage, Flag, LengthPrefixed, SocketAddress, dial,
    write_frame,
};
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use controlplane::storage::DiskFaultHook;
use running_controller::{
    RunningController, create_data_directory, start_controller, start_controller_with_faults,
};
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

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// A stopping controller must reply to its pending operations and exit within this time.
const MAX_STOP_TIME: Duration = Duration::from_secs(4);

fn change(name: &str) -> String {
    let spec = json!({"functions": {}, "routes": {}});
    json!({"number": 5, "base_number": 0, "change_id": name, "spec": spec}).to_string()
}

/// A persistent connection of an operator.
struct OperatorConnection(TcpStream);

impl OperatorConnection {
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

    /// Reads until the controller closes the connection.
    async fn read_to_end(&mut self) -> String {
        let mut received = String::new();
        let reading = self.0.read_to_string(&mut received);
        let ended = timeout(MAX_STOP_TIME, reading).await;
        ended
            .expect("a response and the end of the connection")
            .expect("read");
        received
    }

    /// Reads until this text has been received.
    async fn read_until(&mut self, text: &str) {
        let mut received = String::new();
        while !received.contains(text) {
            let mut chunk = [0; 512];
            let reading = timeout(WAIT_TIMEOUT, self.0.read(&mut chunk)).await;
            let length = reading.expect("in time").expect("read");
            assert!(length > 0, "closed after {received}");
            received += &String::from_utf8_lossy(&chunk[..length]);
        }
    }
}

fn verify_response(response: &str, state: &str) {
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.contains(&format!("\"state\":\"{state}\"")),
        "{response}"
    );
}

/// Blocks the writes to a disk while it is closed.
#[derive(Default)]
struct WriteGate {
    is_closed: Mutex<bool>,
    opened: Condvar,
    /// Signals that a write is blocked.
    reached: Notify,
    is_reached: AtomicBool,
}

impl WriteGate {
    fn set_closed(&self, is_closed: bool) {
        *self.is_closed.lock().expect("a lock") = is_closed;
        self.opened.notify_all();
    }

    async fn await_blocked_write(&self) {
        while !self.is_reached.load(Ordering::Acquire) {
            timeout(WAIT_TIMEOUT, self.reached.notified())
                .await
                .expect("a write");
        }
    }
}

struct GatedDisk(Arc<WriteGate>);

impl DiskFaultHook for GatedDisk {
    fn before_write(&self) -> io::Result<()> {
        let mut is_closed = self.0.is_closed.lock().expect("a lock");
        while *is_closed {
            self.0.is_reached.store(true, Ordering::Release);
            self.0.reached.notify_one();
            is_closed = self.0.opened.wait(is_closed).expect("a lock");
        }
        Ok(())
    }
}

async fn await_leadership(running: &RunningController) {
    let began = Instant::now();
    loop {
        let mut operator = OperatorConnection::open(running.operators).await;
        operator
            .send("GET /v1/spec HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
            .await;
        if operator.read_to_end().await.starts_with("HTTP/1.1 200") {
            return;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "not elected as leader");
    }
}

/// Stops a leader while the write of a change is blocked. Returns the gate of its disk and the connection of
/// the change's operator.
async fn stop_with_change_in_flight(data: &Path) -> (Arc<WriteGate>, OperatorConnection) {
    let gate = Arc::new(WriteGate::default());
    let running =
        start_controller_with_faults(None, Some(data), || Box::new(GatedDisk(gate.clone()))).await;
    await_leadership(&running).await;
    gate.set_closed(true);
    let mut operator = OperatorConnection::open(running.operators).await;
    operator.send_change("c").await;
    gate.await_blocked_write().await;
    running.stop.send_replace(true);
    (gate, operator)
}

/// Guards against a change that is being written when its leader stops and is never replied to.
#[tokio::test]
async fn a_change_in_flight_at_a_stopping_leader_is_reported_as_unknown() {
    let data = create_data_directory("in-flight");
    let (gate, mut operator) = stop_with_change_in_flight(&data).await;
    let response = operator.read_to_end().await;
    gate.set_closed(false);
    let _ = std::fs::remove_dir_all(&data);
    verify_response(&response, "unknown");
}

/// Guards against a change that a stopping leader drops although it would have been committed shortly afterwards.
#[tokio::test]
async fn a_stopping_leader_completes_a_change_that_can_still_be_committed() {
    let data = create_data_directory("finished");
    let (gate, mut operator) = stop_with_change_in_flight(&data).await;
    gate.set_closed(false);
    let response = operator.read_to_end().await;
    let _ = std::fs::remove_dir_all(&data);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a request that is read after its controller has stopped, and is then reported as unknown or never
/// replied to.
#[tokio::test]
async fn a_change_read_by_a_stopping_controller_is_reported_as_not_accepted() {
    let running = start_controller(None, None).await;
    let mut operator = OperatorConnection::open(running.operators).await;
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
    verify_response(&operator.read_to_end().await, "not_accepted");
}

/// A controller that claims to be the leader and accepts operators' requests, but never responds.
struct SilentLeader {
    operators: TcpListener,
    /// The address that it names for other processes. It does not listen there.
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

    /// Sends heartbeats to a controller until it forwards a request to this leader. Returns the request's connection.
    async fn lead_until_request(&self, controller: SocketAddr) -> TcpStream {
        let to = SocketAddress(controller.to_string().parse().expect("an address"));
        let mut link = dial(Ipv4Addr::LOCALHOST, to, Channel::Consensus, WAIT_TIMEOUT)
            .await
            .expect("a link");
        let mut heartbeats = tokio::time::interval(Duration::from_millis(50));
        for round in 1.. {
            tokio::select! {
                accepted = self.operators.accept() => return accepted.expect("a connection").0,
                _ = heartbeats.tick() => {
                    let sent = write_frame(&mut link, &self.heartbeat(round)).await;
                    sent.expect("a heartbeat");
                }
            }
        }
        unreachable!("the loop ends with a request or with the test's timeout")
    }
}

/// Guards against a forwarded request whose operator gets no response when the forwarding controller stops.
#[tokio::test]
async fn a_change_forwarded_by_a_stopping_controller_is_reported_as_unknown() {
    let running = start_controller(None, None).await;
    let leader = SilentLeader::open().await;
    let mut operator = OperatorConnection::open(running.operators).await;
    let sending = async {
        // Rejected at first, because no leader is known yet.
        loop {
            operator.send_change("c").await;
            operator.read_until("}").await;
        }
    };
    let connected = tokio::select! {
        () = sending => unreachable!("the leader does not respond"),
        connected = timeout(WAIT_TIMEOUT, leader.lead_until_request(running.address)) => connected,
    };
    let mut forwarded = connected.expect("a forwarded request");
    let mut first_byte = [0; 1];
    forwarded
        .read_exact(&mut first_byte)
        .await
        .expect("a request");
    running.stop.send_replace(true);
    verify_response(&operator.read_to_end().await, "unknown");
}
