//! The shutdown phases that a waiting request must react to: those of this daemon, and those of the daemon that
//! forwarded the request.

use crate::agent::ShutdownPhase;
use tokio::sync::watch;

/// The shutdown phases that concern one request.
pub(super) struct ShutdownSignals {
    /// The shutdown phase of this daemon.
    own_phase: watch::Receiver<ShutdownPhase>,
    /// The shutdown phase that the forwarding daemon has reported; `None` at the caller's ingress daemon.
    requester_phase: Option<watch::Receiver<ShutdownPhase>>,
    /// The latest phase that was returned.
    handled: ShutdownPhase,
}

impl ShutdownSignals {
    pub(super) fn new(
        own_phase: watch::Receiver<ShutdownPhase>,
        requester_phase: Option<watch::Receiver<ShutdownPhase>>,
    ) -> Self {
        Self {
            own_phase,
            requester_phase,
            handled: ShutdownPhase::Finishing,
        }
    }

    /// Waits until either daemon enters a later phase than any returned before.
    pub(super) async fn next_phase(&mut self) -> ShutdownPhase {
        let handled = self.handled;
        let phase = tokio::select! {
            phase = wait_for_later_phase(Some(&mut self.own_phase), handled) => phase,
            phase = wait_for_later_phase(self.requester_phase.as_mut(), handled) => phase,
        };
        self.handled = phase;
        phase
    }
}

/// Waits for a phase later than `handled`. Never completes without a receiver, or after the sender is dropped.
async fn wait_for_later_phase(
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
