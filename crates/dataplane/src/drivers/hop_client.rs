//! Requests to other daemons, multiplexed over one persistent connection per daemon.

use super::connector::{ByteStream, Connector};
use super::frame_batch::WRITE_BATCH_BYTES;
use super::metered_stream::{MeteredStream, WriteMeter};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    Channel, DaemonFrame, DaemonMessage, FrameError, RequesterNotice, SocketAddress, append_frame,
    read_frame, write_channel,
};
use common::identity::CorrelationId;
use common::log_event;
use common::rules::{Rule, Rules};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, oneshot};

/// The maximum number of requests and notices that wait to be written to a connection.
const MAX_QUEUED_WRITES: usize = 1024;
/// How long a connection to another daemon may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of a request to another daemon.
#[derive(Debug)]
pub enum HopCallResult {
    /// The other daemon replied.
    Reply(DaemonMessage),
    /// No byte of the request was sent.
    Unsent,
    /// The request may have been sent, and no reply was received.
    Lost,
}

/// A request that waits to be written.
struct HopCall {
    frame: DaemonFrame,
    result_sender: oneshot::Sender<HopCallResult>,
}

/// An item that waits to be written to a connection.
enum HopWrite {
    Call(HopCall),
    /// A notice about a request that was queued earlier.
    Notice(CorrelationId, RequesterNotice),
}

/// A request to another daemon whose reply is awaited. If dropped before the reply, the request is abandoned and the
/// other daemon is notified.
pub struct PendingHopCall {
    correlation: CorrelationId,
    wait_until: MonotonicTime,
    result: oneshot::Receiver<HopCallResult>,
    /// `None` once the call has ended, or if it could not be queued.
    sender: Option<mpsc::Sender<HopWrite>>,
}

impl PendingHopCall {
    /// Waits for the reply, at most until the `wait_until` of the request.
    pub async fn reply(&mut self) -> HopCallResult {
        if self.sender.is_none() {
            return HopCallResult::Unsent;
        }
        let timeout = self.wait_until.since(MonotonicTime::now());
        let Ok(received) = tokio::time::timeout(timeout, &mut self.result).await else {
            return HopCallResult::Lost;
        };
        self.sender = None;
        received.unwrap_or(HopCallResult::Lost)
    }

    /// Asks the other daemon to end the request as not run if no runner has it.
    pub fn withdraw(&self) {
        self.notify(RequesterNotice::Withdrawn);
    }

    /// Queues a notice. It is dropped if the queue is full; the request then ends at its deadline.
    fn notify(&self, notice: RequesterNotice) {
        if let Some(sender) = &self.sender {
            let _ = sender.try_send(HopWrite::Notice(self.correlation, notice));
        }
    }
}

impl Drop for PendingHopCall {
    fn drop(&mut self) {
        self.notify(RequesterNotice::Abandoned);
    }
}

/// The persistent connections to the other daemons, one to each.
pub struct HopClient {
    connector: Arc<dyn Connector>,
    rules: Rules,
    senders: Mutex<HashMap<SocketAddress, mpsc::Sender<HopWrite>>>,
    next_correlation: AtomicU64,
}

impl HopClient {
    /// Creates a client without connections.
    pub fn new(connector: Arc<dyn Connector>, rules: Rules) -> Self {
        Self {
            connector,
            rules,
            senders: Mutex::new(HashMap::new()),
            next_correlation: AtomicU64::new(1),
        }
    }

    /// Sends a request to another daemon. Its reply is awaited until `wait_until`.
    pub fn request(
        &self,
        address: SocketAddress,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) -> PendingHopCall {
        let correlation = CorrelationId(self.next_correlation.fetch_add(1, Ordering::Relaxed));
        let (result_sender, result) = oneshot::channel();
        let call = HopCall {
            frame: DaemonFrame { correlation, body },
            result_sender,
        };
        let sender = self.sender_to(address);
        let is_queued = sender.try_send(HopWrite::Call(call)).is_ok();
        PendingHopCall {
            correlation,
            wait_until,
            result,
            sender: is_queued.then_some(sender),
        }
    }

    fn sender_to(&self, address: SocketAddress) -> mpsc::Sender<HopWrite> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let open_sender = senders.get(&address).filter(|sender| !sender.is_closed());
        if let Some(sender) = open_sender {
            return sender.clone();
        }
        let (sender, writes) = mpsc::channel(MAX_QUEUED_WRITES);
        // Detached. The task fails the pending calls when the connection ends, and then exits. The next request to this
        // address replaces the closed sender.
        tokio::spawn(run_connection(
            self.connector.clone(),
            self.rules,
            address,
            writes,
        ));
        senders.insert(address, sender.clone());
        sender
    }
}

struct AwaitedReply {
    result_sender: oneshot::Sender<HopCallResult>,
    /// The position of the request's first byte in the bytes written to the connection.
    start_offset: u64,
}

/// The requests on a connection that are awaiting a reply.
#[derive(Default)]
struct PendingReplies(Mutex<BTreeMap<CorrelationId, AwaitedReply>>);

