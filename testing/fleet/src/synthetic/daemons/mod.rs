//! The daemons of a synthetic fleet, with their callers and runners.
//!
//! As in the product, the parts of a daemon call each other without delay: a request that needs a lease gives an input
//! to the control session, and outputs of the control session advance requests. `callers` starts requests, `forwarding`
//! advances them, `control` drives the control session, `holder` the held functions and their runners, and `replicas`
//! the requests to ledger replicas.

mod callers;
mod control;
mod forwarding;
mod holder;
mod replicas;

pub(super) use callers::first_calls_span;

use common::frames::{DaemonFrame, DaemonMessage};
use common::identity::CorrelationId;

/// Returns a frame between daemons, with the number that correlates it with its reply.
fn numbered_frame(number: u64, body: DaemonMessage) -> DaemonFrame {
    DaemonFrame {
        correlation: CorrelationId(number),
        body,
    }
}
