//! What interrupts a request that waits for its outcome: the shutdown of this daemon, or of the one that forwarded it.

use crate::agent::ShutdownPhase;
use tokio::sync::watch;

/// The interruptions of one request.
pub(super) struct Interrupts {
    /// This daemon's own shutdown.
    own: watch::Receiver<ShutdownPhase>,
    /// As far as the daemon that forwarded the request has said; none at the caller's daemon.
    requester: Option<watch::Receiver<ShutdownPhase>>,
    handled: ShutdownPhase,
}

impl Interrupts {
    pub(super) fn new(
        own: watch::Receiver<ShutdownPhase>,
        requester: Option<watch::Receiver<ShutdownPhase>>,
    ) -> Self {
        Self {
            own,
            requester,
            handled: ShutdownPhase::Finishing,
        }
    }

    /// Waits for a later phase than those returned before.
    pub(super) async fn next(&mut self) -> ShutdownPhase {
        let handled = self.handled;
        let phase = tokio::select! {
            phase = later_phase(Some(&mut self.own), handled) => phase,
            phase = later_phase(self.requester.as_mut(), handled) => phase,
        };
        self.handled = phase;
        phase
    }
}

/// Never returns without a receiver, or once the sender is gone.
async fn later_phase(
    receiver: Option<&mut watch::Receiver<ShutdownPhase>>,
    handled: ShutdownPhase,
) -> ShutdownPhase {
    if let Some(receiver) = receiver
        && let Ok(phase) = receiver.wait_for(|phase| *phase > handled).await
    {
        return *phase;
    }
    std::future::pending().await
}
