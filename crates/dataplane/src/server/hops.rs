//! Serves requests from other daemons on their connections.

use crate::agent::{FunctionRequest, ShutdownPhase};
use crate::drivers::{ByteStream, State, WRITE_BATCH_BYTES};
use crate::request_pipeline::{ForwardedOutcome, forward_for_daemon};
use common::clock::MonotonicTime;
use common::frames::{
    DaemonFrame, DaemonMessage, FrameError, LengthPrefixed, RequestFailureReason, RequestOutcome,
    RequesterNotice, append_frame, read_frame,
};
use common::identity::CorrelationId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, watch};

/// The maximum number of replies that wait to be written to a connection. Calls that end later wait for space.
const MAX_QUEUED_REPLIES: usize = 1024;

/// Serves another daemon's connection until it ends. The requests that are in progress then are cancelled; the other
/// daemon treats them as lost and may retry them.
///
/// # Errors
/// The [`FrameError`] that ended the connection. A regular close is reported as an error, too.
pub async fn serve(state: Arc<State>, stream: impl ByteStream + 'static) -> Result<(), FrameError> {
    let (reading_half, writing_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(reading_half);
    let (reply_sender, replies) = mpsc::channel::<DaemonFrame>(MAX_QUEUED_REPLIES);
    // Detached. The task ends when the last reply sender is dropped or the connection fails.
    tokio::spawn(write_replies(writing_half, replies));
    let open_calls = OpenCalls::default();
    // Dropped when the connection ends, which cancels all its calls.
    let _connection_guard = ConnectionGuard(open_calls.clone());
    loop {
        let DaemonFrame { correlation, body } = read_frame(&mut reader).await?;
        if let Some(notice) = RequesterNotice::from_message(&body) {
            open_calls.notify(correlation, notice);
            continue;
        }
        let call_state = state.clone();
        let call_reply_sender = reply_sender.clone();
        let mut open_call = open_calls.open(correlation);
        // Detached. The task is cancelled by a notice from the requester, or when the connection ends.
        tokio::spawn(async move {
            let requester_phase = open_call.requester_phase.clone();
            let reply = tokio::select! {
                reply = handle_call(&call_state, body, requester_phase) => reply,
                () = open_call.abandoned() => None,
            };
            if let Some(body) = reply {
                let _ = call_reply_sender
                    .send(DaemonFrame { correlation, body })
                    .await;
            }
        });
    }
}

/// The calls on a connection that have not been replied to. Dropping the sender of a call abandons the call.
#[derive(Clone, Default)]
struct OpenCalls(Arc<Mutex<HashMap<CorrelationId, watch::Sender<ShutdownPhase>>>>);

impl OpenCalls {
    fn lock(&self) -> MutexGuard<'_, HashMap<CorrelationId, watch::Sender<ShutdownPhase>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self, correlation: CorrelationId) -> OpenCall {
        let (sender, requester_phase) = watch::channel(ShutdownPhase::Finishing);
        self.lock().insert(correlation, sender);
        OpenCall {
            correlation,
            open_calls: self.clone(),
            requester_phase,
        }
    }

    fn notify(&self, correlation: CorrelationId, notice: RequesterNotice) {
        match notice {
            RequesterNotice::Withdrawn => {
                if let Some(sender) = self.lock().get(&correlation) {
                    sender.send_replace(ShutdownPhase::Withdrawing);
                }
            }
            RequesterNotice::Abandoned => {
                self.lock().remove(&correlation);
            }
        }
    }
}

/// Abandons all calls of a connection on drop.
struct ConnectionGuard(OpenCalls);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.lock().clear();
    }
}

/// A call that has not been replied to.
struct OpenCall {
    correlation: CorrelationId,
    open_calls: OpenCalls,
    /// The shutdown phase that the calling daemon has reported.
    requester_phase: watch::Receiver<ShutdownPhase>,
}

impl OpenCall {
    /// Waits until the requester abandons the call or the connection ends.
    async fn abandoned(&mut self) {
        while self.requester_phase.changed().await.is_ok() {}
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.open_calls.lock().remove(&self.correlation);
    }
}

async fn write_replies(
    mut writing_half: impl AsyncWrite + Unpin,
    mut replies: mpsc::Receiver<DaemonFrame>,
) {
    let mut sent_bytes = Vec::new();
    while let Some(frame) = replies.recv().await {
        let mut next_frame = Some(frame);
        while let Some(frame) = next_frame {
            append_reply(&mut sent_bytes, &frame);
            let has_room = sent_bytes.len() < WRITE_BATCH_BYTES;
            next_frame = if has_room {
                replies.try_recv().ok()
            } else {
                None
            };
        }
        if writing_half.write_all(&sent_bytes).await.is_err() {
            return;
        }
        sent_bytes.clear();
    }
}

/// Appends a reply to the write buffer. A reply that is too large for a frame is replaced by
/// [`RequestFailureReason::ResponseLost`], so that the replies after it are still delivered.
fn append_reply(sent_bytes: &mut Vec<u8>, frame: &DaemonFrame) {
    if append_frame(sent_bytes, frame).is_err() {
        let outcome = RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost,
        };
        let body = DaemonMessage::Completed {
            outcome,
            holder: LengthPrefixed(Vec::new()),
            regional_delay_deciseconds: 0,
        };
        let _ = append_frame(
            sent_bytes,
            &DaemonFrame {
                correlation: frame.correlation,
                body,
            },
        );
    }
}

async fn handle_call(
    state: &Arc<State>,
    body: DaemonMessage,
    requester_phase: watch::Receiver<ShutdownPhase>,
) -> Option<DaemonMessage> {
    match FunctionRequest::from_message(MonotonicTime::now(), body) {
        Ok(request) => {
            let forwarded_outcome = forward_for_daemon(state, request, requester_phase).await;
            let is_response = matches!(forwarded_outcome.outcome, RequestOutcome::Response { .. });
            let reported_holder = forwarded_outcome
                .holder
                .filter(|holder| !is_response || *holder != state.agent.own_host);
            let holder = LengthPrefixed(reported_holder.into_iter().collect());
            let ForwardedOutcome {
                outcome,
                regional_delay_deciseconds,
                ..
            } = forwarded_outcome;
            Some(DaemonMessage::Completed {
                outcome,
                holder,
                regional_delay_deciseconds,
            })
        }
        Err(replica_request) => state
            .agent
            .handle_replica_request(MonotonicTime::now(), *replica_request),
    }
}
