//! What follows when a step has ended: the holder here, another daemon, or the leader has answered.

use super::step::refused_step;
use super::{
    Agent, ForwardResult, Forwarding, ForwardingStep, HOP_TIME_RESERVE, MAX_SPEC_MISMATCHES,
    REGIONAL_LOST_BACKOFF, REGIONAL_UNREADY_BACKOFF, RETRY_BACKOFF, SPEC_MISMATCH_TIMEOUT,
};
use crate::holder::not_run;
use crate::owners::{MAX_HOPS, is_current_owner};
use common::clock::MonotonicTime;
use common::frames::{AcquireResult, RequestFailureReason, RequestOutcome};
use std::time::Duration;

impl Forwarding {
    /// A holder refused by another spec than this daemon's: one of them is about to change.
    fn handle_spec_mismatch<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
    ) -> ForwardingStep<W> {
        self.spec_mismatch_count += 1;
        if self.spec_mismatch_count > MAX_SPEC_MISMATCHES {
            return refused_step(RequestFailureReason::NotAllowed, Duration::from_millis(200));
        }
        self.spec_mismatch_until = Some(now + SPEC_MISMATCH_TIMEOUT);
        self.advance(agent, now)
    }

    fn back_off<W>(&mut self, now: MonotonicTime) -> ForwardingStep<W> {
        self.acquire_not_before = now + RETRY_BACKOFF;
        ForwardingStep::Wait {
            wait_until: self.acquire_not_before,
        }
    }

    /// The holder here has ended it; one that admits nothing any more proves that nothing was run.
    pub fn served<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        outcome: RequestOutcome,
    ) -> ForwardingStep<W> {
        let step = self.after_serve(agent, now, outcome);
        self.unknown_after_loss(step)
    }

    fn after_serve<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        outcome: RequestOutcome,
    ) -> ForwardingStep<W> {
        let holder_declined = is_not_holder(&outcome);
        if holder_declined && self.request.hops == 0 {
            return self.back_off(now);
        }
        if is_not_allowed(&outcome) && self.request.hops == 0 {
            return self.handle_spec_mismatch(agent, now);
        }
        if self.falls_back_to_all_regions(agent, now, &outcome) {
            return self.advance(agent, now);
        }
        ForwardingStep::End(outcome, (!holder_declined).then(|| agent.own_host.clone()))
    }

    /// The daemon it was passed to has ended it, or could not be reached, or fell silent.
    pub fn forwarded<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        end: ForwardResult,
    ) -> ForwardingStep<W> {
        let step = self.after_forward(agent, now, end);
        self.unknown_after_loss(step)
    }

    fn after_forward<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        end: ForwardResult,
    ) -> ForwardingStep<W> {
        match end {
            ForwardResult::Completed(outcome, Some(holder))
                if is_not_holder(&outcome)
                    && self.request.hops == 0
                    && self.request.wants_referral =>
            {
                self.request.wants_referral = false;
                agent.cache_owner(&self.request.function, &holder);
                self.advance(agent, now)
            }
            ForwardResult::Completed(outcome, _) if is_not_holder(&outcome) => {
                agent.evict_owner(&self.request.function);
                if self.request.hops > 0 {
                    return refused_step(
                        RequestFailureReason::NotHolder,
                        Duration::from_millis(50),
                    );
                }
                self.back_off(now)
            }
            ForwardResult::Completed(outcome, _)
                if is_not_allowed(&outcome) && self.request.hops == 0 =>
            {
                self.handle_spec_mismatch(agent, now)
            }
            ForwardResult::Completed(
                RequestOutcome::Unknown {
                    reason: RequestFailureReason::HolderUnreachable,
                },
                _,
            ) => self.after_loss(agent, now),
            ForwardResult::Completed(outcome, _)
                if self.falls_back_to_all_regions(agent, now, &outcome) =>
            {
                self.advance(agent, now)
            }
            ForwardResult::Completed(outcome, holder) => {
                if let Some(holder) = &holder {
                    agent.cache_owner(&self.request.function, holder);
                }
                ForwardingStep::End(outcome, holder)
            }
            ForwardResult::Unsent => {
                agent.evict_owner(&self.request.function);
                self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF);
                self.back_off(now)
            }
            ForwardResult::Lost => self.after_loss(agent, now),
        }
    }

    /// Surely not run under the region's own key, for nobody holds it or its holder has no runner ready: the holder
    /// for all regions is next.
    fn falls_back_to_all_regions<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        outcome: &RequestOutcome,
    ) -> bool {
        let RequestOutcome::NotRun { reason, .. } = outcome else {
            return false;
        };
        match reason {
            RequestFailureReason::NoRunnerAvailable => {
                self.leave_regional_key(agent, now, REGIONAL_UNREADY_BACKOFF)
            }
            RequestFailureReason::NoOwner | RequestFailureReason::NotServing => {
                self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF)
            }
            _ => false,
        }
    }

    /// A daemon fell silent with it: the next one, or one behind that.
    fn after_loss<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        agent.evict_owner(&self.request.function);
        self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF);
        if self.may_retry_forward(agent, now) {
            self.lost_holder_count += 1;
            self.request.repeat = true;
            self.give_up_at = None;
            return self.back_off(now);
        }
        ForwardingStep::End(
            RequestOutcome::Unknown {
                reason: RequestFailureReason::HolderUnreachable,
            },
            None,
        )
    }

    /// A repeatable transaction whose holder fell silent goes to the next one, as an extra try. Only the
    /// caller's daemon does so: were those on the way to repeat it too, each pass would be multiplied.
    fn may_retry_forward<W>(&self, agent: &Agent<W>, now: MonotonicTime) -> bool {
        let table = agent.table.load();
        let has_time = now + HOP_TIME_RESERVE + RETRY_BACKOFF < self.request.deadline;
        let has_attempts_left = |max_attempts: u32| self.lost_holder_count + 1 < max_attempts;
        table.route_named(&self.request.route).is_some_and(|route| {
            !route.spec.once && has_attempts_left(route.spec.max_attempts) && has_time
        }) && self.request.hops == 0
    }

    /// The leader has answered, or the question was lost. A wait that it foresees and that the caller
    /// has not the patience for is told at once.
    pub fn acquired<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        let step = self.after_acquire(agent, now, result);
        self.unknown_after_loss(step)
    }

    fn after_acquire<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        let give_up_at = self.give_up_at.unwrap_or(now);
        match result {
            Some(AcquireResult::Granted { .. }) => self.advance(agent, now),
            Some(AcquireResult::Owner { host }) if self.request.hops >= MAX_HOPS => {
                ForwardingStep::End(not_run(RequestFailureReason::NotHolder, 50), Some(host))
            }
            Some(AcquireResult::Owner { host }) => {
                let is_remote = host.member != agent.own_host.member;
                if is_remote && is_current_owner(&host, &agent.hosts.load()) {
                    return self.advance(agent, now);
                }
                self.back_off(now)
            }
            Some(AcquireResult::RetryLater { .. })
                if self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF) =>
            {
                self.advance(agent, now)
            }
            Some(AcquireResult::RetryLater { wait_ms }) => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                let table = agent.table.load();
                let startup = table
                    .function_of(&self.request.function)
                    .map(|entry| entry.spec.startup);
                let ready_at = now + wait + startup.unwrap_or_default();
                self.retry_at = Some(ready_at);
                if ready_at >= give_up_at {
                    return self.no_owner_step(now);
                }
                self.acquire_not_before = now + RETRY_BACKOFF;
                ForwardingStep::Wait {
                    wait_until: now + wait + RETRY_BACKOFF,
                }
            }
            Some(AcquireResult::Rejected) | None => self.back_off(now),
        }
    }
}

fn is_not_holder(outcome: &RequestOutcome) -> bool {
    matches!(
        outcome,
        RequestOutcome::NotRun {
            reason: RequestFailureReason::NotHolder,
            ..
        }
    )
}

fn is_not_allowed(outcome: &RequestOutcome) -> bool {
    matches!(
        outcome,
        RequestOutcome::NotRun {
            reason: RequestFailureReason::NotAllowed,
            ..
        }
    )
}
