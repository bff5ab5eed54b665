//! Withdrawal of queued requests, when the caller's daemon stops or the caller disconnects.

use super::{Holder, HolderOutput, QueuedRequest};
use common::clock::MonotonicTime;
use common::frames::RequestFailureReason;
use common::identity::Ticket;
use std::time::Duration;

/// Delay after which the caller of a withdrawn request may retry at another daemon.
const WITHDRAWN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Holder {
    /// Withdraws a request. A queued request ends immediately, as not run unless an earlier attempt may have run. A
    /// request that was dispatched to a runner is not affected.
    pub fn withdraw(&mut self, now: MonotonicTime, ticket: Ticket) -> Vec<HolderOutput> {
        if let Some(queued) = self.requests.remove_queued(ticket) {
            let reason = withdrawal_reason(&queued);
            self.fail_request(now, queued, reason, WITHDRAWN_RETRY_AFTER);
            self.finish_release(now);
        }
        self.take_outputs()
    }
}

/// Returns the reason with which a withdrawn request ends. A recorded request is rejected for good, since the ledger
/// records its outcome; any other may be sent to the next holder.
fn withdrawal_reason(queued: &QueuedRequest) -> RequestFailureReason {
    if queued.request.recorded {
        RequestFailureReason::NotServing
    } else {
        RequestFailureReason::NotHolder
    }
}
