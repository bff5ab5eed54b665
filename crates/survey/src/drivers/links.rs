use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::mpsc;
use waymark::frames::{Channel, CoreFrame, FrameFault, Place, dial, write_frame};

const IDLE_AFTER: Duration = Duration::from_secs(10);

/// One-way links to the other surveyors; what cannot be sent soon is dropped.
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
    let mut wait_span = Duration::from_millis(20);
    while !frames.is_closed() {
        if let Ok(()) = use_link(own_ip, to, &mut frames, &mut wait_span).await {
            return;
        }
        tokio::time::sleep(wait_span).await;
        wait_span = (wait_span * 2).min(Duration::from_millis(200));
        while frames.try_recv().is_ok() {}
        let waiting = tokio::time::timeout(IDLE_AFTER, frames.recv()).await;
        if !matches!(waiting, Ok(Some(_))) {
            return;
        }
    }
}

async fn use_link(
    own_ip: Ipv4Addr,
    to: Place,
    frames: &mut mpsc::Receiver<CoreFrame>,
    wait_span: &mut Duration,
) -> Result<(), FrameFault> {
    let mut stream = dial(own_ip, to, Channel::Core, Duration::from_millis(500)).await?;
    *wait_span = Duration::from_millis(20);
    while let Ok(Some(frame)) = tokio::time::timeout(IDLE_AFTER, frames.recv()).await {
        tokio::time::timeout(Duration::from_secs(2), write_frame(&mut stream, &frame))
            .await
            .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
    }
    Ok(())
}
