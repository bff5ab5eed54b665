//! Transactions between daemons, over one connection to each.

use super::State;
use super::connector::{ByteStream, Connector};
use crate::agent::Ask;
use crate::chain::resolve;
use common::clock::Moment;
use common::frames::{
    Channel, FrameFault, HopBody, HopFrame, HopOutcome, Many, Place, append_frame, read_frame,
    write_channel,
};
use common::identity::CorrelationId;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, oneshot};

const SENT_AT_ONCE: usize = 64 << 10;
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// How a passed-on transaction came back.
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
    senders: Mutex<HashMap<Place, mpsc::Sender<Asking>>>,
    next_correlation: AtomicU64,
}

impl HopLinks {
    /// No links yet.
    pub fn new(connector: Arc<dyn Connector>) -> Self {
        Self { connector, senders: Mutex::new(HashMap::new()), next_correlation: AtomicU64::new(1) }
    }

    /// Asks another daemon and waits for its answer.
    pub async fn ask(&self, place: Place, body: HopBody, wait_until: Moment) -> AskEnd {
        let correlation = CorrelationId(self.next_correlation.fetch_add(1, Ordering::Relaxed));
        let (end_sender, end) = oneshot::channel();
        let asking = Asking { frame: HopFrame { correlation, body }, end: end_sender };
        let sender = {
            let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
            let known_sender = senders.get(&place).filter(|sender| !sender.is_closed());
            match known_sender {
                Some(sender) => sender.clone(),
                None => {
                    let (sender, askings) = mpsc::channel(1024);
                    tokio::spawn(keep_link(self.connector.clone(), place, askings));
                    senders.insert(place, sender.clone());
                    sender
                }
            }
        };
        if sender.try_send(asking).is_err() {
            return AskEnd::Unsent;
        }
        let wait_span = wait_until.since(Moment::now());
        match tokio::time::timeout(wait_span, end).await {
            Ok(Ok(ask_end)) => ask_end,
            Ok(Err(_)) | Err(_) => AskEnd::Lost,
        }
    }
}

type Pending = Arc<Mutex<HashMap<CorrelationId, oneshot::Sender<AskEnd>>>>;

async fn open(connector: &dyn Connector, place: Place) -> Option<Box<dyn ByteStream>> {
    let opening = async {
        let mut stream = connector.to_daemon(place).await?;
        write_channel(&mut stream, Channel::Hop).await?;
        Ok::<_, FrameFault>(stream)
    };
    tokio::time::timeout(CONNECT_PATIENCE, opening).await.ok()?.ok()
}

async fn keep_link(
    connector: Arc<dyn Connector>,
    place: Place,
    mut askings: mpsc::Receiver<Asking>,
) {
    let Some(stream) = open(connector.as_ref(), place).await else {
        askings.close();
        while let Some(asking) = askings.recv().await {
            let _ = asking.end.send(AskEnd::Unsent);
        }
        return;
    };
    let pending: Pending = Arc::new(Mutex::new(HashMap::new()));
    let (reading_half, mut writing_half) = tokio::io::split(stream);
    let reading_pending = pending.clone();
    let reading = async move {
        let mut reader = BufReader::new(reading_half);
        while let Ok(HopFrame { correlation, body }) = read_frame::<_, HopFrame>(&mut reader).await
        {
            let mut open_asks = reading_pending.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(end) = open_asks.remove(&correlation) {
                let _ = end.send(AskEnd::Reply(body));
            }
        }
    };
    let writing = async {
        let mut sent_bytes = Vec::new();
        while let Some(first_asking) = askings.recv().await {
            let mut next_asking = Some(first_asking);
            while let Some(asking) = next_asking {
                if append_frame(&mut sent_bytes, &asking.frame).is_err() {
                    let _ = asking.end.send(AskEnd::Unsent);
                } else {
                    let mut open_asks = pending.lock().unwrap_or_else(PoisonError::into_inner);
                    open_asks.insert(asking.frame.correlation, asking.end);
                }
                let has_room = sent_bytes.len() < SENT_AT_ONCE;
                next_asking = if has_room { askings.try_recv().ok() } else { None };
            }
            if writing_half.write_all(&sent_bytes).await.is_err() {
                return;
            }
            sent_bytes.clear();
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
    askings.close();
    while let Ok(asking) = askings.try_recv() {
        let _ = asking.end.send(AskEnd::Unsent);
    }
    pending.lock().unwrap_or_else(PoisonError::into_inner).clear();
}

/// Serves another daemon's link.
pub async fn serve(state: Arc<State>, stream: impl ByteStream + 'static) -> Result<(), FrameFault> {
    let (reading_half, mut writing_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(reading_half);
    let (done_sender, mut done_frames) = mpsc::channel::<HopFrame>(1024);
    tokio::spawn(async move {
        let mut sent_bytes = Vec::new();
        while let Some(frame) = done_frames.recv().await {
            let mut next_frame = Some(frame);
            while let Some(frame) = next_frame {
                if append_frame(&mut sent_bytes, &frame).is_err() {
                    return;
                }
                let has_room = sent_bytes.len() < SENT_AT_ONCE;
                next_frame = if has_room { done_frames.try_recv().ok() } else { None };
            }
            if writing_half.write_all(&sent_bytes).await.is_err() {
                return;
            }
            sent_bytes.clear();
        }
    });
    loop {
        let HopFrame { correlation, body } = read_frame(&mut reader).await?;
        let ask_state = state.clone();
        let ask_done = done_sender.clone();
        tokio::spawn(async move {
            if let Some(body) = answer(&ask_state, body).await {
                let _ = ask_done.send(HopFrame { correlation, body }).await;
            }
        });
    }
}

async fn answer(state: &Arc<State>, body: HopBody) -> Option<HopBody> {
    match Ask::passed_on(Moment::now(), body) {
        Ok(ask) => {
            let resolved = resolve(state, ask).await;
            let is_answer = matches!(resolved.outcome, HopOutcome::Answer { .. });
            let named_holder =
                resolved.holder.filter(|holder| !is_answer || *holder != state.agent.own_host);
            let holder = Many(named_holder.into_iter().collect());
            Some(HopBody::Done { outcome: resolved.outcome, holder })
        }
        Err(question) => state.agent.answer_as_steward(Moment::now(), *question),
    }
}
