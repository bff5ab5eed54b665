//! Requests that are taken back while they wait: their daemon stops, or their caller has left.

use super::{Holder, HolderOutput, QueuedRequest};
use common::clock::MonotonicTime;
use common::frames::RequestFailureReason;
use common::identity::Ticket;
use std::time::Duration;

/// When the caller of a withdrawn request may retry at another daemon.
const WITHDRAWN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Holder {
    /// Takes a request back: one that is queued ends at once, as not run unless an earlier attempt may have run. One that
    /// is on its way to a runner goes on.
    pub fn withdraw(&mut self, now: MonotonicTime, ticket: Ticket) -> Vec<HolderOutput> {
        if let Some(queued) = self.requests.remove_queued(ticket) {
            let reason = withdrawal_reason(&queued);
            self.fail_request(now, queued, reason, WITHDRAWN_RETRY_AFTER);
            self.finish_release(now);
        }
        self.take_outputs()
    }
}

/// A request whose end the ledger records ends for good; any other may go to the next holder.
fn withdrawal_reason(queued: &QueuedRequest) -> RequestFailureReason {
    if queued.request.recorded {
        RequestFailureReason::NotServing
    } else {
        RequestFailureReason::NotHolder
    }
}
