//! A held function together with those who wait for its outcomes.

use crate::holder::{AdmissionRequest, Holder, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{RequestOutcome, RequestPayload};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, Region, RunnerId, Ticket,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A transaction on its way to a runner.
#[derive(Clone)]
pub struct HolderRequest {
    /// The try's identity.
    pub idempotency_key: IdempotencyKey,
    /// The route that matched it.
    pub route: String,
    /// When its budget ends.
    pub deadline: MonotonicTime,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send its identity again, so that it is remembered.
    pub recorded: bool,
    /// The most runners it may go to.
    pub max_attempts: u32,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// How long it may wait in the inbox.
    pub queue_timeout: Duration,
    /// When an answer turns late.
    pub target: Duration,
    /// Which goes first; the lowest before all others.
    pub rank: u8,
    /// The region of its caller's daemon, if that is another than the holder's.
    pub region: Option<Region>,
    /// What the caller sent.
    pub payload: Arc<RequestPayload>,
}

/// The runner that a send is meant for.
#[derive(Clone, Debug)]
pub struct RunnerTarget {
    /// The most connections that it takes.
    pub connections: u32,
    /// Its life, as the platform names it.
    pub instance: InstanceId,
    /// The name that it goes by itself.
    pub self_reported_id: RunnerId,
}

struct WaitingRequest<W> {
    holder_request: HolderRequest,
    waiter: W,
}

/// A held function with those who wait for it.
pub struct HeldFunction<W> {
    /// The function.
    pub function: FunctionKey,
    /// The grant it is held under.
    pub fencing_token: FencingToken,
    holder: Mutex<Holder>,
    waiting_requests: Mutex<BTreeMap<Ticket, WaitingRequest<W>>>,
}

impl<W> HeldFunction<W> {
    /// A function just granted.
    pub fn new(holder: Holder) -> Self {
        Self {
            function: holder.function().clone(),
            fencing_token: holder.fencing_token(),
            holder: Mutex::new(holder),
            waiting_requests: Mutex::new(BTreeMap::new()),
        }
    }

    /// Looks at or changes the holder.
    pub fn with<T>(&self, access: impl FnOnce(&mut Holder) -> T) -> T {
        access(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The name that a runner itself goes by.
    pub fn self_reported_id_of(&self, runner: RunnerId) -> RunnerId {
        runner.self_reported_id(
            self.with(|holder| holder.instance_of(runner))
                .as_ref()
                .map(|instance| &instance.name),
        )
    }

    /// What a send to a runner has to know; none when the runner is gone.
    pub fn runner_target(&self, runner: RunnerId) -> Option<RunnerTarget> {
        let (connections, instance) =
            self.with(|holder| (holder.connections(), holder.instance_of(runner)));
        let instance = instance?;
        let self_reported_id = runner.self_reported_id(Some(&instance.name));
        Some(RunnerTarget {
            connections,
            instance: instance.name,
            self_reported_id,
        })
    }

    /// What a ticket stands for, while somebody waits for it.
    pub fn holder_request(&self, ticket: Ticket) -> Option<HolderRequest> {
        let waiting_requests = self
            .waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting_requests
            .get(&ticket)
            .map(|held| held.holder_request.clone())
    }

    /// Takes a transaction in. What waits for it comes back at once with an outcome that is known now.
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
            repeat: holder_request.repeat,
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
            .and_then(|outcome| self.remove_waiter(ticket).map(|held| (held, outcome)));
        (immediate_end, outputs)
    }

    /// A transaction has ended; gives back what waits for it.
    pub fn remove_waiter(&self, ticket: Ticket) -> Option<W> {
        let mut waiting_requests = self
            .waiting_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting_requests.remove(&ticket).map(|held| held.waiter)
    }
}
