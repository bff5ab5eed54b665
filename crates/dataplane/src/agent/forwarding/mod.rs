//! The forwarding of one transaction to its holder: here, by the cache, by the hash owner, or by asking
//! the leader.
//!
//! [`Forwarding`] says step by step what is to be done with a transaction, and is told how each step
//! ended. It sends and waits for nothing itself.

mod request;
mod step;
mod step_results;

pub use request::FunctionRequest;
pub use step::{ForwardResult, ForwardingStep};

use super::{Agent, HeldFunction, HolderRequest};
use crate::holder::not_run;
use crate::owners::{LookupContext, LookupStep, next_step};
use common::clock::MonotonicTime;
use common::frames::{
    DaemonMessage, Flag, Host, RequestFailureReason, RequestOutcome, RequestPayload,
};
use common::identity::{Region, ShortString};
use common::rules::Rule;
use common::spec::RoutingTable;
use std::time::Duration;
use step::refused_step;

/// What is kept back of the budget for each hop, there and back, so that a refusal at the last moment
/// still arrives as one.
const HOP_TIME_RESERVE: Duration = Duration::from_millis(25);
/// How long a daemon waits for a spec as new as the one another daemon matched with.
const SPEC_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a daemon waits for a newer spec when the holder has refused by another one than its own.
const SPEC_MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// How many refusals by another spec are followed by another look.
const MAX_SPEC_MISMATCHES: u32 = 3;
/// The pause before the leader is asked, or another daemon tried, again.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);
/// So long a region's own key is left alone after its holder was lost, and after it had no runner ready.
const REGIONAL_LOST_BACKOFF: Duration = Duration::from_secs(3);
const REGIONAL_UNREADY_BACKOFF: Duration = Duration::from_millis(300);
/// A body no larger than this is rather sent twice than its answer brought by a detour.
const MAX_REFERRED_BODY_BYTES: usize = 64 << 10;
/// What must be left of a budget so that a detour can be spared.
const MIN_REFERRAL_TIME: Duration = Duration::from_millis(300);

/// One transaction on its way through this daemon.
pub struct Forwarding {
    request: FunctionRequest,
    spec_deadline: MonotonicTime,
    give_up_at: Option<MonotonicTime>,
    acquire_not_before: MonotonicTime,
    retry_at: Option<MonotonicTime>,
    spec_mismatch_until: Option<MonotonicTime>,
    spec_mismatch_count: u32,
    lost_holder_count: u32,
}

