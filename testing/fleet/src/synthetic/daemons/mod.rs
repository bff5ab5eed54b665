//! The daemons of a synthetic fleet, with their callers and runners.
//!
//! A daemon is one unit, as in the product: a request that needs a lease gives an input to the control session, and
//! outputs of the control session advance requests, both at once. `callers` starts requests, `forwarding` takes them
//! from step to step, `control` drives the control session, `holder` the held functions and their runners, and
//! `replicas` the requests to ledger replicas.

mod callers;
mod control;
mod forwarding;
mod holder;
mod replicas;

pub(super) use callers::fill_span;

use common::frames::{DaemonFrame, DaemonMessage};
use common::identity::CorrelationId;

/// A frame between daemons, with the number by which its reply is found.
fn numbered_frame(number: u64, body: DaemonMessage) -> DaemonFrame {
    DaemonFrame {
        correlation: CorrelationId(number),
        body,
    }
}
