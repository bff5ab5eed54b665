use super::engine::Shared;
use crate::controller_state::ControllerInput;
use crate::leader_state::StreamId;
use common::events;
use common::frames::{
    Channel, CoreFrame, FrameFault, Place, StreamDown, StreamUp, append_frame, read_channel,
    read_frame,
};
use common::note;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A daemon on a slow link is cut off only when so few bytes of a frame take longer than this.
const WRITTEN_PART: usize = 8 << 10;
const PART_PATIENCE: Duration = Duration::from_secs(3);
const GONE_TRIES: usize = 4;
const GONE_AGAIN_AFTER: Duration = Duration::from_millis(20);
const GONE_PATIENCE: Duration = Duration::from_millis(300);

/// Accepts connections of other processes.
pub async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection_shared = shared.clone();
                tokio::spawn(async move {
                    if let Err(fault) = serve(stream, &connection_shared).await {
                        let is_plain_end = matches!(fault, FrameFault::Connection(_));
                        if !is_plain_end {
                            note!(Warn, events::FRAME_REJECTED, "from {from}: {fault}");
                            connection_shared.gauges.count_rejected();
                        }
                    }
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(mut stream: TcpStream, shared: &Arc<Shared>) -> Result<(), FrameFault> {
    common::sockets::tune(&stream);
    let channel = tokio::time::timeout(Duration::from_secs(3), read_channel(&mut stream))
        .await
        .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
    match channel {
        Channel::Core => {
            let mut reader = BufReader::new(stream);
            let mut sender_place = None;
            let ended = loop {
                let frame: CoreFrame = match read_frame(&mut reader).await {
                    Ok(frame) => frame,
                    Err(fault) => break fault,
                };
                sender_place = Some(frame.place);
                if shared.inputs.send(ControllerInput::Core(frame)).await.is_err() {
                    return Ok(());
                }
            };
            if let Some(place) = sender_place {
                notice_end(place, shared).await;
            }
            Err(ended)
        }
        Channel::Stream => serve_stream(stream, shared).await,
        Channel::Hop => Err(FrameFault::WrongChannel(3)),
    }
}

/// A controller's link has ended: asks its place a few times, since a dying process closes its links
/// before its listener, and says so if its process is gone.
async fn notice_end(place: Place, shared: &Shared) {
    for _ in 0..GONE_TRIES {
        let asked = tokio::time::timeout(GONE_PATIENCE, TcpStream::connect(place.address())).await;
        match asked {
            Ok(Err(fault)) if is_refusal(fault.kind()) => {
                let _ = shared.inputs.send(ControllerInput::Gone(place)).await;
                return;
            }
            Ok(Ok(_)) => tokio::time::sleep(GONE_AGAIN_AFTER).await,
            _ => return,
        }
    }
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}

async fn serve_stream(stream: TcpStream, shared: &Arc<Shared>) -> Result<(), FrameFault> {
    let stream_id = StreamId(shared.number());
    let (sender, mut frames) = mpsc::channel(4096);
    if let Ok(mut open_streams) = shared.streams.lock() {
        open_streams.insert(stream_id, sender);
    }
    let (reading_half, mut writing_half) = stream.into_split();
    let mut reader = BufReader::new(reading_half);
    let reading = async {
        loop {
            let frame: StreamUp = read_frame(&mut reader).await?;
            shared.gauges.frames_up.inc();
            if shared.inputs.send(ControllerInput::Stream(stream_id, frame)).await.is_err() {
                return Ok::<(), FrameFault>(());
            }
        }
    };
    let writing = async {
        let mut sent_bytes = Vec::new();
        while let Some(frame) = frames.recv().await {
            shared.gauges.frames_down.inc();
            if let StreamDown::Spec { document: blob, .. }
            | StreamDown::Change { patch: blob, .. } = &frame
            {
                shared.gauges.pushed_bytes.inc_by(blob.0.len() as u64);
            }
            sent_bytes.clear();
            append_frame(&mut sent_bytes, &frame)?;
            for part in sent_bytes.chunks(WRITTEN_PART) {
                tokio::time::timeout(PART_PATIENCE, writing_half.write_all(part))
                    .await
                    .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
            }
        }
        Ok::<(), FrameFault>(())
    };
    let ended = tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    };
    if let Ok(mut open_streams) = shared.streams.lock() {
        open_streams.remove(&stream_id);
    }
    let _ = shared.inputs.send(ControllerInput::StreamLost(stream_id)).await;
    ended
}
