//! Questions from other daemons, served on their connections.

use super::State;
use super::connector::ByteStream;
use super::hop_links::SENT_AT_ONCE;
use crate::agent::Ask;
use crate::chain::{Resolved, resolve};
use common::clock::Moment;
use common::frames::{
    FrameFault, HopBody, HopFrame, HopOutcome, HopReason, Many, append_frame, read_frame,
};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, watch};

const MOST_QUEUED: usize = 1024;

/// Serves another daemon's link. Questions that are under way when it ends are given up: their daemon counts
/// them as lost, and may ask again.
pub async fn serve(state: Arc<State>, stream: impl ByteStream + 'static) -> Result<(), FrameFault> {
    let (reading_half, writing_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(reading_half);
    let (done_sender, done_frames) = mpsc::channel::<HopFrame>(MOST_QUEUED);
    tokio::spawn(write_replies(writing_half, done_frames));
    let (_link_guard, link_end) = watch::channel(());
    loop {
        let HopFrame { correlation, body } = read_frame(&mut reader).await?;
        let ask_state = state.clone();
        let ask_done = done_sender.clone();
        let mut ask_link_end = link_end.clone();
        tokio::spawn(async move {
            let answered = tokio::select! {
                answered = answer(&ask_state, body) => answered,
                _ = ask_link_end.changed() => None,
            };
            if let Some(body) = answered {
                let _ = ask_done.send(HopFrame { correlation, body }).await;
            }
        });
    }
}

async fn write_replies(
    mut writing_half: impl AsyncWrite + Unpin,
    mut done_frames: mpsc::Receiver<HopFrame>,
) {
    let mut sent_bytes = Vec::new();
    while let Some(frame) = done_frames.recv().await {
        let mut next_frame = Some(frame);
        while let Some(frame) = next_frame {
            append_reply(&mut sent_bytes, &frame);
            let has_room = sent_bytes.len() < SENT_AT_ONCE;
            next_frame = if has_room { done_frames.try_recv().ok() } else { None };
        }
        if writing_half.write_all(&sent_bytes).await.is_err() {
            return;
        }
        sent_bytes.clear();
    }
}

/// An answer that fits in no frame is lost by itself; those behind it are not.
fn append_reply(sent_bytes: &mut Vec<u8>, frame: &HopFrame) {
    if append_frame(sent_bytes, frame).is_err() {
        let outcome = HopOutcome::Unknown { reason: HopReason::AnswerLost };
        let body = HopBody::Done { outcome, holder: Many(Vec::new()), regional_tenths: 0 };
        let _ = append_frame(sent_bytes, &HopFrame { correlation: frame.correlation, body });
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
            let Resolved { outcome, regional_tenths, .. } = resolved;
            Some(HopBody::Done { outcome, holder, regional_tenths })
        }
        Err(question) => state.agent.answer_as_steward(Moment::now(), *question),
    }
}
