use super::controller::Shared;
use crate::controller_state::ControllerInput;
use crate::leader_state::StreamId;
use common::events;
use common::frames::{
    Channel, ConsensusFrame, DaemonToLeader, FrameError, LeaderToDaemon, SocketAddress,
    append_frame, read_channel, read_frame,
};
use common::log_event;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A daemon on a slow link is cut off only when so few bytes of a frame take longer than this.
const WRITE_CHUNK_BYTES: usize = 8 << 10;
const CHUNK_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PROCESS_PROBES: usize = 4;
const PROCESS_PROBE_INTERVAL: Duration = Duration::from_millis(20);
const PROCESS_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Accepts connections of other processes.
pub async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection_shared = shared.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, &connection_shared).await {
                        let is_disconnect = matches!(error, FrameError::Connection(_));
                        if !is_disconnect {
                            log_event!(Warn, events::FRAME_REJECTED, "from {from}: {error}");
                            connection_shared.metrics.count_rejected();
                        }
                    }
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(mut stream: TcpStream, shared: &Arc<Shared>) -> Result<(), FrameError> {
    common::sockets::set_socket_options(&stream);
    let channel = tokio::time::timeout(Duration::from_secs(3), read_channel(&mut stream))
        .await
        .map_err(|_| FrameError::Connection(std::io::ErrorKind::TimedOut.into()))??;
    match channel {
        Channel::Consensus => {
            let mut reader = BufReader::new(stream);
            let mut sender_address = None;
            let ended = loop {
                let frame: ConsensusFrame = match read_frame(&mut reader).await {
                    Ok(frame) => frame,
                    Err(error) => break error,
                };
                sender_address = Some(frame.address);
                if shared
                    .inputs
                    .send(ControllerInput::Consensus(frame))
                    .await
                    .is_err()
                {
                    return Ok(());
                }
            };
            if let Some(address) = sender_address {
                probe_ended_process(address, shared).await;
            }
            Err(ended)
        }
        Channel::Stream => serve_stream(stream, shared).await,
        Channel::Daemons => Err(FrameError::WrongChannel(3)),
    }
}

/// A controller's link has ended: asks its place a few times, since a dying process closes its links
/// before its listener, and says so if its process is gone.
async fn probe_ended_process(address: SocketAddress, shared: &Shared) {
    for _ in 0..MAX_PROCESS_PROBES {
        let probe_result =
            tokio::time::timeout(PROCESS_PROBE_TIMEOUT, TcpStream::connect(address.to_std())).await;
        match probe_result {
            Ok(Err(error)) if is_refusal(error.kind()) => {
                let _ = shared
                    .inputs
                    .send(ControllerInput::ProcessGone(address))
                    .await;
                return;
            }
            Ok(Ok(_)) => tokio::time::sleep(PROCESS_PROBE_INTERVAL).await,
            _ => return,
        }
    }
}

fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

async fn serve_stream(stream: TcpStream, shared: &Arc<Shared>) -> Result<(), FrameError> {
    let stream_id = StreamId(shared.next_id());
    let (sender, mut frames) = mpsc::channel(4096);
    if let Ok(mut open_streams) = shared.streams.lock() {
        open_streams.insert(stream_id, sender);
    }
    let (reading_half, mut writing_half) = stream.into_split();
    let mut reader = BufReader::new(reading_half);
    let reading = async {
        loop {
            let frame: DaemonToLeader = read_frame(&mut reader).await?;
            shared.metrics.frames_up.inc();
            if shared
                .inputs
                .send(ControllerInput::Stream(stream_id, frame))
                .await
                .is_err()
            {
                return Ok::<(), FrameError>(());
            }
        }
    };
    let writing = async {
        let mut sent_bytes = Vec::new();
        while let Some(frame) = frames.recv().await {
            shared.metrics.frames_down.inc();
            if let LeaderToDaemon::Spec { document: blob, .. }
            | LeaderToDaemon::Change { patch: blob, .. } = &frame
            {
                shared.metrics.pushed_bytes.inc_by(blob.0.len() as u64);
            }
            sent_bytes.clear();
            append_frame(&mut sent_bytes, &frame)?;
            for chunk in sent_bytes.chunks(WRITE_CHUNK_BYTES) {
                tokio::time::timeout(CHUNK_WRITE_TIMEOUT, writing_half.write_all(chunk))
                    .await
                    .map_err(|_| FrameError::Connection(std::io::ErrorKind::TimedOut.into()))??;
            }
        }
        Ok::<(), FrameError>(())
    };
    let ended = tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    };
    if let Ok(mut open_streams) = shared.streams.lock() {
        open_streams.remove(&stream_id);
    }
    let _ = shared
        .inputs
        .send(ControllerInput::StreamLost(stream_id))
        .await;
    ended
}
