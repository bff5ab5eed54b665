//! Requests to other daemons, multiplexed over one persistent connection to each.

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

const MAX_QUEUED_CALLS: usize = 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of a request to another daemon.
#[derive(Debug)]
pub enum HopCallResult {
    /// It was answered.
    Reply(DaemonMessage),
    /// Certainly nothing was sent.
    Unsent,
    /// It may have been sent, and no reply came.
    Lost,
}

/// A request that waits to be written.
struct HopCall {
    frame: DaemonFrame,
    end: oneshot::Sender<HopCallResult>,
}

/// What waits to be written to a connection.
enum HopWrite {
    Call(HopCall),
    /// Word of a request that was written before.
    Notice(CorrelationId, RequesterNotice),
}

/// A request to another daemon whose reply is awaited. Dropped before that, it is abandoned, and the other daemon is
/// told so.
pub struct PendingHopCall {
    correlation: CorrelationId,
    wait_until: MonotonicTime,
    end: oneshot::Receiver<HopCallResult>,
    /// None once the call has ended, or if it could not be queued.
    sender: Option<mpsc::Sender<HopWrite>>,
}

impl PendingHopCall {
    /// Waits for the reply, at most until the time given with the request.
    pub async fn reply(&mut self) -> HopCallResult {
        if self.sender.is_none() {
            return HopCallResult::Unsent;
        }
        let wait_span = self.wait_until.since(MonotonicTime::now());
        let Ok(ended) = tokio::time::timeout(wait_span, &mut self.end).await else {
            return HopCallResult::Lost;
        };
        self.sender = None;
        ended.unwrap_or(HopCallResult::Lost)
    }

    /// Has the other daemon end the request as not run if no runner has it.
    pub fn withdraw(&self) {
        self.notify(RequesterNotice::Withdrawn);
    }

    /// A notice that finds no room is left out: the request then ends by its deadline.
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
    /// No connections yet.
    pub fn new(connector: Arc<dyn Connector>, rules: Rules) -> Self {
        Self {
            connector,
            rules,
            senders: Mutex::new(HashMap::new()),
            next_correlation: AtomicU64::new(1),
        }
    }

    /// Sends a request to another daemon, whose reply is waited for until `wait_until`.
    pub fn request(
        &self,
        address: SocketAddress,
        body: DaemonMessage,
        wait_until: MonotonicTime,
    ) -> PendingHopCall {
        let correlation = CorrelationId(self.next_correlation.fetch_add(1, Ordering::Relaxed));
        let (end_sender, end) = oneshot::channel();
        let call = HopCall {
            frame: DaemonFrame { correlation, body },
            end: end_sender,
        };
        let sender = self.sender_to(address);
        let is_queued = sender.try_send(HopWrite::Call(call)).is_ok();
        PendingHopCall {
            correlation,
            wait_until,
            end,
            sender: is_queued.then_some(sender),
        }
    }

    fn sender_to(&self, address: SocketAddress) -> mpsc::Sender<HopWrite> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let open_sender = senders.get(&address).filter(|sender| !sender.is_closed());
        if let Some(sender) = open_sender {
            return sender.clone();
        }
        let (sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
        // Detached: it ends with the connection, and then fails its calls. A sender to a closed one is replaced here.
        tokio::spawn(run_connection(
            self.connector.clone(),
            self.rules,
            address,
            calls,
        ));
        senders.insert(address, sender.clone());
        sender
    }
}

struct AwaitedReply {
    end: oneshot::Sender<HopCallResult>,
    /// The number of bytes that the connection had accepted before the first one of this request.
    first_byte: u64,
}

/// The requests on a connection that have no reply yet.
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
            let _ = awaited_reply.end.send(HopCallResult::Reply(frame.body));
        }
    }

    /// Fails all requests because the connection has ended after this many bytes: a request of which it accepted no
    /// byte was not sent.
    fn fail_all(&self, rules: Rules, written: u64) {
        for awaited in std::mem::take(&mut *self.lock()).into_values() {
            let is_unsent =
                written <= awaited.first_byte || !rules.enforces(Rule::PartialWriteCountsAsSent);
            let end = if is_unsent {
                HopCallResult::Unsent
            } else {
                HopCallResult::Lost
            };
            let _ = awaited.end.send(end);
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
            let _ = call.end.send(HopCallResult::Unsent);
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

/// Appends a request, unless its requester has given it up already.
fn append_call(
    sent_bytes: &mut Vec<u8>,
    written: u64,
    pending: &PendingReplies,
    HopCall { frame, end }: HopCall,
) {
    let first_byte = written + sent_bytes.len() as u64;
    if end.is_closed() {
        return;
    }
    if append_frame(sent_bytes, &frame).is_err() {
        let _ = end.send(HopCallResult::Unsent);
    } else {
        pending
            .lock()
            .insert(frame.correlation, AwaitedReply { end, first_byte });
    }
}

/// Appends a notice of a request that still has no reply.
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
