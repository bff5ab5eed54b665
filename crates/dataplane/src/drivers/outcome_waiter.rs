//! What waits for the outcome of a request at a holder in this process.

use common::frames::RequestOutcome;
use tokio::sync::oneshot;

/// Receives the outcome of a request.
pub struct OutcomeWaiter {
    outcome: oneshot::Sender<RequestOutcome>,
}

/// The side that waits.
pub(super) struct AwaitedOutcome {
    outcome: oneshot::Receiver<RequestOutcome>,
}

/// A waiter and the side that waits.
pub(super) fn outcome_channel() -> (OutcomeWaiter, AwaitedOutcome) {
    let (outcome_sender, outcome) = oneshot::channel();
    let waiter = OutcomeWaiter {
        outcome: outcome_sender,
    };
    let awaited_outcome = AwaitedOutcome { outcome };
    (waiter, awaited_outcome)
}

impl OutcomeWaiter {
    /// Passes the outcome on.
    pub(super) fn send(self, outcome: RequestOutcome) {
        let _ = self.outcome.send(outcome);
    }
}

impl AwaitedOutcome {
    /// Waits for the outcome; none if the holder dropped the waiter.
    pub(super) async fn receive(&mut self) -> Option<RequestOutcome> {
        (&mut self.outcome).await.ok()
    }
}
