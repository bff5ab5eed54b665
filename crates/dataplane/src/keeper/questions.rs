//! Questions to the leader, for functions and for runners, and its answers.

use super::{Keeper, KeeperOrder};
use crate::holder::GrantTerms;
use common::clock::Moment;
use common::frames::{AcquireResult, ReserveResult, RunnerNews, StreamUp};
use common::identity::{CorrelationId, FunctionKey, GrantSerial};
use common::rules::Rule;
use std::time::Duration;

const ASK_AGAIN_AFTER: Duration = Duration::from_secs(2);

pub(super) struct Asked {
    function: FunctionKey,
    asked_at: Moment,
    due_at: Option<Moment>,
}

impl Keeper {
    /// Asks the leader for a function. While a question for it is open whose answer is known to take
    /// its time, no other is asked.
    pub fn acquire(&mut self, now: Moment, function: FunctionKey) -> Vec<KeeperOrder> {
        let open_due_at = self
            .acquires
            .values()
            .find(|asked| asked.function == function)
            .and_then(|asked| asked.due_at);
        if let Some(due_at) = open_due_at {
            let wait_ms = due_at.since(now).as_millis() as u32;
            let result = Some(AcquireResult::Later { wait_ms });
            let round_trip = Duration::ZERO;
            self.orders.push(KeeperOrder::Acquired { function, result, round_trip });
        } else if self.liaison.is_welcomed() {
            let correlation = self.liaison.correlation();
            let asked = Asked { function: function.clone(), asked_at: now, due_at: None };
            self.acquires.insert(correlation, asked);
            self.orders.push(KeeperOrder::Say(StreamUp::Acquire { correlation, function }));
        } else {
            let round_trip = Duration::ZERO;
            self.orders.push(KeeperOrder::Acquired { function, result: None, round_trip });
        }
        self.done()
    }

    /// Asks the leader for one more runner.
    pub fn reserve(&mut self, function: FunctionKey, grant: GrantSerial) -> Vec<KeeperOrder> {
        if self.liaison.is_welcomed() {
            let correlation = self.liaison.correlation();
            self.reserves.insert(correlation, (function.clone(), grant));
            let frame = StreamUp::Reserve { correlation, function, grant };
            self.orders.push(KeeperOrder::Say(frame));
        } else {
            let result = ReserveResult::Shed;
            self.orders.push(KeeperOrder::Reserved { function, grant, result });
        }
        self.done()
    }

    pub(super) fn acquired(
        &mut self,
        now: Moment,
        correlation: CorrelationId,
        function: FunctionKey,
        result: AcquireResult,
    ) {
        if let AcquireResult::Later { wait_ms } = &result
            && let Some(asked) = self.acquires.get_mut(&correlation)
        {
            asked.due_at = Some(now + Duration::from_millis(u64::from(*wait_ms)));
            let round_trip = now.since(asked.asked_at);
            let result = Some(result);
            self.orders.push(KeeperOrder::Acquired { function, result, round_trip });
            return;
        }
        let round_trip = self
            .acquires
            .remove(&correlation)
            .map_or(Duration::ZERO, |asked| now.since(asked.asked_at));
        let result = match result {
            AcquireResult::Granted { .. } if self.is_given_back(&function, &result) => None,
            AcquireResult::Granted { .. } => {
                self.take_grant(now, correlation, &function, &result);
                Some(result)
            }
            _ => Some(result),
        };
        self.orders.push(KeeperOrder::Acquired { function, result, round_trip });
    }

    /// Whether a grant is one that was given back already, named again to a question that crossed the word of
    /// it.
    fn is_given_back(&self, function: &FunctionKey, result: &AcquireResult) -> bool {
        let AcquireResult::Granted { grant, .. } = result else { return false };
        self.given_back.get(function).is_some_and(|given_back| grant <= given_back)
    }

    /// Takes a grant, or gives it back.
    fn take_grant(
        &mut self,
        now: Moment,
        correlation: CorrelationId,
        function: &FunctionKey,
        result: &AcquireResult,
    ) {
        let AcquireResult::Granted { grant, once_wait_ms, steward, prior, adopted } = result else {
            return;
        };
        let spec = self.table.function_of(function).map(|entry| (*entry.spec).clone());
        let is_void = correlation <= self.void_up_to && self.rules.keep(Rule::OldAnswerVoid);
        let may_hold = now < self.liaison.grant_end() && !self.leaving && !is_void;
        let order = match spec.filter(|_| may_hold) {
            Some(spec) => KeeperOrder::Grant(GrantTerms {
                function: function.clone(),
                grant: *grant,
                spec,
                once_wait: Duration::from_millis(u64::from(*once_wait_ms)),
                steward: steward.0.first().cloned(),
                prior: prior.0.first().cloned(),
                adopted: adopted.0.clone(),
            }),
            None => {
                self.given_back.insert(function.clone(), *grant);
                KeeperOrder::Say(StreamUp::Release {
                    function: function.clone(),
                    grant: *grant,
                    runners: adopted.clone(),
                })
            }
        };
        self.orders.push(order);
    }

    pub(super) fn reserved(
        &mut self,
        correlation: CorrelationId,
        function: FunctionKey,
        result: ReserveResult,
    ) {
        match (self.reserves.remove(&correlation), &result) {
            (Some((_, grant)), _) => {
                self.orders.push(KeeperOrder::Reserved { function, grant, result });
            }
            (None, ReserveResult::Reserved { runner, .. }) => {
                let news = RunnerNews::Gone;
                let frame = StreamUp::Runner { function, runner: *runner, news };
                self.orders.push(KeeperOrder::Say(frame));
            }
            _ => {}
        }
    }

    /// The daemon is about to tell the leader that it holds nothing. A grant that is on its way to it then is
    /// dropped by the leader as one that it does not claim, so it must not be taken.
    pub(super) fn void_open_acquires(&mut self, now: Moment) {
        self.void_up_to = self.liaison.correlation();
        for asked in std::mem::take(&mut self.acquires).into_values() {
            self.orders.push(KeeperOrder::Acquired {
                function: asked.function,
                result: None,
                round_trip: now.since(asked.asked_at),
            });
        }
    }

    /// Gives up the questions whose answers are late.
    pub(super) fn give_up_late_acquires(&mut self, now: Moment) {
        let late_correlations: Vec<CorrelationId> = self
            .acquires
            .iter()
            .filter(|(_, asked)| {
                now.since(asked.due_at.unwrap_or(asked.asked_at)) > ASK_AGAIN_AFTER
            })
            .map(|(correlation, _)| *correlation)
            .collect();
        for late_correlation in late_correlations {
            if let Some(asked) = self.acquires.remove(&late_correlation) {
                self.orders.push(KeeperOrder::Acquired {
                    function: asked.function,
                    result: None,
                    round_trip: now.since(asked.asked_at),
                });
            }
        }
    }
}
