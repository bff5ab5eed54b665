//! Forwards one request to the holder of its function: this daemon, or another one known from the cache, the hash owner
//! or the leader.
//!
//! [`Forwarding`] is a state machine without I/O. Each of its methods returns the next [`ForwardingStep`]; the caller
//! carries it out, and calls the method that matches its result.
//!
//! * `attempt_limits`: how often a request may be sent, by all specs that have matched it.
//! * `request`: the request as this daemon received it.
//! * `step`: the steps, and the result of sending a request to another daemon.
//! * `step_results`: handling of the result of a step.

mod attempt_limits;
mod request;
mod step;
mod step_results;

pub use attempt_limits::AttemptLimits;
pub use request::FunctionRequest;
pub use step::{ForwardResult, ForwardingStep};

use super::{Agent, HeldFunction, HolderRequest};
use crate::owners::{LookupContext, LookupStep, next_step};
use attempt_limits::NO_COMMON_VERSION;
use common::clock::MonotonicTime;
use common::frames::{
    DaemonMessage, Flag, Host, RequestFailureReason, RequestOutcome, RequestPayload,
};
use common::identity::{Region, ShortString, Version};
use common::rules::Rule;
use common::spec::{RouteEntry, RouteSpec, RoutingTable};
use std::time::Duration;
use step::{not_holder_outcome, rejected_step, unknown_outcome, unknown_step};

/// Time before the deadline that is reserved for the round trip of each hop, so that a rejection at the last moment
/// still arrives.
const HOP_TIME_RESERVE: Duration = Duration::from_millis(25);
/// How long a daemon waits for a spec as new as the one with which another daemon matched the request.
const SPEC_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a daemon waits for a newer spec after a holder with a different spec has rejected the request.
const SPEC_MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of such rejections after which a request is still retried.
const MAX_SPEC_MISMATCHES: u32 = 3;
/// The delay before the leader, or another daemon, is tried again.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);
/// How long a regional key is not used after its holder was lost.
const REGIONAL_LOST_BACKOFF: Duration = Duration::from_secs(3);
/// How long a regional key is not used after its holder had no runner ready.
const REGIONAL_UNREADY_BACKOFF: Duration = Duration::from_millis(300);
/// The largest body of a request that is referred to its holder rather than forwarded. A referral sends the body again,
/// but saves the response the detour through a third daemon.
const MAX_REFERRED_BODY_BYTES: usize = 64 << 10;
/// The minimum time to the deadline for a request to be referred to its holder rather than forwarded.
const MIN_REFERRAL_TIME: Duration = Duration::from_millis(300);
/// Retry-after of a rejection by a daemon that is not the holder.
const NOT_HOLDER_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry-after of a rejection because this daemon's spec and the holder's still differ.
const SPEC_MISMATCH_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-after of a rejection because the spec does not route the request to its function.
const UNKNOWN_ROUTE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after of a rejection because no owner was found, if the leader has announced no wait.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// The minimum retry-after of such a rejection, whatever wait the leader has announced.
const MIN_NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The state of one request that this daemon forwards.
pub struct Forwarding {
    request: FunctionRequest,
    /// When to stop waiting for a spec as new as the request's.
    spec_deadline: MonotonicTime,
    /// When to stop looking for a holder; `None` before the search starts.
    give_up_at: Option<MonotonicTime>,
    /// The earliest time of the next acquisition.
    acquire_not_before: MonotonicTime,
    /// When the function is expected to be ready, given the wait that the leader has announced.
    retry_at: Option<MonotonicTime>,
    /// When to stop waiting for a newer spec, after a rejection by a holder with a different spec.
    spec_mismatch_until: Option<MonotonicTime>,
    spec_mismatch_count: u32,
    /// The number of holders that were lost while they had the request.
    lost_holder_count: u32,
    /// Whether an earlier spec set stricter limits than the spec of the request's version.
    has_stricter_limits: bool,
    /// Whether to stop looking for a holder, as this daemon or the one that forwarded the request is shutting down.
    is_withdrawn: bool,
}

