//! What operators are told by a controller that stops.

use super::{ControllerState, OperationReply, Unavailable, WaitingOperation};
use common::identity::Version;

impl ControllerState {
    /// Whether an operator's request has no reply yet.
    pub fn has_pending_operations(&self) -> bool {
        !self.waiting_operations.is_empty() || !self.pending_changes.is_empty()
    }

    /// The controller's process is about to end: every operation gets its reply now, and so does each that still
    /// arrives. A change that was proposed may yet be committed by another leader; one that was not has not happened.
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