impl Forwarding {
    /// A transaction at the start of its way through this daemon.
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
        }
    }

    /// The transaction.
    pub fn request(&self) -> &FunctionRequest {
        &self.request
    }

    /// After a holder fell silent with it nobody can say that it was not run.
    fn unknown_after_loss<W>(&self, step: ForwardingStep<W>) -> ForwardingStep<W> {
        match step {
            ForwardingStep::End(RequestOutcome::NotRun { .. }, holder)
                if self.lost_holder_count > 0 =>
            {
                ForwardingStep::End(
                    RequestOutcome::Unknown {
                        reason: RequestFailureReason::HolderUnreachable,
                    },
                    holder,
                )
            }
            step => step,
        }
    }

    /// Looks where it goes next. A daemon without a member grant refuses at once, so that what lay in
    /// its sockets while it was frozen goes no further.
    pub fn advance<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        let step = self.next_step(agent, now);
        self.unknown_after_loss(step)
    }

    fn next_step<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        if !agent.is_serving(now) {
            return refused_step(
                RequestFailureReason::NotServing,
                agent.not_serving_retry_after(),
            );
        }
        let table = agent.table.load();
        if let Some(spec_mismatch_until) = self.spec_mismatch_until {
            if table.version() <= self.request.version {
                return if now < spec_mismatch_until {
                    ForwardingStep::Wait {
                        wait_until: spec_mismatch_until,
                    }
                } else {
                    refused_step(RequestFailureReason::NotAllowed, Duration::from_millis(200))
                };
            }
            self.spec_mismatch_until = None;
        }
        if self.request.hops == 0 {
            self.apply_newer_spec(&table);
            self.use_regional_key(agent, now, &table);
        }
        let Some(route) = table
            .route_named(&self.request.route)
            .filter(|_| table.allows(&self.request.route, &self.request.function))
        else {
            let is_spec_behind = table.version() < self.request.version && now < self.spec_deadline;
            return if is_spec_behind {
                ForwardingStep::Wait {
                    wait_until: self.spec_deadline,
                }
            } else {
                refused_step(RequestFailureReason::NotAllowed, Duration::from_millis(500))
            };
        };
        let queue_timeout = route.spec.queue_timeout;
        let give_up_at = *self.give_up_at.get_or_insert(
            self.request
                .deadline
                .min(now + queue_timeout.max(RETRY_BACKOFF)),
        );
        if now >= give_up_at {
            return self.no_owner_step(now);
        }
        let held = agent
            .held_functions
            .load()
            .get(&self.request.function)
            .cloned();
        let step = {
            let owners = agent.owners.load();
            let hosts = agent.hosts.load();
            next_step(&LookupContext {
                function: &self.request.function,
                own_member: &agent.own_host.member,
                holds: held.is_some(),
                cached_owner: owners.get(&self.request.function),
                hosts: &hosts,
                regions: &agent.regions,
                hops: self.request.hops,
            })
        };
        match step {
            LookupStep::Serve => match held {
                Some(held) => {
                    let holder_request = HolderRequest {
                        idempotency_key: self.request.idempotency_key.clone(),
                        route: self.request.route.clone(),
                        deadline: self.request.deadline,
                        once: route.spec.once,
                        recorded: route.spec.recorded,
                        max_attempts: route.spec.max_attempts,
                        repeat: self.request.repeat,
                        queue_timeout,
                        target: route.spec.target,
                        rank: route.spec.rank,
                        region: self.foreign_region(agent),
                        payload: self.request.payload.clone(),
                    };
                    ForwardingStep::Serve(held, holder_request)
                }
                None => ForwardingStep::Wait { wait_until: now },
            },
            LookupStep::Forward(host) if self.may_refer(&agent.own_host, &host, now) => {
                ForwardingStep::End(not_run(RequestFailureReason::NotHolder, 50), Some(host))
            }
            LookupStep::Forward(host) => ForwardingStep::Forward {
                host,
                body: self.forward_frame(now),
                wait_until: self.request.deadline + HOP_TIME_RESERVE,
            },
            LookupStep::Acquire if now < self.acquire_not_before => ForwardingStep::Wait {
                wait_until: self.acquire_not_before.min(give_up_at),
            },
            LookupStep::Acquire => ForwardingStep::Acquire {
                wait_until: give_up_at,
            },
            LookupStep::NotHolder => {
                refused_step(RequestFailureReason::NotHolder, Duration::from_millis(50))
            }
            LookupStep::NoEligibleHost
                if self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF) =>
            {
                self.next_step(agent, now)
            }
            LookupStep::NoEligibleHost => ForwardingStep::Wait {
                wait_until: give_up_at,
            },
        }
    }

    /// A hash owner that knows the holder names it rather than pass a transaction on, if that spares the
    /// answer a way between zones: the caller's daemon then goes there itself. Nothing was sent
    /// from here, so it is surely not run.
    fn may_refer(&self, own_host: &Host, holder: &Host, now: MonotonicTime) -> bool {
        self.request.hops == 1
            && self.request.wants_referral
            && holder.zone != own_host.zone
            && self.request.payload.body.0.len() <= MAX_REFERRED_BODY_BYTES
            && self.request.deadline.since(now) >= MIN_REFERRAL_TIME
    }

    fn no_owner_step<W>(&self, now: MonotonicTime) -> ForwardingStep<W> {
        let known_wait = self.retry_at.map(|retry_at| retry_at.since(now));
        refused_step(
            RequestFailureReason::NoOwner,
            known_wait
                .unwrap_or(Duration::from_millis(1000))
                .max(Duration::from_millis(100)),
        )
    }

    fn forward_frame(&self, now: MonotonicTime) -> DaemonMessage {
        let remaining_time = self
            .request
            .deadline
            .since(now)
            .saturating_sub(HOP_TIME_RESERVE);
        DaemonMessage::FunctionRequest {
            idempotency_key: self.request.idempotency_key.clone(),
            function: self.request.function.clone(),
            route: ShortString::from(self.request.route.as_str()),
            version: self.request.version,
            timeout_ms: remaining_time.as_millis() as u32,
            hops: self.request.hops + 1,
            repeat: Flag(self.request.repeat),
            wants_referral: Flag(self.request.hops == 0 && self.request.wants_referral),
            region: self.request.region.clone(),
            payload: RequestPayload::clone(&self.request.payload),
        }
    }

    /// At the caller's daemon: a newer spec may lead the same route elsewhere. Nothing has run yet.
    fn apply_newer_spec(&mut self, table: &RoutingTable) {
        if table.version() <= self.request.version {
            return;
        }
        if let Some(route) = table.route_named(&self.request.route) {
            self.request.function = table
                .function(route.choose_function(&self.request.idempotency_key))
                .key
                .clone();
            self.request.version = table.version();
        }
    }

    /// At the caller's daemon: where this region's callers have a key of their own, it is asked for under that
    /// one. Identities that may come again are remembered by one holder, and stay with it.
    fn use_regional_key<W>(&mut self, agent: &Agent<W>, now: MonotonicTime, table: &RoutingTable) {
        let is_remembered = table
            .route_named(&self.request.route)
            .is_none_or(|route| route.spec.recorded)
            && agent.rules.enforces(Rule::OneHolderRemembersKeys);
        let all_regions = self.request.function.all_regions();
        self.request.function = agent
            .regional_key(now, &all_regions)
            .filter(|_| !is_remembered)
            .unwrap_or(all_regions);
    }

    /// At the caller's daemon: the region's own key does not serve, and the holder for all regions does. Says
    /// whether it was under such a key.
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

    /// The region of the caller's daemon, if it is another than this one's.
    fn foreign_region<W>(&self, agent: &Agent<W>) -> Option<Region> {
        let is_foreign = agent
            .own_region()
            .is_some_and(|own_region| *own_region != self.request.region);
        (is_foreign && !self.request.region.as_str().is_empty())
            .then(|| self.request.region.clone())
    }
}
