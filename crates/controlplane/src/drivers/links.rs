use common::frames::{Channel, CoreFrame, FrameFault, Place, dial, write_frame};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const SHORTEST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(200);
const IDLE_AFTER: Duration = Duration::from_secs(10);

/// One-way links to the other controllers; what cannot be sent soon is dropped.
pub struct Links {
    own_ip: Ipv4Addr,
    senders: HashMap<Place, mpsc::Sender<CoreFrame>>,
}

impl Links {
    /// No links yet.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self { own_ip, senders: HashMap::new() }
    }

    /// Sends a frame, or drops it.
    pub fn send(&mut self, to: Place, frame: CoreFrame) {
        let own_ip = self.own_ip;
        self.senders.retain(|_, sender| !sender.is_closed());
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(256);
            tokio::spawn(keep_link(own_ip, to, frames));
            sender
        });
        let _ = sender.try_send(frame);
    }
}

async fn keep_link(own_ip: Ipv4Addr, to: Place, mut frames: mpsc::Receiver<CoreFrame>) {
    let mut wait_span = SHORTEST_WAIT;
    let mut first_frame = None;
    loop {
        match use_link(own_ip, to, &mut frames, first_frame.take(), &mut wait_span).await {
            Ok(()) => return,
            Err(_) => tokio::time::sleep(wait_span).await,
        }
        while frames.try_recv().is_ok() {}
        if wait_span > SHORTEST_WAIT {
            match tokio::time::timeout(IDLE_AFTER, frames.recv()).await {
                Ok(Some(frame)) => first_frame = Some(frame),
                _ => return,
            }
        }
        wait_span = (wait_span * 2).min(LONGEST_WAIT);
    }
}

/// Writes frames until nothing more is to be sent, or the other side ends the link.
async fn use_link(
    own_ip: Ipv4Addr,
    to: Place,
    frames: &mut mpsc::Receiver<CoreFrame>,
    first_frame: Option<CoreFrame>,
    wait_span: &mut Duration,
) -> Result<(), FrameFault> {
    let mut stream = dial(own_ip, to, Channel::Core, Duration::from_millis(500)).await?;
    *wait_span = SHORTEST_WAIT;
    if let Some(frame) = first_frame {
        write_soon(&mut stream, &frame).await?;
    }
    loop {
        let mut heard_byte = [0; 1];
        tokio::select! {
            taken = tokio::time::timeout(IDLE_AFTER, frames.recv()) => match taken {
                Ok(Some(frame)) => write_soon(&mut stream, &frame).await?,
                _ => return Ok(()),
            },
            heard = stream.read(&mut heard_byte) => {
                heard?;
                return Err(FrameFault::Connection(ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

async fn write_soon(stream: &mut TcpStream, frame: &CoreFrame) -> Result<(), FrameFault> {
    tokio::time::timeout(Duration::from_secs(2), write_frame(stream, frame))
        .await
        .map_err(|_| FrameFault::Connection(ErrorKind::TimedOut.into()))?
}
