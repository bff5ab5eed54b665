//! The next step of a transaction, and how a step that left this daemon can end.

use super::{HeldFunction, HolderRequest};
use crate::holder::not_run;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Host, RequestFailureReason, RequestOutcome};
use std::sync::Arc;
use std::time::Duration;

/// How a passed-on transaction came back.
#[derive(Clone, Debug)]
pub enum ForwardResult {
    /// With an outcome, from a holder if that is known.
    Completed(RequestOutcome, Option<Host>),
    /// Surely nothing was sent.
    Unsent,
    /// Sent, and nothing came back.
    Lost,
}

/// What is to be done next for a transaction.
pub enum ForwardingStep<W> {
    /// Take it in here, and come back with its outcome.
    Serve(Arc<HeldFunction<W>>, HolderRequest),
    /// Pass it to that daemon, and come back with how that ended, or when the time is up.
    Forward {
        /// The daemon.
        host: Host,
        /// What is said to it.
        body: DaemonMessage,
        /// Until when its answer is waited for.
        wait_until: MonotonicTime,
    },
    /// Ask the leader for the function, and come back with its answer, or when the time is up.
    Acquire {
        /// Until when the answer is waited for.
        wait_until: MonotonicTime,
    },
    /// Look again when something has changed, or when the time is up.
    Wait {
        /// When to look again in any case.
        wait_until: MonotonicTime,
    },
    /// It has ended.
    End(RequestOutcome, Option<Host>),
}

pub(super) fn refused_step<W>(
    reason: RequestFailureReason,
    retry_span: Duration,
) -> ForwardingStep<W> {
    ForwardingStep::End(not_run(reason, retry_span.as_millis() as u32), None)
}
