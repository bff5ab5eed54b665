use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use waymark::frames::{Channel, CoreFrame, FrameFault, Place, write_channel, write_frame};

/// One-way links to the other surveyors; what cannot be sent soon is dropped.
pub struct Links {
    senders: HashMap<Place, mpsc::Sender<CoreFrame>>,
}

impl Links {
    /// No links yet.
    pub fn new() -> Self {
        Self { senders: HashMap::new() }
    }

    /// Sends a frame, or drops it.
    pub fn send(&mut self, to: Place, frame: CoreFrame) {
        let sender = self.senders.entry(to).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(256);
            tokio::spawn(keep_link(to, frames));
            sender
        });
        let _ = sender.try_send(frame);
    }
}

async fn keep_link(to: Place, mut frames: mpsc::Receiver<CoreFrame>) {
    let mut wait_span = Duration::from_millis(20);
    while !frames.is_closed() {
        if let Ok(()) = use_link(to, &mut frames, &mut wait_span).await {
            return;
        }
        tokio::time::sleep(wait_span).await;
        wait_span = (wait_span * 2).min(Duration::from_millis(200));
        while frames.try_recv().is_ok() {}
    }
}

async fn use_link(
    to: Place,
    frames: &mut mpsc::Receiver<CoreFrame>,
    wait_span: &mut Duration,
) -> Result<(), FrameFault> {
    let connecting = TcpStream::connect(to.address());
    let mut stream = tokio::time::timeout(Duration::from_millis(500), connecting)
        .await
        .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
    stream.set_nodelay(true)?;
    write_channel(&mut stream, Channel::Core).await?;
    *wait_span = Duration::from_millis(20);
    while let Some(frame) = frames.recv().await {
        tokio::time::timeout(Duration::from_secs(2), write_frame(&mut stream, &frame))
            .await
            .map_err(|_| FrameFault::Connection(std::io::ErrorKind::TimedOut.into()))??;
    }
    Ok(())
}
