//! Serves the connections of other processes: controllers' consensus frames and daemons' streams.

use super::shared::Shared;
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
use tokio::io::{AsyncRead, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The size of the chunks in which frames are written. Each chunk has its own timeout, so that a large frame does not
/// disconnect a daemon on a slow link.
const WRITE_CHUNK_BYTES: usize = 8 << 10;
/// How long writing one chunk may take.
const CHUNK_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of frames queued for a daemon. A daemon that does not keep up is disconnected.
const MAX_QUEUED_FRAMES: usize = 4096;
/// How long a new connection may take to name its channel.
const CHANNEL_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of connections that are tried to find out whether a controller's process has exited.
const MAX_PROCESS_PROBES: usize = 4;
/// The pause between two such connections.
const PROCESS_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// How long opening such a connection may take. After that, nothing is known about the process.
const PROCESS_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of other processes. The task of each connection is detached. It ends with its connection, or
/// when the controller has stopped.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let connection_shared = shared.clone();
                tokio::spawn(async move {
                    match serve(stream, &connection_shared).await {
                        Ok(()) | Err(FrameError::Connection(_)) => {}
                        Err(error) => {
                            log_event!(Warn, events::FRAME_REJECTED, "from {from}: {error}");
                            connection_shared.metrics.count_rejected();
                        }
                    }
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> Result<(), FrameError> {
    common::sockets::set_socket_options(&stream);
    let channel = tokio::time::timeout(CHANNEL_TIMEOUT, read_channel(&mut stream))
        .await
        .map_err(|_| timed_out())??;
    match channel {
        Channel::Consensus => serve_consensus(stream, shared).await,
        Channel::Stream => serve_stream(stream, shared).await,
        Channel::Daemons => Err(FrameError::WrongChannel(3)),
    }
}

fn timed_out() -> FrameError {
    FrameError::Connection(ErrorKind::TimedOut.into())
}

/// Reads another controller's frames until its connection ends.
async fn serve_consensus(stream: TcpStream, shared: &Shared) -> Result<(), FrameError> {
    let mut reader = BufReader::new(stream);
    let mut sender_address = None;
    let ended = loop {
        let frame: ConsensusFrame = match read_frame(&mut reader).await {
            Ok(frame) => frame,
            Err(error) => break error,
        };
        sender_address = Some(frame.address);
        let input = ControllerInput::Consensus(frame);
        if shared.inputs.send(input).await.is_err() {
            return Ok(());
        }
    };
    if let Some(address) = sender_address {
        probe_ended_process(address, shared).await;
    }
    Err(ended)
}

/// Probes the address of a controller whose connection has ended, and reports its process as exited if a connection is
/// refused. Tries several times, because an exiting process closes its connections before its listener.
async fn probe_ended_process(address: SocketAddress, shared: &Shared) {
    for _ in 0..MAX_PROCESS_PROBES {
        let probe_result =
            tokio::time::timeout(PROCESS_PROBE_TIMEOUT, TcpStream::connect(address.to_std())).await;
        match probe_result {
            Ok(Err(error)) if is_connection_refused(error.kind()) => {
                let _ = shared
                    .inputs
                    .send(ControllerInput::ProcessExited(address))
                    .await;
                return;
            }
            Ok(Ok(_)) => tokio::time::sleep(PROCESS_PROBE_INTERVAL).await,
            _ => return,
        }
    }
}

fn is_connection_refused(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Serves one daemon until either direction of its connection ends.
async fn serve_stream(connection: TcpStream, shared: &Shared) -> Result<(), FrameError> {
    let stream = StreamId(shared.next_id());
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    shared.streams.open(stream, sender);
    let (reading_half, writing_half) = connection.into_split();
    let ended = tokio::select! {
        ended = read_daemon_frames(stream, BufReader::new(reading_half), shared) => ended,
        ended = write_daemon_frames(frames, writing_half, shared) => ended,
    };
    shared.streams.close(stream);
    let _ = shared
        .inputs
        .send(ControllerInput::StreamLost(stream))
        .await;
    ended
}

/// Passes a daemon's frames to the controller until the controller has stopped. Returns an error if the connection
/// ends.
async fn read_daemon_frames(
    stream: StreamId,
    mut reader: impl AsyncRead + Unpin,
    shared: &Shared,
) -> Result<(), FrameError> {
    loop {
        let frame: DaemonToLeader = read_frame(&mut reader).await?;
        shared.metrics.frames_up.inc();
        let input = ControllerInput::DaemonFrame(stream, frame);
        if shared.inputs.send(input).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes frames to a daemon until the controller closes the stream.
async fn write_daemon_frames(
    mut frames: mpsc::Receiver<LeaderToDaemon>,
    mut writing_half: OwnedWriteHalf,
    shared: &Shared,
) -> Result<(), FrameError> {
    let mut frame_bytes = Vec::new();
    while let Some(frame) = frames.recv().await {
        shared.metrics.frames_down.inc();
        if let LeaderToDaemon::Spec { document: blob, .. }
        | LeaderToDaemon::SpecDelta { delta: blob, .. } = &frame
        {
            shared.metrics.pushed_bytes.inc_by(blob.0.len() as u64);
        }
        frame_bytes.clear();
        append_frame(&mut frame_bytes, &frame)?;
        for chunk in frame_bytes.chunks(WRITE_CHUNK_BYTES) {
            tokio::time::timeout(CHUNK_WRITE_TIMEOUT, writing_half.write_all(chunk))
                .await
                .map_err(|_| timed_out())??;
        }
    }
    Ok(())
}
