//! Handles the result of a step: from this daemon's holder, from another daemon, or from the leader.

use super::step::{not_holder_outcome, rejected_step, unknown_step};
use super::{
    Agent, ForwardResult, Forwarding, ForwardingStep, HOP_TIME_RESERVE, MAX_SPEC_MISMATCHES,
    NOT_HOLDER_RETRY_AFTER, REGIONAL_LOST_BACKOFF, REGIONAL_UNREADY_BACKOFF, RETRY_BACKOFF,
    SPEC_MISMATCH_RETRY_AFTER, SPEC_MISMATCH_TIMEOUT,
};
use crate::owners::{MAX_HOPS, is_current_owner};
use common::clock::MonotonicTime;
use common::frames::{AcquireResult, Host, RequestFailureReason, RequestOutcome};
use std::time::Duration;

impl Forwarding {
    /// Handles a rejection by a holder with a different spec than this daemon's: one of the two is about to be updated.
    fn handle_spec_mismatch<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
    ) -> ForwardingStep<W> {
        self.spec_mismatch_count += 1;
        if self.spec_mismatch_count > MAX_SPEC_MISMATCHES {
            return rejected_step(RequestFailureReason::NotAllowed, SPEC_MISMATCH_RETRY_AFTER);
        }
        self.spec_mismatch_until = Some(now + SPEC_MISMATCH_TIMEOUT);
        self.advance(agent, now)
    }

    /// Waits for `RETRY_BACKOFF` before the next acquisition.
    fn back_off<W>(&mut self, now: MonotonicTime) -> ForwardingStep<W> {
        self.acquire_not_before = now + RETRY_BACKOFF;
        ForwardingStep::Wait {
            wait_until: self.acquire_not_before,
        }
    }

    /// Handles the outcome returned by the holder in this daemon. A holder that admits no more requests has certainly
    /// not run this one.
    pub fn handle_local_outcome<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        outcome: RequestOutcome,
    ) -> ForwardingStep<W> {
        let step = self.after_serve(agent, now, outcome);
        self.finalize_step(agent, step)
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
        if self.try_fall_back_to_all_regions(agent, now, &outcome) {
            return self.advance(agent, now);
        }
        ForwardingStep::End(outcome, (!holder_declined).then(|| agent.own_host.clone()))
    }

    /// Handles the result of sending the request to another daemon.
    pub fn handle_forward_result<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: ForwardResult,
    ) -> ForwardingStep<W> {
        let step = self.after_forward(agent, now, result);
        self.finalize_step(agent, step)
    }

    fn after_forward<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: ForwardResult,
    ) -> ForwardingStep<W> {
        match result {
            ForwardResult::Completed(outcome, holder) => {
                self.after_remote_outcome(agent, now, outcome, holder)
            }
            ForwardResult::Unsent => {
                agent.evict_owner(&self.request.function);
                self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF);
                self.back_off(now)
            }
            ForwardResult::Lost => self.after_loss(agent, now),
        }
    }

    fn after_remote_outcome<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        outcome: RequestOutcome,
        holder: Option<Host>,
    ) -> ForwardingStep<W> {
        let is_ingress_daemon = self.request.hops == 0;
        if is_not_holder(&outcome) {
            return self.after_not_holder(agent, now, holder);
        }
        if is_not_allowed(&outcome) && is_ingress_daemon {
            return self.handle_spec_mismatch(agent, now);
        }
        if is_holder_unreachable(&outcome) {
            return self.after_loss(agent, now);
        }
        if self.try_fall_back_to_all_regions(agent, now, &outcome) {
            return self.advance(agent, now);
        }
        if let Some(holder) = &holder {
            agent.cache_owner(&self.request.function, holder);
        }
        ForwardingStep::End(outcome, holder)
    }

    /// Handles the reply of a daemon that is not the holder. The ingress daemon follows the first referral to the
    /// holder.
    fn after_not_holder<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        referred_to: Option<Host>,
    ) -> ForwardingStep<W> {
        let is_ingress_daemon = self.request.hops == 0;
        if let Some(holder) = &referred_to
            && is_ingress_daemon
            && self.request.wants_referral
        {
            self.request.wants_referral = false;
            agent.cache_owner(&self.request.function, holder);
            return self.advance(agent, now);
        }
        agent.evict_owner(&self.request.function);
        if is_ingress_daemon {
            self.back_off(now)
        } else {
            rejected_step(RequestFailureReason::NotHolder, NOT_HOLDER_RETRY_AFTER)
        }
    }

    /// Falls back to the key for all regions if the request was certainly not run under its regional key, as no daemon
    /// holds that key or its holder has no runner ready. Returns whether it did.
    fn try_fall_back_to_all_regions<W>(
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

    /// Handles the loss of the holder, or of a daemon on the way to it, while it had the request.
    fn after_loss<W>(&mut self, agent: &Agent<W>, now: MonotonicTime) -> ForwardingStep<W> {
        agent.evict_owner(&self.request.function);
        self.leave_regional_key(agent, now, REGIONAL_LOST_BACKOFF);
        self.apply_newer_spec(agent, &agent.routing_table());
        if self.may_retry_forward(now) {
            self.lost_holder_count += 1;
            self.request.is_retry = true;
            self.give_up_at = None;
            return self.back_off(now);
        }
        unknown_step()
    }

    /// Whether a request whose holder was lost is sent to the next holder, as a further attempt. Only the ingress
    /// daemon does so: if the daemons on the way retried it as well, the attempts would multiply.
    fn may_retry_forward(&self, now: MonotonicTime) -> bool {
        let has_time = now + HOP_TIME_RESERVE + RETRY_BACKOFF < self.request.deadline;
        let has_attempts_left = self.lost_holder_count + 1 < self.request.limits.max_runs();
        self.request.hops == 0 && has_attempts_left && has_time
    }

    /// Handles the leader's response to the acquisition; `None` if the acquisition was lost. If the leader announces a
    /// wait that exceeds the request's remaining time, the request ends at once.
    pub fn handle_acquire_result<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        let step = self.after_acquire(agent, now, result);
        self.finalize_step(agent, step)
    }

    fn after_acquire<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        match result {
            Some(AcquireResult::Granted { .. }) => self.advance(agent, now),
            Some(AcquireResult::HeldBy { host }) if self.request.hops >= MAX_HOPS => {
                ForwardingStep::End(not_holder_outcome(), Some(host))
            }
            Some(AcquireResult::HeldBy { host }) => {
                let is_remote = host.member != agent.own_host.member;
                if is_remote && is_current_owner(&host, &agent.live_hosts()) {
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
                self.wait_for_lease(agent, now, Duration::from_millis(u64::from(wait_ms)))
            }
            Some(AcquireResult::Rejected) | None => self.back_off(now),
        }
    }

    /// Waits for a lease that the leader expects to grant after `wait`; the function has to start after that. If it
    /// cannot be ready in time, the request ends at once.
    fn wait_for_lease<W>(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        wait: Duration,
    ) -> ForwardingStep<W> {
        let table = agent.routing_table();
        let startup = table
            .function_of(&self.request.function)
            .map(|entry| entry.spec.startup);
        let ready_at = now + wait + startup.unwrap_or_default();
        self.retry_at = Some(ready_at);
        if ready_at >= self.give_up_at.unwrap_or(now) {
            return self.no_owner_step(now);
        }
        self.acquire_not_before = now + RETRY_BACKOFF;
        ForwardingStep::Wait {
            wait_until: now + wait + RETRY_BACKOFF,
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

fn is_holder_unreachable(outcome: &RequestOutcome) -> bool {
    matches!(
        outcome,
        RequestOutcome::Unknown {
            reason: RequestFailureReason::HolderUnreachable,
        }
    )
}
