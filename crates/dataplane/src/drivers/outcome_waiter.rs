//! The channel by which a holder in this process returns the outcome of a request to the task that waits for it.

use common::frames::RequestOutcome;
use tokio::sync::{oneshot, watch};

/// The holder's end of the channel. Delivers the outcome, and signals when the waiting task has abandoned the request.
pub struct OutcomeWaiter {
    outcome: oneshot::Sender<RequestOutcome>,
    /// Closed when the request is abandoned.
    abandonment: watch::Receiver<()>,
}

/// The waiting task's end of the channel. Dropping it abandons the request.
pub(super) struct AwaitedOutcome {
    outcome: oneshot::Receiver<RequestOutcome>,
    _abandonment_guard: watch::Sender<()>,
}

/// Creates both ends of the channel.
pub(super) fn outcome_channel() -> (OutcomeWaiter, AwaitedOutcome) {
    let (outcome_sender, outcome) = oneshot::channel();
    let (abandonment_guard, abandonment) = watch::channel(());
    let waiter = OutcomeWaiter {
        outcome: outcome_sender,
        abandonment,
    };
    let awaited_outcome = AwaitedOutcome {
        outcome,
        _abandonment_guard: abandonment_guard,
    };
    (waiter, awaited_outcome)
}

impl OutcomeWaiter {
    /// Sends the outcome to the waiting task.
    pub(super) fn send(self, outcome: RequestOutcome) {
        let _ = self.outcome.send(outcome);
    }

    /// Returns a receiver whose sender is dropped when the request is abandoned.
    pub(super) fn abandonment(&self) -> watch::Receiver<()> {
        self.abandonment.clone()
    }
}

impl AwaitedOutcome {
    /// Waits for the outcome. Returns `None` if the holder drops its end without sending one.
    pub(super) async fn receive(&mut self) -> Option<RequestOutcome> {
        (&mut self.outcome).await.ok()
    }
}
