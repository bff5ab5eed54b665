//! Outgoing connections to the other controllers.

use common::frames::{Channel, ConsensusFrame, FrameError, SocketAddress, dial, write_frame};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The bounds of the pause after a failure, which doubles with each consecutive one.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// How long a link without frames to send is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of frames queued for a connection.
const MAX_QUEUED_FRAMES: usize = 256;
/// How long connecting to a controller may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long writing one frame may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// One-way connections to the other controllers. Frames that cannot be sent soon are dropped, because consensus resends
/// what matters and late heartbeats are useless.
pub(super) struct PeerLinks {
    own_ip: Ipv4Addr,
    senders: HashMap<SocketAddress, mpsc::Sender<ConsensusFrame>>,
}

impl PeerLinks {
    /// Returns an empty set of connections, which will be opened from this IP address.
    pub(super) fn new(own_ip: Ipv4Addr) -> Self {
        Self {
            own_ip,
            senders: HashMap::new(),
        }
    }

    /// Queues a frame for sending, or drops it if the queue is full.
    pub(super) fn send(&mut self, to: SocketAddress, frame: ConsensusFrame) {
        let own_ip = self.own_ip;
        self.senders.retain(|_, sender| !sender.is_closed());
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
            // Detached: the task ends when the sender is dropped or the connection has been idle.
            tokio::spawn(run_link(own_ip, to, frames));
            sender
        });
        let _ = sender.try_send(frame);
    }
}

/// Connects and writes frames until the link is idle. After a failure, the queued frames are dropped. From the second
/// consecutive failure on, the next attempt waits for a new frame.
async fn run_link(own_ip: Ipv4Addr, to: SocketAddress, mut frames: mpsc::Receiver<ConsensusFrame>) {
    let mut backoff = MIN_BACKOFF;
    let mut first_frame = None;
    loop {
        match write_frames(own_ip, to, &mut frames, first_frame.take(), &mut backoff).await {
            Ok(()) => return,
            Err(_) => tokio::time::sleep(backoff).await,
        }
        while frames.try_recv().is_ok() {}
        if backoff > MIN_BACKOFF {
            match tokio::time::timeout(IDLE_TIMEOUT, frames.recv()).await {
                Ok(Some(frame)) => first_frame = Some(frame),
                _ => return,
            }
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Writes frames until the connection is idle or no longer needed. Returns an error if the connection ends.
async fn write_frames(
    own_ip: Ipv4Addr,
    to: SocketAddress,
    frames: &mut mpsc::Receiver<ConsensusFrame>,
    first_frame: Option<ConsensusFrame>,
    backoff: &mut Duration,
) -> Result<(), FrameError> {
    let mut stream = dial(own_ip, to, Channel::Consensus, CONNECT_TIMEOUT).await?;
    *backoff = MIN_BACKOFF;
    if let Some(frame) = first_frame {
        write_with_timeout(&mut stream, &frame).await?;
    }
    loop {
        let mut read_byte = [0; 1];
        tokio::select! {
            next_frame = tokio::time::timeout(IDLE_TIMEOUT, frames.recv()) => match next_frame {
                Ok(Some(frame)) => write_with_timeout(&mut stream, &frame).await?,
                _ => return Ok(()),
            },
            read_result = stream.read(&mut read_byte) => {
                read_result?;
                return Err(FrameError::Connection(ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

async fn write_with_timeout(
    stream: &mut TcpStream,
    frame: &ConsensusFrame,
) -> Result<(), FrameError> {
    tokio::time::timeout(WRITE_TIMEOUT, write_frame(stream, frame))
        .await
        .map_err(|_| FrameError::Connection(ErrorKind::TimedOut.into()))?
}
