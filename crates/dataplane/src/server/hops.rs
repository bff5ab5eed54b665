//! Requests from other daemons, served on their connections.

use crate::agent::FunctionRequest;
use crate::drivers::{ByteStream, State, WRITE_BATCH_BYTES};
use crate::request_pipeline::{ForwardedOutcome, forward_to_holder};
use common::clock::MonotonicTime;
use common::frames::{
    DaemonFrame, DaemonMessage, FrameError, LengthPrefixed, RequestFailureReason, RequestOutcome,
    append_frame, read_frame,
};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, watch};

const MAX_QUEUED_REPLIES: usize = 1024;

/// Serves another daemon's connection until it ends. Requests that are under way then are cancelled: their daemon
/// counts them as lost, and may retry them.
///
/// # Errors
/// The [`FrameError`] that ended the connection, its regular end included.
pub async fn serve(state: Arc<State>, stream: impl ByteStream + 'static) -> Result<(), FrameError> {
    let (reading_half, writing_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(reading_half);
    let (reply_sender, replies) = mpsc::channel::<DaemonFrame>(MAX_QUEUED_REPLIES);
    // Detached: it ends when the last reply sender is dropped or the connection fails.
    tokio::spawn(write_replies(writing_half, replies));
    let (_connection_guard, connection_end) = watch::channel(());
    loop {
        let DaemonFrame { correlation, body } = read_frame(&mut reader).await?;
        let call_state = state.clone();
        let call_reply_sender = reply_sender.clone();
        let mut call_connection_end = connection_end.clone();
        // Detached, and cancelled by the drop of the connection guard.
        tokio::spawn(async move {
            let reply = tokio::select! {
                reply = handle_call(&call_state, body) => reply,
                _ = call_connection_end.changed() => None,
            };
            if let Some(body) = reply {
                let _ = call_reply_sender
                    .send(DaemonFrame { correlation, body })
                    .await;
            }
        });
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

/// Appends a reply; one that is too large for a frame is replaced by a lost response, so that those behind it are not
/// lost too.
fn append_reply(sent_bytes: &mut Vec<u8>, frame: &DaemonFrame) {
    if append_frame(sent_bytes, frame).is_err() {
        let outcome = RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost,
        };
        let body = DaemonMessage::Completed {
            outcome,
            holder: LengthPrefixed(Vec::new()),
            regional_tenths: 0,
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

async fn handle_call(state: &Arc<State>, body: DaemonMessage) -> Option<DaemonMessage> {
    match FunctionRequest::from_frame(MonotonicTime::now(), body) {
        Ok(request) => {
            let forwarded_outcome = forward_to_holder(state, request).await;
            let is_answer = matches!(forwarded_outcome.outcome, RequestOutcome::Response { .. });
            let reported_holder = forwarded_outcome
                .holder
                .filter(|holder| !is_answer || *holder != state.agent.own_host);
            let holder = LengthPrefixed(reported_holder.into_iter().collect());
            let ForwardedOutcome {
                outcome,
                regional_tenths,
                ..
            } = forwarded_outcome;
            Some(DaemonMessage::Completed {
                outcome,
                holder,
                regional_tenths,
            })
        }
        Err(replica_request) => state
            .agent
            .answer_replica_request(MonotonicTime::now(), *replica_request),
    }
}
