//! What a holder works on: the terms of its grant, and transactions waiting and sent.

use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Host, PreviousLease, RequestOutcome};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, Region, RunnerId, Ticket};
use common::spec::FunctionSpec;
use std::time::Duration;

/// What the leader granted.
#[derive(Clone, Debug)]
pub struct LeaseTerms {
    /// The function.
    pub function: FunctionKey,
    /// The grant.
    pub fencing_token: FencingToken,
    /// What the function needs.
    pub spec: FunctionSpec,
    /// How long once-transactions are refused if no earlier ledger can be collected.
    pub once_wait: Duration,
    /// Who keeps a copy of the ledger.
    pub replica: Option<Host>,
    /// Where an earlier ledger may be collected.
    pub previous_lease: Option<PreviousLease>,
    /// Runners left by an earlier holder, to be taken over as they stand.
    pub adopted: Vec<ClaimedRunner>,
}

/// A transaction as it reaches its holder.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Names it in this process.
    pub ticket: Ticket,
    /// The try's identity.
    pub idempotency_key: IdempotencyKey,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send its identity again, so that it is remembered.
    pub recorded: bool,
    /// The most runners it may go to.
    pub max_attempts: u32,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// When its budget ends.
    pub deadline: MonotonicTime,
    /// How long it may wait in the inbox.
    pub queue_timeout: Duration,
    /// When an answer turns late.
    pub target: Duration,
    /// Which goes first; the lowest before all others.
    pub rank: u8,
    /// The region of its caller's daemon, if that is another than the holder's.
    pub region: Option<Region>,
}

impl AdmissionRequest {
    /// Whether it is noted elsewhere before it is sent.
    pub fn is_recorded_once(&self) -> bool {
        self.once && self.recorded
    }
}

/// A transaction that waits in the inbox.
pub(super) struct QueuedRequest {
    pub(super) request: AdmissionRequest,
    pub(super) target_deadline: MonotonicTime,
    pub(super) queue_deadline: MonotonicTime,
    pub(super) attempt: u32,
    pub(super) may_have_run: bool,
    pub(super) failure: Option<RequestOutcome>,
}

/// A transaction that was sent to a runner, or is being noted before it is.
pub(super) struct InFlight {
    pub(super) queued: QueuedRequest,
    pub(super) runner: RunnerId,
    pub(super) sent_at: MonotonicTime,
}
