//! What waits for the outcome of a request at a holder in this process.

use common::frames::RequestOutcome;
use tokio::sync::{oneshot, watch};

/// Receives the outcome of a request, and lets its sends to runners know when nobody waits for it any more.
pub struct OutcomeWaiter {
    outcome: oneshot::Sender<RequestOutcome>,
    interest: watch::Receiver<()>,
}

/// The side that waits. Dropped, it lets the sends know.
pub(super) struct AwaitedOutcome {
    outcome: oneshot::Receiver<RequestOutcome>,
    _interest: watch::Sender<()>,
}

/// A waiter and the side that waits.
pub(super) fn outcome_channel() -> (OutcomeWaiter, AwaitedOutcome) {
    let (outcome_sender, outcome) = oneshot::channel();
    let (interest_sender, interest) = watch::channel(());
    let waiter = OutcomeWaiter {
        outcome: outcome_sender,
        interest,
    };
    let awaited_outcome = AwaitedOutcome {
        outcome,
        _interest: interest_sender,
    };
    (waiter, awaited_outcome)
}

impl OutcomeWaiter {
    /// Passes the outcome on.
    pub(super) fn send(self, outcome: RequestOutcome) {
        let _ = self.outcome.send(outcome);
    }

    /// A receiver whose sender is dropped when nobody waits for the outcome any more.
    pub(super) fn interest(&self) -> watch::Receiver<()> {
        self.interest.clone()
    }
}

impl AwaitedOutcome {
    /// Waits for the outcome; none if the holder dropped the waiter.
    pub(super) async fn receive(&mut self) -> Option<RequestOutcome> {
        (&mut self.outcome).await.ok()
    }
}
