use common::frames::{Channel, ConsensusFrame, FrameError, SocketAddress, dial, write_frame};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One-way links to the other controllers; what cannot be sent soon is dropped.
pub struct PeerLinks {
    own_ip: Ipv4Addr,
    senders: HashMap<SocketAddress, mpsc::Sender<ConsensusFrame>>,
}

impl PeerLinks {
    /// No links yet.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self {
            own_ip,
            senders: HashMap::new(),
        }
    }

    /// Sends a frame, or drops it.
    pub fn send(&mut self, to: SocketAddress, frame: ConsensusFrame) {
        let own_ip = self.own_ip;
        self.senders.retain(|_, sender| !sender.is_closed());
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(256);
            tokio::spawn(run_link(own_ip, to, frames));
            sender
        });
        let _ = sender.try_send(frame);
    }
}

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

/// Writes frames until nothing more is to be sent, or the other side ends the link.
async fn write_frames(
    own_ip: Ipv4Addr,
    to: SocketAddress,
    frames: &mut mpsc::Receiver<ConsensusFrame>,
    first_frame: Option<ConsensusFrame>,
    backoff: &mut Duration,
) -> Result<(), FrameError> {
    let mut stream = dial(own_ip, to, Channel::Consensus, Duration::from_millis(500)).await?;
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
    tokio::time::timeout(Duration::from_secs(2), write_frame(stream, frame))
        .await
        .map_err(|_| FrameError::Connection(ErrorKind::TimedOut.into()))?
}
