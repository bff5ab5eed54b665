//! What follows when a step has ended: the holder here, another daemon, or the leader has answered.

use super::step::ended;
use super::{
    ASK_PAUSE, Agent, DISPUTE_PATIENCE, Forwarding, ForwardingStep, HOP_COST, MOST_DISPUTES,
    PassEnd, REGION_LOST_PAUSE, REGION_UNREADY_PAUSE,
};
use crate::holder::not_run;
use crate::owners::{MOST_HOPS, is_valid};
use common::clock::Moment;
use common::frames::{AcquireResult, HopOutcome, HopReason};
use std::time::Duration;

impl Forwarding {
    /// A holder refused by another spec than this daemon's: one of them is about to change.
    fn dispute<W>(&mut self, agent: &Agent<W>, now: Moment) -> ForwardingStep<W> {
        self.dispute_count += 1;
        if self.dispute_count > MOST_DISPUTES {
            return ended(HopReason::NotAllowed, Duration::from_millis(200));
        }
        self.disputed_until = Some(now + DISPUTE_PATIENCE);
        self.look(agent, now)
    }

    fn pause<W>(&mut self, now: Moment) -> ForwardingStep<W> {
        self.ask_from = now + ASK_PAUSE;
        ForwardingStep::Wait { wait_until: self.ask_from }
    }

