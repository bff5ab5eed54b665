//! Questions to other daemons, over one kept connection to each.

use super::connector::{ByteStream, Connector};
use super::metered::{Meter, MeteredStream};
use common::clock::Moment;
use common::events;
use common::frames::{
    Channel, FrameFault, HopBody, HopFrame, Place, append_frame, read_frame, write_channel,
};
use common::identity::CorrelationId;
use common::note;
use common::rules::{Rule, Rules};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, oneshot};

/// Frames are written together up to so many bytes.
pub(super) const SENT_AT_ONCE: usize = 64 << 10;
const MOST_QUEUED: usize = 1024;
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// How a passed-on transaction came back.
#[derive(Debug)]
pub enum AskEnd {
    /// With an answer.
    Reply(HopBody),
    /// Surely nothing was sent.
    Unsent,
    /// Sent, and nothing came back.
    Lost,
}

struct Asking {
    frame: HopFrame,
    end: oneshot::Sender<AskEnd>,
}

/// Links to the other daemons, one each, kept open.
pub struct HopLinks {
    connector: Arc<dyn Connector>,
    rules: Rules,
    senders: Mutex<HashMap<Place, mpsc::Sender<Asking>>>,
    next_correlation: AtomicU64,
}

impl HopLinks {
    /// No links yet.
    pub fn new(connector: Arc<dyn Connector>, rules: Rules) -> Self {
        Self {
            connector,
            rules,
            senders: Mutex::new(HashMap::new()),
            next_correlation: AtomicU64::new(1),
        }
    }

    /// Asks another daemon and waits for its answer.
    pub async fn ask(&self, place: Place, body: HopBody, wait_until: Moment) -> AskEnd {
        let correlation = CorrelationId(self.next_correlation.fetch_add(1, Ordering::Relaxed));
        let (end_sender, end) = oneshot::channel();
        let asking = Asking { frame: HopFrame { correlation, body }, end: end_sender };
        if self.link_to(place).try_send(asking).is_err() {
            return AskEnd::Unsent;
        }
        let wait_span = wait_until.since(Moment::now());
        match tokio::time::timeout(wait_span, end).await {
            Ok(Ok(ask_end)) => ask_end,
            Ok(Err(_)) | Err(_) => AskEnd::Lost,
        }
    }

    fn link_to(&self, place: Place) -> mpsc::Sender<Asking> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let known_sender = senders.get(&place).filter(|sender| !sender.is_closed());
        if let Some(sender) = known_sender {
            return sender.clone();
        }
        let (sender, askings) = mpsc::channel(MOST_QUEUED);
        tokio::spawn(keep_link(self.connector.clone(), self.rules, place, askings));
        senders.insert(place, sender.clone());
        sender
    }
}

struct Waiting {
    end: oneshot::Sender<AskEnd>,
    /// How many bytes the connection has taken before the first one of this question.
    first_byte: u64,
}

/// The questions on a connection that have no answer yet.
#[derive(Default)]
struct Pending(Mutex<BTreeMap<CorrelationId, Waiting>>);

impl Pending {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CorrelationId, Waiting>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replied(&self, rules: Rules, frame: HopFrame) {
        let mut waiting = self.lock();
        let asked = if rules.keep(Rule::ReplyMatched) {
            waiting.remove(&frame.correlation)
        } else {
            waiting.pop_first().map(|(_, first)| first)
        };
        if let Some(asked) = asked {
            let _ = asked.end.send(AskEnd::Reply(frame.body));
        }
    }

    /// The connection has ended after so many bytes: what it took none of was not sent.
    fn ended(&self, rules: Rules, written: u64) {
        for waiting in std::mem::take(&mut *self.lock()).into_values() {
            let is_unsent = written <= waiting.first_byte || !rules.keep(Rule::WrittenIsSent);
            let end = if is_unsent { AskEnd::Unsent } else { AskEnd::Lost };
            let _ = waiting.end.send(end);
        }
    }
}

async fn open(
    connector: &dyn Connector,
    place: Place,
) -> Result<(impl ByteStream, Arc<Meter>), FrameFault> {
    let opening = async {
        let (mut stream, meter) = MeteredStream::new(connector.to_daemon(place).await?);
        write_channel(&mut stream, Channel::Hop).await?;
        Ok((stream, meter))
    };
    tokio::time::timeout(CONNECT_PATIENCE, opening)
        .await
        .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))?
}

async fn keep_link(
    connector: Arc<dyn Connector>,
    rules: Rules,
    place: Place,
    mut askings: mpsc::Receiver<Asking>,
) {
    if let Ok((stream, meter)) = open(connector.as_ref(), place).await {
        let pending = Pending::default();
        let (reading_half, writing_half) = tokio::io::split(stream);
        let fault = tokio::select! {
            fault = read_replies(reading_half, rules, &pending) => fault,
            fault = write_askings(writing_half, &meter, &pending, &mut askings) => fault,
        };
        if let Some(fault) = fault.filter(|fault| !matches!(fault, FrameFault::Connection(_))) {
            note!(Warn, events::FRAME_REJECTED, "from {place}: {fault}");
        }
        pending.ended(rules, meter.written());
    }
    askings.close();
    while let Some(asking) = askings.recv().await {
        let _ = asking.end.send(AskEnd::Unsent);
    }
}

async fn read_replies(
    reading_half: impl AsyncRead + Unpin,
    rules: Rules,
    pending: &Pending,
) -> Option<FrameFault> {
    let mut reader = BufReader::new(reading_half);
    loop {
        match read_frame(&mut reader).await {
            Ok(frame) => pending.replied(rules, frame),
            Err(fault) => return Some(fault),
        }
    }
}

async fn write_askings(
    mut writing_half: impl AsyncWrite + Unpin,
    meter: &Meter,
    pending: &Pending,
    askings: &mut mpsc::Receiver<Asking>,
) -> Option<FrameFault> {
    let mut sent_bytes = Vec::new();
    while let Some(first_asking) = askings.recv().await {
        let written = meter.written();
        let mut next_asking = Some(first_asking);
        while let Some(Asking { frame, end }) = next_asking {
            let first_byte = written + sent_bytes.len() as u64;
            if append_frame(&mut sent_bytes, &frame).is_err() {
                let _ = end.send(AskEnd::Unsent);
            } else {
                pending.lock().insert(frame.correlation, Waiting { end, first_byte });
            }
            let has_room = sent_bytes.len() < SENT_AT_ONCE;
            next_asking = if has_room { askings.try_recv().ok() } else { None };
        }
        if let Err(fault) = writing_half.write_all(&sent_bytes).await {
            return Some(fault.into());
        }
        sent_bytes.clear();
    }
    None
}