impl Forwarding {
    /// Creates the state of a request that this daemon has just received.
    pub fn new(now: MonotonicTime, request: FunctionRequest) -> Self {
        Self {
            request,
            spec_deadline: now + SPEC_WAIT_TIMEOUT,
            give_up_at: None,
            acquire_not_before: now,
            retry_at: None,
            spec_mismatch_until: None,
            spec_mismatch_count: 0,
            lost_holder_count: 0,
            has_stricter_limits: false,
            is_withdrawn: false,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &FunctionRequest {
        &self.request
    }

    /// Stops looking for a holder, as this daemon or the one that forwarded the request is shutting down. A request
    /// that waits here for a holder ends with the next [`advance`](Self::advance). A request that a holder already has
    /// is to be withdrawn there, and ends with that holder's outcome. Returns false if nothing is to be done.
    pub fn withdraw<W>(&mut self, agent: &Agent<W>) -> bool {
        self.is_withdrawn = agent
            .rules
            .enforces(Rule::QueuedRequestsWithdrawnAtShutdown);
        self.is_withdrawn
    }

    /// Returns the last step of a request that a holder still has when this daemon exits. Its outcome is unknown, as a
    /// runner may have it.
    pub fn end_unfinished<W>(&self) -> ForwardingStep<W> {
        unknown_step()
    }

    /// Finalizes a step. A withdrawn request is not continued. If a holder was lost with the request, an outcome that
    /// says it was not run becomes unknown, as the lost holder may have run it.
    fn finalize_step<W>(&self, agent: &Agent<W>, step: ForwardingStep<W>) -> ForwardingStep<W> {
        let is_end = matches!(step, ForwardingStep::End(..));
        let step = if self.is_withdrawn && !is_end {
            self.withdrawn_step(agent)
        } else {
            step
        };
        match step {
            ForwardingStep::End(RequestOutcome::NotRun { .. }, holder)
                if self.lost_holder_count > 0 =>
            {
                ForwardingStep::End(unknown_outcome(), holder)
            }
            step => step,
        }
    }

    /// Returns the last step of a withdrawn request that no holder has. If another daemon forwarded it here, that
    /// daemon looks for another holder.
    fn withdrawn_step<W>(&self, agent: &Agent<W>) -> ForwardingStep<W> {
        if self.request.hops == 0 {
            rejected_step(
                RequestFailureReason::NotServing,
                agent.not_serving_retry_after(),
            )
        } else {
            rejected_step(RequestFailureReason::NotHolder, NOT_HOLDER_RETRY_AFTER)
        }
    }

    /// Decides the next step from the current state of the daemon. A daemon without a session lease rejects the request
    /// at once, so that requests buffered in its sockets while it was suspended are not continued.
    pub fn advance<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        if self.is_withdrawn {
            return self.finalize_step(agent, self.withdrawn_step(agent));
        }
        let step = self.next_step(agent, now);
        self.finalize_step(agent, step)
    }

    fn next_step<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        if !agent.is_serving(now) {
            return rejected_step(
                RequestFailureReason::NotServing,
                agent.not_serving_retry_after(),
            );
        }
        let table = agent.routing_table();
        if let Some(step) = self.after_spec_mismatch(now, table.version()) {
            return step;
        }
        self.apply_newer_spec(agent, &table);
        if self.request.hops == 0 {
            self.use_regional_key(agent, now, &table);
            if self.lost_holder_count >= self.request.limits.max_runs() {
                return unknown_step();
            }
        }
        let Some(route) = self
            .matching_route(agent, &table)
            .filter(|route| table.leads_to(route, &self.request.function))
        else {
            return self.unknown_route_step(now, table.version());
        };
        let give_up_at = self.give_up_at(now, route.spec.queue_timeout);
        if now >= give_up_at {
            return self.no_owner_step(now);
        }
        let held = agent.held_function(&self.request.function);
        match (self.look_up(agent, held.is_some()), held) {
            (LookupStep::Serve, Some(_)) if self.may_have_run_once(&table, &route.spec) => {
                rejected_step(RequestFailureReason::NotAllowed, SPEC_MISMATCH_RETRY_AFTER)
            }
            (LookupStep::Serve, Some(held)) => {
                let limits = self.limits_at_holder(agent, &table, &route.spec);
                ForwardingStep::Serve(held, self.holder_request(agent, &route.spec, limits))
            }
            (LookupStep::Serve, None) => ForwardingStep::Wait { wait_until: now },
            (LookupStep::Forward(host), _) => self.forward_step(agent, now, host),
            (LookupStep::Acquire, _) => self.acquire_step(now, give_up_at),
            (LookupStep::NotHolder, _) => {
                rejected_step(RequestFailureReason::NotHolder, NOT_HOLDER_RETRY_AFTER)
            }
            (LookupStep::NoEligibleHost, _)
                if self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF) =>
            {
                self.next_step(agent, now)
            }
            (LookupStep::NoEligibleHost, _) => ForwardingStep::Wait {
                wait_until: give_up_at,
            },
        }
    }

    /// Returns the step after a rejection by a holder with a different spec: waits until this daemon has a newer spec
    /// than the one with which the request was matched, and rejects the request when that takes too long. `None` once
    /// the newer spec is installed, or without such a rejection.
    fn after_spec_mismatch<W>(
        &mut self,
        now: MonotonicTime,
        installed: Version,
    ) -> Option<ForwardingStep<W>> {
        let wait_until = self.spec_mismatch_until?;
        if installed > self.request.version {
            self.spec_mismatch_until = None;
            return None;
        }
        Some(if now < wait_until {
            ForwardingStep::Wait { wait_until }
        } else {
            rejected_step(RequestFailureReason::NotAllowed, SPEC_MISMATCH_RETRY_AFTER)
        })
    }

    /// Handles a request that this daemon's spec does not route to its function: waits for the spec with which the
    /// request was matched if this daemon's is older, and otherwise rejects the request.
    fn unknown_route_step<W>(&self, now: MonotonicTime, installed: Version) -> ForwardingStep<W> {
        let is_spec_behind = installed < self.request.version && now < self.spec_deadline;
        if is_spec_behind {
            ForwardingStep::Wait {
                wait_until: self.spec_deadline,
            }
        } else {
            rejected_step(RequestFailureReason::NotAllowed, UNKNOWN_ROUTE_RETRY_AFTER)
        }
    }

    /// Returns when to stop looking for a holder. The time is fixed when the search starts.
    fn give_up_at(&mut self, now: MonotonicTime, queue_timeout: Duration) -> MonotonicTime {
        *self.give_up_at.get_or_insert(
            self.request
                .deadline
                .min(now + queue_timeout.max(RETRY_BACKOFF)),
        )
    }

    fn look_up<W>(&self, agent: &Agent<W>, holds: bool) -> LookupStep {
        let owners = agent.owners.load();
        let hosts = agent.live_hosts();
        next_step(&LookupContext {
            function: &self.request.function,
            own_member: &agent.own_host.member,
            holds,
            cached_owner: owners.get(&self.request.function),
            hosts: &hosts,
            regions: &agent.regional_keys.regions,
            hops: self.request.hops,
        })
    }

    /// Whether another daemon retries a request that this daemon's spec allows to run only once, while the spec by which
    /// that daemon has matched it may differ.
    fn may_have_run_once(&self, table: &RoutingTable, route: &RouteSpec) -> bool {
        let is_same_spec = self.request.version == table.version();
        let is_forwarded_retry = self.request.hops > 0 && self.request.is_retry;
        is_forwarded_retry && !is_same_spec && route.once && !route.recorded
    }

    /// Returns how often the holder in this daemon may send the request. What another spec allows is not known here, so
    /// a request that was matched by another one is sent to one runner only.
    fn limits_at_holder<W>(
        &self,
        agent: &Agent<W>,
        table: &RoutingTable,
        route: &RouteSpec,
    ) -> AttemptLimits {
        let limits = AttemptLimits::of_route(route);
        if !agent.rules.enforces(Rule::StrictestLimitsKept) {
            return limits;
        }
        let limits = limits.restricted_by(self.request.limits);
        if self.request.version == table.version() {
            limits
        } else {
            AttemptLimits {
                max_attempts: 1,
                ..limits
            }
        }
    }

    fn holder_request<W>(
        &self,
        agent: &Agent<W>,
        route: &RouteSpec,
        limits: AttemptLimits,
    ) -> HolderRequest {
        HolderRequest {
            idempotency_key: self.request.idempotency_key.clone(),
            route: self.request.route.clone(),
            deadline: self.request.deadline,
            once: limits.once,
            recorded: route.recorded,
            max_attempts: limits.max_attempts,
            is_retry: self.request.is_retry,
            queue_timeout: route.queue_timeout,
            target: route.target,
            rank: route.rank,
            region: self.foreign_region(agent),
            payload: self.request.payload.clone(),
        }
    }

    fn forward_step<W>(
        &self,
        agent: &Agent<W>,
        now: MonotonicTime,
        host: Host,
    ) -> ForwardingStep<W> {
        if self.may_refer(&agent.own_host, &host, now) {
            return ForwardingStep::End(not_holder_outcome(), Some(host));
        }
        ForwardingStep::Forward {
            host,
            body: self.forward_message(now),
            wait_until: self.request.deadline + HOP_TIME_RESERVE,
        }
    }

    fn acquire_step<W>(&self, now: MonotonicTime, give_up_at: MonotonicTime) -> ForwardingStep<W> {
        if now < self.acquire_not_before {
            ForwardingStep::Wait {
                wait_until: self.acquire_not_before.min(give_up_at),
            }
        } else {
            ForwardingStep::Acquire {
                wait_until: give_up_at,
            }
        }
    }

    /// Whether a hash owner that knows the holder refers the ingress daemon to it rather than forward the request,
    /// which saves the response a detour between zones. Nothing was sent from here, so the request was certainly not
    /// run.
    fn may_refer(&self, own_host: &Host, holder: &Host, now: MonotonicTime) -> bool {
        self.request.hops == 1
            && self.request.wants_referral
            && holder.zone != own_host.zone
            && self.request.payload.body.0.len() <= MAX_REFERRED_BODY_BYTES
            && self.request.deadline.since(now) >= MIN_REFERRAL_TIME
    }

    fn no_owner_step<W>(&self, now: MonotonicTime) -> ForwardingStep<W> {
        let known_wait = self.retry_at.map(|retry_at| retry_at.since(now));
        rejected_step(
            RequestFailureReason::NoOwner,
            known_wait
                .unwrap_or(NO_OWNER_RETRY_AFTER)
                .max(MIN_NO_OWNER_RETRY_AFTER),
        )
    }

    /// Returns the version of the spec whose limits are those of the request.
    fn common_version(&self) -> Version {
        if self.has_stricter_limits {
            NO_COMMON_VERSION
        } else {
            self.request.version
        }
    }

    fn forward_message(&self, now: MonotonicTime) -> DaemonMessage {
        let remaining_time = self
            .request
            .deadline
            .since(now)
            .saturating_sub(HOP_TIME_RESERVE);
        DaemonMessage::FunctionRequest {
            idempotency_key: self.request.idempotency_key.clone(),
            function: self.request.function.clone(),
            route: ShortString::from(self.request.route.as_str()),
            version: self.common_version(),
            time_limit_ms: remaining_time.as_millis() as u32,
            hops: self.request.hops + 1,
            repeat: Flag(self.request.is_retry),
            wants_referral: Flag(self.request.hops == 0 && self.request.wants_referral),
            region: self.request.region.clone(),
            payload: RequestPayload::clone(&self.request.payload),
        }
    }

    /// Returns the route of the request in this table.
    fn matching_route<'a, W>(
        &self,
        agent: &Agent<W>,
        table: &'a RoutingTable,
    ) -> Option<&'a RouteEntry> {
        agent.route_of_request(table, &self.request.payload, &self.request.route)
    }

    /// Routes the request again if a newer spec is installed, which may lead to another function. This is safe for a
    /// request that was not run yet. Only the ingress daemon does so.
    fn apply_newer_spec<W>(&mut self, agent: &Agent<W>, table: &RoutingTable) {
        if self.request.hops > 0 || table.version() <= self.request.version {
            return;
        }
        let Some(route) = self.matching_route(agent, table) else {
            return;
        };
        self.request.function = table
            .function(route.choose_function(&self.request.idempotency_key))
            .key
            .clone();
        self.request.route = route.spec.name.clone();
        self.request.version = table.version();
        self.apply_limits(agent, AttemptLimits::of_route(&route.spec));
    }

    /// Restricts how often the request may be sent by the limits of a newer spec.
    fn apply_limits<W>(&mut self, agent: &Agent<W>, newer_limits: AttemptLimits) {
        self.request.limits = if agent.rules.enforces(Rule::StrictestLimitsKept) {
            self.request.limits.restricted_by(newer_limits)
        } else {
            newer_limits
        };
        self.has_stricter_limits = self.request.limits != newer_limits;
    }

    /// At the ingress daemon: uses the regional key if there is one. Requests whose idempotency keys are recorded stay
    /// with the one holder that records them.
    fn use_regional_key<W>(&mut self, agent: &Agent<W>, now: MonotonicTime, table: &RoutingTable) {
        let is_recorded = self
            .matching_route(agent, table)
            .is_none_or(|route| route.spec.recorded)
            && agent.rules.enforces(Rule::OneHolderRemembersKeys);
        let all_regions_key = self.request.function.all_regions();
        self.request.function = agent
            .regional_key(now, &all_regions_key)
            .filter(|_| !is_recorded)
            .unwrap_or(all_regions_key);
    }

    /// At the ingress daemon: falls back to the holder for all regions, as the regional key cannot be served at the
    /// moment. Returns true if the request was under a regional key.
    fn leave_regional_key<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        backoff: Duration,
    ) -> bool {
        let was_regional = self.request.hops == 0 && self.request.function.is_regional();
        if was_regional {
            agent.suspend_regional_key(now, &self.request.function, backoff);
            self.request.function = self.request.function.all_regions();
        }
        was_regional
    }

    /// Returns the region of the ingress daemon, if it differs from this daemon's.
    fn foreign_region<W>(&self, agent: &Agent<W>) -> Option<Region> {
        let is_foreign = agent
            .own_region()
            .is_some_and(|own_region| *own_region != self.request.region);
        (is_foreign && !self.request.region.as_str().is_empty())
            .then(|| self.request.region.clone())
    }
}