    /// The holder here has ended it; one that admits nothing any more proves that nothing was run.
    pub fn served<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        outcome: HopOutcome,
    ) -> ForwardingStep<W> {
        let step = self.after_serving(agent, now, outcome);
        self.unknown_after_loss(step)
    }

    fn after_serving<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        outcome: HopOutcome,
    ) -> ForwardingStep<W> {
        let is_turned_away = is_not_holder(&outcome);
        if is_turned_away && self.ask.hops == 0 {
            return self.pause(now);
        }
        if is_not_allowed(&outcome) && self.ask.hops == 0 {
            return self.dispute(agent, now);
        }
        if self.is_turned_back(agent, now, &outcome) {
            return self.look(agent, now);
        }
        ForwardingStep::End(outcome, (!is_turned_away).then(|| agent.own_host.clone()))
    }

    /// The daemon it was passed to has ended it, or could not be reached, or fell silent.
    pub fn passed<W>(&mut self, agent: &Agent<W>, now: Moment, end: PassEnd) -> ForwardingStep<W> {
        let step = self.after_pass(agent, now, end);
        self.unknown_after_loss(step)
    }

    fn after_pass<W>(&mut self, agent: &Agent<W>, now: Moment, end: PassEnd) -> ForwardingStep<W> {
        match end {
            PassEnd::Done(outcome, Some(holder))
                if is_not_holder(&outcome) && self.ask.hops == 0 && self.ask.refer =>
            {
                self.ask.refer = false;
                agent.learn_owner(&self.ask.function, &holder);
                self.look(agent, now)
            }
            PassEnd::Done(outcome, _) if is_not_holder(&outcome) => {
                agent.forget_owner(&self.ask.function);
                if self.ask.hops > 0 {
                    return ended(HopReason::NotHolder, Duration::from_millis(50));
                }
                self.pause(now)
            }
            PassEnd::Done(outcome, _) if is_not_allowed(&outcome) && self.ask.hops == 0 => {
                self.dispute(agent, now)
            }
            PassEnd::Done(HopOutcome::Unknown { reason: HopReason::HolderSilent }, _) => {
                self.after_loss(agent, now)
            }
            PassEnd::Done(outcome, _) if self.is_turned_back(agent, now, &outcome) => {
                self.look(agent, now)
            }
            PassEnd::Done(outcome, holder) => {
                if let Some(holder) = &holder {
                    agent.learn_owner(&self.ask.function, holder);
                }
                ForwardingStep::End(outcome, holder)
            }
            PassEnd::Unsent => {
                agent.forget_owner(&self.ask.function);
                self.leave_own_region(agent, now, REGION_LOST_PAUSE);
                self.pause(now)
            }
            PassEnd::Lost => self.after_loss(agent, now),
        }
    }

    /// Surely not run under the region's own key, for nobody holds it or its holder has no runner ready: the holder
    /// for all regions is next.
    fn is_turned_back<W>(&mut self, agent: &Agent<W>, now: Moment, outcome: &HopOutcome) -> bool {
        let HopOutcome::NotRun { reason, .. } = outcome else { return false };
        match reason {
            HopReason::NoRunner => self.leave_own_region(agent, now, REGION_UNREADY_PAUSE),
            HopReason::NoOwner | HopReason::NotServing => {
                self.leave_own_region(agent, now, REGION_LOST_PAUSE)
            }
            _ => false,
        }
    }

    /// A daemon fell silent with it: the next one, or one behind that.
    fn after_loss<W>(&mut self, agent: &Agent<W>, now: Moment) -> ForwardingStep<W> {
        agent.forget_owner(&self.ask.function);
        self.leave_own_region(agent, now, REGION_LOST_PAUSE);
        if self.may_pass_again(agent, now) {
            self.lost_count += 1;
            self.ask.repeat = true;
            self.give_up_at = None;
            return self.pause(now);
        }
        ForwardingStep::End(HopOutcome::Unknown { reason: HopReason::HolderSilent }, None)
    }

    /// A repeatable transaction whose holder fell silent goes to the next one, as an extra try. Only the
    /// caller's daemon does so: were those on the way to repeat it too, each pass would be multiplied.
    fn may_pass_again<W>(&self, agent: &Agent<W>, now: Moment) -> bool {
        let table = agent.table.load();
        let has_time = now + HOP_COST + ASK_PAUSE < self.ask.budget_end;
        let has_tries = |tries: u32| self.lost_count + 1 < tries;
        table
            .route_named(&self.ask.route)
            .is_some_and(|route| !route.spec.once && has_tries(route.spec.tries) && has_time)
            && self.ask.hops == 0
    }

    /// The leader has answered, or the question was lost. A wait that it foresees and that the caller
    /// has not the patience for is told at once.
    pub fn acquired<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        let step = self.after_asking(agent, now, result);
        self.unknown_after_loss(step)
    }

    fn after_asking<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        result: Option<AcquireResult>,
    ) -> ForwardingStep<W> {
        let give_up_at = self.give_up_at.unwrap_or(now);
        match result {
            Some(AcquireResult::Granted { .. }) => self.look(agent, now),
            Some(AcquireResult::Owner { host }) if self.ask.hops >= MOST_HOPS => {
                ForwardingStep::End(not_run(HopReason::NotHolder, 50), Some(host))
            }
            Some(AcquireResult::Owner { host }) => {
                let is_far = host.member != agent.own_host.member;
                if is_far && is_valid(&host, &agent.hosts.load()) {
                    return self.look(agent, now);
                }
                self.pause(now)
            }
            Some(AcquireResult::Later { .. })
                if self.leave_own_region(agent, now, REGION_LOST_PAUSE) =>
            {
                self.look(agent, now)
            }
            Some(AcquireResult::Later { wait_ms }) => {
                let wait_span = Duration::from_millis(u64::from(wait_ms));
                let table = agent.table.load();
                let boot = table.function_of(&self.ask.function).map(|entry| entry.spec.boot);
                let ready_at = now + wait_span + boot.unwrap_or_default();
                self.come_back = Some(ready_at);
                if ready_at >= give_up_at {
                    return self.no_owner(now);
                }
                self.ask_from = now + ASK_PAUSE;
                ForwardingStep::Wait { wait_until: now + wait_span + ASK_PAUSE }
            }
            Some(AcquireResult::Shed) | None => self.pause(now),
        }
    }
}

fn is_not_holder(outcome: &HopOutcome) -> bool {
    matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotHolder, .. })
}

fn is_not_allowed(outcome: &HopOutcome) -> bool {
    matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotAllowed, .. })
}
