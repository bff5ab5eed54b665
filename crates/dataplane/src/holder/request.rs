//! The terms of a function lease, and the requests that are queued or in flight.

use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Host, PreviousLease, RequestFailureReason, RequestOutcome};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, Region, RunnerId, Ticket};
use common::spec::FunctionSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Assumed service time before any measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(40);

/// The terms of a function lease, as granted by the leader.
#[derive(Clone, Debug)]
pub struct LeaseTerms {
    /// The key of the function.
    pub function: FunctionKey,
    /// The fencing token of the lease.
    pub fencing_token: FencingToken,
    /// The spec of the function.
    pub spec: FunctionSpec,
    /// How long once-only requests are rejected if the earlier ledger cannot be collected; zero if there is none.
    pub once_wait: Duration,
    /// The daemon that replicates the ledger.
    pub replica: Option<Host>,
    /// The previous lease, whose ledger can be collected.
    pub previous_lease: Option<PreviousLease>,
    /// Runners orphaned by an earlier holder, to be adopted without a restart.
    pub adopted: Vec<ClaimedRunner>,
}

/// A request that is submitted to the lease holder for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifies the request within this process.
    pub ticket: Ticket,
    /// The idempotency key of the caller's request.
    pub idempotency_key: IdempotencyKey,
    /// Whether it is a once-only request, which may be sent to a runner only once.
    pub once: bool,
    /// Whether its outcome is recorded in the ledger, because callers may retry it under the same key.
    pub recorded: bool,
    /// The maximum number of runners it may be sent to.
    pub max_attempts: u32,
    /// Whether the caller marked it as a retry.
    pub is_retry: bool,
    /// When its caller stops waiting for the response.
    pub deadline: MonotonicTime,
    /// The maximum time in the queue.
    pub queue_timeout: Duration,
    /// The target response time, measured from its admission.
    pub target: Duration,
    /// Its priority; the lowest rank is sent first.
    pub rank: u8,
    /// The region of the caller's daemon, if it differs from the holder's.
    pub region: Option<Region>,
}

impl AdmissionRequest {
    /// Whether it is a once-only request whose record has to be replicated before it is sent.
    pub fn is_recorded_once(&self) -> bool {
        self.once && self.recorded
    }
}

/// A request in the queue.
pub(super) struct QueuedRequest {
    pub(super) request: AdmissionRequest,
    /// When its response starts to be late.
    pub(super) target_deadline: MonotonicTime,
    /// When it is rejected if it has not been sent.
    pub(super) queue_deadline: MonotonicTime,
    /// The number of the next send, from 1.
    pub(super) attempt: u32,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    /// The failure response of an earlier attempt.
    pub(super) failure: Option<RequestOutcome>,
}

/// A request that occupies a runner's slot: it was sent there, or its record is being replicated first.
pub(super) struct InFlight {
    pub(super) queued: QueuedRequest,
    pub(super) runner: RunnerId,
    pub(super) sent_at: MonotonicTime,
}

/// The requests of one held function.
pub(super) struct Requests {
    /// Ordered by rank and, within a rank, by arrival. Retries are inserted at the front.
    pub(super) queue: VecDeque<QueuedRequest>,
    pub(super) in_flight: BTreeMap<Ticket, InFlight>,
    /// The requests whose send was ordered and has not ended.
    pub(super) sent_to_runner: BTreeSet<Ticket>,
    /// The exponentially smoothed time from a send to its response.
    pub(super) service_time: Duration,
    rejected_count: u32,
    last_rejection_reason: RequestFailureReason,
}

impl Requests {
    pub(super) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            sent_to_runner: BTreeSet::new(),
            service_time: INITIAL_SERVICE_TIME,
            rejected_count: 0,
            last_rejection_reason: RequestFailureReason::QueueFull,
        }
    }

    /// Whether no request is queued or in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the index at which a request of this rank is inserted: behind all requests of the same or a lower rank.
    pub(super) fn queue_index(&self, rank: u8) -> usize {
        self.queue
            .partition_point(|queued| queued.request.rank <= rank)
    }

    /// Removes a request from the queue and returns it, if it is queued.
    pub(super) fn remove_queued(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let index = self
            .queue
            .iter()
            .position(|queued| queued.request.ticket == ticket)?;
        self.queue.remove(index)
    }

    /// Updates the smoothed service time with a new measurement.
    pub(super) fn record_service_time(&mut self, elapsed: Duration) {
        self.service_time = (self.service_time * 9 + elapsed) / 10;
    }

    pub(super) fn count_rejection(&mut self) {
        self.rejected_count += 1;
    }

    pub(super) fn set_rejection_reason(&mut self, reason: RequestFailureReason) {
        self.last_rejection_reason = reason;
    }

    /// Returns the number of rejections since the previous call and the reason of the last one, or `None` if there were
    /// none.
    pub(super) fn take_rejections(&mut self) -> Option<(u32, RequestFailureReason)> {
        let rejected_count = std::mem::take(&mut self.rejected_count);
        (rejected_count > 0).then_some((rejected_count, self.last_rejection_reason))
    }
}
