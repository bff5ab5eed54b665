//! The steps of a request's forwarding, and how a step that leaves this daemon can end.

use super::{HeldFunction, HolderRequest, NOT_HOLDER_RETRY_AFTER};
use crate::holder::not_run;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestFailureReason, RequestOutcome};
use std::sync::Arc;
use std::time::Duration;

/// How the forwarding of a request to another daemon ended.
#[derive(Clone, Debug)]
pub enum ForwardResult {
    /// With an outcome, and the holder if it is known.
    Completed(RequestOutcome, Option<Host>),
    /// Certainly nothing was sent.
    Unsent,
    /// Something was sent, and no reply came.
    Lost,
}

/// What to do next with a request.
pub enum ForwardingStep<W> {
    /// Pass it to the holder in this daemon, then call [`Forwarding::served`](super::Forwarding::served).
    Serve(Arc<HeldFunction<W>>, HolderRequest),
    /// Send it to another daemon, then call [`Forwarding::forwarded`](super::Forwarding::forwarded).
    Forward {
        /// The daemon.
        host: Host,
        /// The frame to send.
        body: DaemonMessage,
        /// Until when the reply is waited for.
        wait_until: MonotonicTime,
    },
    /// Request the function from the leader, then call [`Forwarding::acquired`](super::Forwarding::acquired), or
    /// [`Forwarding::advance`](super::Forwarding::advance) when the time is up.
    Acquire {
        /// Until when the response is waited for.
        wait_until: MonotonicTime,
    },
    /// Call [`Forwarding::advance`](super::Forwarding::advance) when the daemon's state has changed, or the time is up.
    Wait {
        /// When to do so at the latest.
        wait_until: MonotonicTime,
    },
    /// The request has ended with this outcome; the holder if it is known.
    End(RequestOutcome, Option<Host>),
}

/// The end of a request that was not run, with the time after which to retry.
pub(super) fn rejected_step<W>(
    reason: RequestFailureReason,
    retry_after: Duration,
) -> ForwardingStep<W> {
    ForwardingStep::End(not_run(reason, retry_after.as_millis() as u32), None)
}

/// The outcome at a daemon that is not the holder.
pub(super) fn not_holder_outcome() -> RequestOutcome {
    not_run(
        RequestFailureReason::NotHolder,
        NOT_HOLDER_RETRY_AFTER.as_millis() as u32,
    )
}

/// The outcome of a request that a holder had, and of which nothing more will be heard.
pub(super) fn unknown_outcome() -> RequestOutcome {
    RequestOutcome::Unknown {
        reason: RequestFailureReason::HolderUnreachable,
    }
}

/// The end of such a request.
pub(super) fn unknown_step<W>() -> ForwardingStep<W> {
    ForwardingStep::End(unknown_outcome(), None)
}
