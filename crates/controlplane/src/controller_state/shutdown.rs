//! Replies to the remaining operations when the controller stops.

use super::{ControllerState, OperationReply, Unavailable, WaitingOperation};
use common::identity::Version;

impl ControllerState {
    /// Whether an operator's request has not been replied to.
    pub fn has_pending_operations(&self) -> bool {
        !self.waiting_operations.is_empty() || !self.pending_changes.is_empty()
    }

    /// Replies to every pending operation because the process is about to exit. Operations that arrive later are
    /// rejected at once. A change that was proposed is reported as unknown, because another leader may still commit it;
    /// a change that was not proposed is reported as not accepted.
    pub(super) fn stop(&mut self) {
        self.is_stopping = true;
        self.pending_changes.attach_repeated_changes();
        let pending = std::mem::take(&mut self.pending_changes);
        for proposed_change in &pending.in_flight {
            self.reply_unknown(proposed_change, Unavailable::Stopping);
        }
        for proposed_change in pending.accepted {
            let reply = proposed_change.accepted_reply(Version(0));
            self.send_reply(proposed_change.ticket, reply);
        }
        for queued in pending
            .queue
            .into_iter()
            .chain(pending.awaiting_confirmation)
        {
            let reply = OperationReply::NotAccepted {
                reason: Unavailable::Stopping,
                change: Some(queued.change),
            };
            self.send_reply(queued.ticket, reply);
        }
        for WaitingOperation {
            ticket, operation, ..
        } in std::mem::take(&mut self.waiting_operations)
        {
            self.send_reply(ticket, operation.not_handled(Unavailable::Stopping));
        }
    }
}
