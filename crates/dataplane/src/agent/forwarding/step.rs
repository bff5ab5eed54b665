//! The steps in forwarding a request, and the result of sending it to another daemon.

use super::{HeldFunction, HolderRequest, NOT_HOLDER_RETRY_AFTER};
use crate::holder::not_run;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestFailureReason, RequestOutcome};
use std::sync::Arc;
use std::time::Duration;

/// The result of sending a request to another daemon.
#[derive(Clone, Debug)]
pub enum ForwardResult {
    /// The request has ended with this outcome; the holder if it is known.
    Completed(RequestOutcome, Option<Host>),
    /// It is certain that nothing was sent.
    Unsent,
    /// Something was sent, but no reply arrived.
    Lost,
}

/// What to do next with a request.
pub enum ForwardingStep<W> {
    /// Pass it to the holder in this daemon, then call
    /// [`Forwarding::handle_local_outcome`](super::Forwarding::handle_local_outcome).
    Serve(Arc<HeldFunction<W>>, HolderRequest),
    /// Send it to another daemon, then call
    /// [`Forwarding::handle_forward_result`](super::Forwarding::handle_forward_result).
    Forward {
        /// The daemon.
        host: Host,
        /// The message to send, the body of a frame.
        body: DaemonMessage,
        /// When to stop waiting for the reply.
        wait_until: MonotonicTime,
    },
    /// Request the function from the leader, then call
    /// [`Forwarding::handle_acquire_result`](super::Forwarding::handle_acquire_result), or
    /// [`Forwarding::advance`](super::Forwarding::advance) at `wait_until`.
    Acquire {
        /// When to stop waiting for the response.
        wait_until: MonotonicTime,
    },
    /// Call [`Forwarding::advance`](super::Forwarding::advance) when the daemon's state has changed, or at
    /// `wait_until`.
    Wait {
        /// The latest time to do so.
        wait_until: MonotonicTime,
    },
    /// The request has ended with this outcome; the holder if it is known.
    End(RequestOutcome, Option<Host>),
}

/// Returns the last step of a request that was not run, with its retry-after.
pub(super) fn rejected_step<W>(
    reason: RequestFailureReason,
    retry_after: Duration,
) -> ForwardingStep<W> {
    ForwardingStep::End(not_run(reason, retry_after.as_millis() as u32), None)
}

/// Returns the outcome at a daemon that is not the holder.
pub(super) fn not_holder_outcome() -> RequestOutcome {
    not_run(
        RequestFailureReason::NotHolder,
        NOT_HOLDER_RETRY_AFTER.as_millis() as u32,
    )
}

/// Returns the outcome of a request that a holder had, and about which nothing more will be received.
pub(super) fn unknown_outcome() -> RequestOutcome {
    RequestOutcome::Unknown {
        reason: RequestFailureReason::HolderUnreachable,
    }
}

/// Returns the last step of such a request.
pub(super) fn unknown_step<W>() -> ForwardingStep<W> {
    ForwardingStep::End(unknown_outcome(), None)
}
