//! The next step of a transaction, and how a step that left this daemon can end.

use super::{Held, Task};
use crate::holder::not_run;
use common::clock::Moment;
use common::frames::{HopBody, HopOutcome, HopReason, Host};
use std::sync::Arc;
use std::time::Duration;

/// How a passed-on transaction came back.
#[derive(Clone, Debug)]
pub enum PassEnd {
    /// With an outcome, from a holder if that is known.
    Done(HopOutcome, Option<Host>),
    /// Surely nothing was sent.
    Unsent,
    /// Sent, and nothing came back.
    Lost,
}

/// What is to be done next for a transaction.
pub enum ForwardingStep<W> {
    /// Take it in here, and come back with its outcome.
    Serve(Arc<Held<W>>, Task),
    /// Pass it to that daemon, and come back with how that ended, or when the time is up.
    Pass {
        /// The daemon.
        host: Host,
        /// What is said to it.
        body: HopBody,
        /// Until when its answer is waited for.
        wait_until: Moment,
    },
    /// Ask the leader for the function, and come back with its answer, or when the time is up.
    Acquire {
        /// Until when the answer is waited for.
        wait_until: Moment,
    },
    /// Look again when something has changed, or when the time is up.
    Wait {
        /// When to look again in any case.
        wait_until: Moment,
    },
    /// It has ended.
    End(HopOutcome, Option<Host>),
}

pub(super) fn ended<W>(reason: HopReason, retry_span: Duration) -> ForwardingStep<W> {
    ForwardingStep::End(not_run(reason, retry_span.as_millis() as u32), None)
}