impl PendingReplies {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CorrelationId, AwaitedReply>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn complete(&self, rules: Rules, frame: DaemonFrame) {
        let mut awaited = self.lock();
        let awaited_reply = if rules.enforces(Rule::ReplyMatchesRequest) {
            awaited.remove(&frame.correlation)
        } else {
            awaited.pop_first().map(|(_, first)| first)
        };
        if let Some(awaited_reply) = awaited_reply {
            let _ = awaited_reply
                .result_sender
                .send(HopCallResult::Reply(frame.body));
        }
    }

    /// Fails all pending requests because the connection has ended after accepting `written` bytes. A request of which
    /// no byte was accepted was not sent.
    fn fail_all(&self, rules: Rules, written: u64) {
        for awaited in std::mem::take(&mut *self.lock()).into_values() {
            let is_unsent =
                written <= awaited.start_offset || !rules.enforces(Rule::PartialWriteCountsAsSent);
            let result = if is_unsent {
                HopCallResult::Unsent
            } else {
                HopCallResult::Lost
            };
            let _ = awaited.result_sender.send(result);
        }
    }
}

async fn open_connection(
    connector: &dyn Connector,
    address: SocketAddress,
) -> Result<(impl ByteStream, Arc<WriteMeter>), FrameError> {
    let opening = async {
        let (mut stream, meter) = MeteredStream::new(connector.connect_to_daemon(address).await?);
        write_channel(&mut stream, Channel::Daemons).await?;
        Ok((stream, meter))
    };
    tokio::time::timeout(CONNECT_TIMEOUT, opening)
        .await
        .map_err(|_| FrameError::Connection(std::io::ErrorKind::TimedOut.into()))?
}

async fn run_connection(
    connector: Arc<dyn Connector>,
    rules: Rules,
    address: SocketAddress,
    mut writes: mpsc::Receiver<HopWrite>,
) {
    if let Ok((stream, meter)) = open_connection(connector.as_ref(), address).await {
        let pending = PendingReplies::default();
        let (reading_half, writing_half) = tokio::io::split(stream);
        let error = tokio::select! {
            error = read_replies(reading_half, rules, &pending) => error,
            error = write_calls(writing_half, &meter, &pending, &mut writes) => error,
        };
        if let Some(error) = error.filter(|error| !matches!(error, FrameError::Connection(_))) {
            log_event!(Warn, events::FRAME_REJECTED, "from {address}: {error}");
        }
        pending.fail_all(rules, meter.written());
    }
    writes.close();
    while let Some(unwritten) = writes.recv().await {
        if let HopWrite::Call(call) = unwritten {
            let _ = call.result_sender.send(HopCallResult::Unsent);
        }
    }
}

async fn read_replies(
    reading_half: impl AsyncRead + Unpin,
    rules: Rules,
    pending: &PendingReplies,
) -> Option<FrameError> {
    let mut reader = BufReader::new(reading_half);
    loop {
        match read_frame(&mut reader).await {
            Ok(frame) => pending.complete(rules, frame),
            Err(error) => return Some(error),
        }
    }
}

async fn write_calls(
    mut writing_half: impl AsyncWrite + Unpin,
    meter: &WriteMeter,
    pending: &PendingReplies,
    writes: &mut mpsc::Receiver<HopWrite>,
) -> Option<FrameError> {
    let mut sent_bytes = Vec::new();
    while let Some(first_write) = writes.recv().await {
        let written = meter.written();
        let mut next_write = Some(first_write);
        while let Some(write) = next_write {
            match write {
                HopWrite::Call(call) => append_call(&mut sent_bytes, written, pending, call),
                HopWrite::Notice(correlation, notice) => {
                    append_notice(&mut sent_bytes, pending, correlation, notice);
                }
            }
            let has_room = sent_bytes.len() < WRITE_BATCH_BYTES;
            next_write = if has_room {
                writes.try_recv().ok()
            } else {
                None
            };
        }
        if let Err(error) = writing_half.write_all(&sent_bytes).await {
            return Some(error.into());
        }
        sent_bytes.clear();
    }
    None
}

/// Appends a request to the write buffer, unless it has already been abandoned.
fn append_call(
    sent_bytes: &mut Vec<u8>,
    written: u64,
    pending: &PendingReplies,
    HopCall {
        frame,
        result_sender,
    }: HopCall,
) {
    let start_offset = written + sent_bytes.len() as u64;
    if result_sender.is_closed() {
        return;
    }
    if append_frame(sent_bytes, &frame).is_err() {
        let _ = result_sender.send(HopCallResult::Unsent);
    } else {
        pending.lock().insert(
            frame.correlation,
            AwaitedReply {
                result_sender,
                start_offset,
            },
        );
    }
}

/// Appends a notice to the write buffer if its request is still awaiting a reply.
fn append_notice(
    sent_bytes: &mut Vec<u8>,
    pending: &PendingReplies,
    correlation: CorrelationId,
    notice: RequesterNotice,
) {
    let mut awaited = pending.lock();
    let is_awaited = match notice {
        RequesterNotice::Withdrawn => awaited.contains_key(&correlation),
        RequesterNotice::Abandoned => awaited.remove(&correlation).is_some(),
    };
    if is_awaited {
        let body = notice.into_message();
        let _ = append_frame(sent_bytes, &DaemonFrame { correlation, body });
    }
}
