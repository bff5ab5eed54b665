//! A held function: its holder's state machine, and the requests waiting for their outcomes.

use super::AttemptLimits;
use crate::holder::{AdmissionRequest, Holder, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{RequestOutcome, RequestPayload};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, Region, RunnerId, Ticket,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A request as handled by the holder of its function.
#[derive(Clone)]
pub struct HolderRequest {
    /// Its idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// The name of the route that matched it in the spec with which it was admitted.
    pub route: String,
    /// When its caller stops waiting for it.
    pub deadline: MonotonicTime,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may repeat its idempotency key, so that its outcome is recorded.
    pub recorded: bool,
    /// The maximum number of runners that it may be sent to.
    pub max_attempts: u32,
    /// Whether it is a retry of an earlier request.
    pub is_retry: bool,
    /// How long it may wait in the queue.
    pub queue_timeout: Duration,
    /// The target latency: a later response counts as late.
    pub target: Duration,
    /// Its priority: the lowest rank goes first.
    pub rank: u8,
    /// The region of the ingress daemon, if it differs from the holder's.
    pub region: Option<Region>,
    /// The caller's method, target, header fields and body.
    pub payload: Arc<RequestPayload>,
}

impl HolderRequest {
    /// Returns how often it may be sent.
    pub fn limits(&self) -> AttemptLimits {
        AttemptLimits {
            once: self.once,
            max_attempts: self.max_attempts,
        }
    }
}

/// The runner to which a request is sent.
#[derive(Clone, Debug)]
pub struct RunnerTarget {
    /// The maximum number of connections that it accepts.
    pub connections: u32,
    /// The platform's id of its instance.
    pub instance: InstanceId,
    /// The id by which it identifies itself in responses.
    pub self_reported_id: RunnerId,
}

/// A request and the waiter for its outcome.
struct WaitingRequest<W> {
    holder_request: HolderRequest,
    waiter: W,
}

/// A held function, and the requests waiting for their outcomes. `W` is the type of their waiters.
pub struct HeldFunction<W> {
    /// The function.
    pub function: FunctionKey,
    /// The fencing token of the lease under which it is held.
    pub fencing_token: FencingToken,
    holder: Mutex<Holder>,
    waiting_requests: Mutex<BTreeMap<Ticket, WaitingRequest<W>>>,
}

impl<W> HeldFunction<W> {
    /// Creates the state of a function whose lease was just granted.
    pub fn new(holder: Holder) -> Self {
        Self {
            function: holder.function().clone(),
            fencing_token: holder.fencing_token(),
            holder: Mutex::new(holder),
            waiting_requests: Mutex::new(BTreeMap::new()),
        }
    }

    /// Calls `access` with the holder locked.
    pub fn with<T>(&self, access: impl FnOnce(&mut Holder) -> T) -> T {
        access(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the id by which a runner identifies itself in responses.
    pub fn self_reported_id_of(&self, runner: RunnerId) -> RunnerId {
        runner.self_reported_id(
            self.with(|holder| holder.instance_of(runner))
                .as_ref()
                .map(|instance| &instance.name),
        )
    }

    /// Returns the target of a send to a runner; `None` if the holder no longer has that runner.
    pub fn runner_target(&self, runner: RunnerId) -> Option<RunnerTarget> {
        let (connections, instance) =
            self.with(|holder| (holder.max_connections(), holder.instance_of(runner)));
        let instance = instance?;
        let self_reported_id = runner.self_reported_id(Some(&instance.name));
        Some(RunnerTarget {
            connections,
            instance: instance.name,
            self_reported_id,
        })
    }

    /// Returns the request with this ticket, while its outcome is pending.
    pub fn holder_request(&self, ticket: Ticket) -> Option<HolderRequest> {
        let waiting_requests = self
            .waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting_requests
            .get(&ticket)
            .map(|waiting| waiting.holder_request.clone())
    }

    /// Admits a request. An outcome that is known at once is returned together with its waiter.
    pub fn admit(
        &self,
        now: MonotonicTime,
        ticket: Ticket,
        holder_request: HolderRequest,
        waiter: W,
    ) -> (Option<(W, RequestOutcome)>, Vec<HolderOutput>) {
        let request = AdmissionRequest {
            ticket,
            idempotency_key: holder_request.idempotency_key.clone(),
            once: holder_request.once,
            recorded: holder_request.recorded,
            max_attempts: holder_request.max_attempts,
            is_retry: holder_request.is_retry,
            deadline: holder_request.deadline,
            queue_timeout: holder_request.queue_timeout,
            target: holder_request.target,
            rank: holder_request.rank,
            region: holder_request.region.clone(),
        };
        let waiting_request = WaitingRequest {
            holder_request,
            waiter,
        };
        self.waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(ticket, waiting_request);
        let (immediate_outcome, outputs) = self.with(|holder| holder.admit(now, request));
        let immediate_end = immediate_outcome
            .and_then(|outcome| self.remove_waiter(ticket).map(|waiter| (waiter, outcome)));
        (immediate_end, outputs)
    }

    /// Calls `read` with the waiter for a request's outcome, while the outcome is pending.
    pub fn with_waiter<T>(&self, ticket: Ticket, read: impl FnOnce(&W) -> T) -> Option<T> {
        let waiting_requests = self
            .waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting_requests
            .get(&ticket)
            .map(|waiting| read(&waiting.waiter))
    }

    /// Removes a request that has ended, and returns the waiter for its outcome, if there still is one.
    pub fn remove_waiter(&self, ticket: Ticket) -> Option<W> {
        let mut waiting_requests = self
            .waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting_requests
            .remove(&ticket)
            .map(|waiting| waiting.waiter)
    }
}
