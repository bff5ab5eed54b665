use super::{GrantEntry, LeaderState, StreamId, WaitingAcquire};
use common::clock::Moment;
use common::events;
use common::frames::{
    AcquireResult, ClaimRunner, HopReason, KnownMember, Many, Prior, RunnerNews, StreamDown,
};
use common::identity::{FunctionKey, GrantSerial, RunnerId};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use serde_json::json;
use std::time::Duration;

/// A holder that has not renewed its member grant for so long is not named as an owner: the asker
/// waits until it is heard again, or has lost the function.
const SILENT_FROM: Duration = Duration::from_millis(1000);

/// How long the platform takes to stop a lost holder's runners, as a rule.
const FENCE_SPAN: Duration = Duration::from_millis(100);
/// How long after an election daemons that are alive have claimed, as a rule.
const CLAIMS_SPAN: Duration = Duration::from_millis(700);
/// Open questions are looked at again so often although nothing has changed.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// How long a question is kept open.
const ACQUIRE_PATIENCE: Duration = Duration::from_secs(6);
/// A shorter wait is waited out with the question open.
const WORTH_TELLING: Duration = Duration::from_millis(200);

impl LeaderState {
    /// Answers each acquisition that can be answered: grants to the asker when nobody holds, and says
    /// how long it will be if that is known.
    pub(super) fn answer_acquires(&mut self, now: Moment) {
        let is_due = now.since(self.acquires_looked_at) >= LOOK_EVERY;
        if !is_due && !std::mem::take(&mut self.acquires_changed) {
            return;
        }
        self.acquires_changed = false;
        self.acquires_looked_at = now;
        for acquire in std::mem::take(&mut self.acquires) {
            let Some(result) = self.decide_acquire(now, &acquire) else {
                self.keep_waiting(now, acquire);
                continue;
            };
            let WaitingAcquire { stream, correlation, function, .. } = acquire;
            self.down(stream, StreamDown::Acquired { correlation, function, result });
        }
    }

    /// Keeps a question open, and says once how long it will be.
    fn keep_waiting(&mut self, now: Moment, mut acquire: WaitingAcquire) {
        if now.since(acquire.asked_at) >= ACQUIRE_PATIENCE {
            return;
        }
        if !acquire.told_later
            && let Some(result) = self.foresee(now, &acquire)
        {
            acquire.told_later = true;
            let (correlation, function) = (acquire.correlation, acquire.function.clone());
            self.down(acquire.stream, StreamDown::Acquired { correlation, function, result });
        }
        self.acquires.push(acquire);
    }

    /// When a function that cannot be granted now could be: when the member grant of a holder whose
    /// stream is lost has ended, or when a claims quorum that lacks a daemon has waited for it. A
    /// holder that is merely silent may be back any moment, and nothing is foretold.
    fn foresee(&self, now: Moment, acquire: &WaitingAcquire) -> Option<AcquireResult> {
        let due_at = if self.opened {
            let entry = self.entries.get(&acquire.function)?;
            if entry.fencing_since.is_some() || entry.handing_over {
                return None;
            }
            let holder_record = self.members.get(&entry.holder)?;
            if holder_record.stream.is_some() {
                return None;
            }
            holder_record.grant_bound + FENCE_SPAN
        } else if now.since(self.elected_at) > CLAIMS_SPAN
            && !self.entries.contains(&acquire.function)
        {
            self.elected_at + self.timing.claims_wait + self.timing.start_settle + FENCE_SPAN
        } else {
            return None;
        };
        let wait_span = due_at.since(now);
        (wait_span > WORTH_TELLING)
            .then_some(AcquireResult::Later { wait_ms: wait_span.as_millis() as u32 })
    }

    /// Names the owner, also while the claims quorum is waited for; grants only when that stands.
    fn decide_acquire(&mut self, now: Moment, acquire: &WaitingAcquire) -> Option<AcquireResult> {
        let asker = self.streams.get(&acquire.stream).cloned()?;
        if let Some(entry) = self.entries.get(&acquire.function) {
            if entry.fencing_since.is_some() || entry.handing_over {
                return None;
            }
            let holder_record = self.members.get(&entry.holder)?;
            if entry.holder == asker {
                if !self.opened {
                    return None;
                }
                return Some(AcquireResult::Granted {
                    grant: entry.grant,
                    once_wait_ms: 0,
                    steward: Many(entry.steward.iter().cloned().collect()),
                    prior: Many(Vec::new()),
                    adopted: Many(Vec::new()),
                });
            }
            let is_answerable = holder_record.stream.is_some()
                && now < holder_record.grant_end
                && now.since(holder_record.heard_at) < SILENT_FROM
                && holder_record.is_welcome;
            return is_answerable
                .then(|| AcquireResult::Owner { host: holder_record.host.clone() });
        }
        if !self.opened {
            return None;
        }
        let has_runners = self.reservations.of(&acquire.function).any(|(_, held)| !held.is_left());
        if has_runners && self.rules.keep(Rule::FenceBeforeRegrant) {
            return None;
        }
        if self.table.function_of(&acquire.function).is_none() {
            let installed = self.members.get(&asker).map(|record| record.installed);
            let newest = self.document.as_ref().map(|document| document.view_serial());
            return (installed <= newest).then_some(AcquireResult::Shed);
        }
        if !self.members.get(&asker).is_some_and(|record| record.host.eligible.0) {
            return Some(AcquireResult::Shed);
        }
        if !self.is_serving(&asker, now) || self.awaits_wide_asker(now, acquire) {
            return None;
        }
        if !self.check_left(&acquire.function) {
            return None;
        }
        if self.may_have_unlisted(&acquire.function) {
            return None;
        }
        if acquire.function.is_regional() && !self.check_unknown_keys(&acquire.function) {
            return None;
        }
        self.check_claims_quorum(now, &acquire.function);
        let grant = self.next_number();
        let is_noted = self.is_noted(&acquire.function);
        let once_from = self.once_from.get(&acquire.function).copied().unwrap_or_default();
        let once_boundary = once_from.max(self.once_boundary(&acquire.function));
        let once_wait = if is_noted { once_boundary.since(now) } else { Duration::ZERO };
        let adopted = self.adopt_left(&acquire.function, grant);
        self.tell(
            events::GRANTED,
            json!({
                "function": acquire.function.to_string(),
                "member": asker.member.as_str(),
                "grant": grant.0,
                "once_wait_ms": once_wait.as_millis() as u64,
                "adopted": adopted.len(),
            }),
        );
        let steward =
            if is_noted { self.choose_steward(now, &acquire.function, &asker, None) } else { None };
        let prior = self.priors.get(&acquire.function).filter(|_| !once_wait.is_zero()).cloned();
        let entry = GrantEntry {
            holder: asker,
            grant,
            fencing_since: None,
            lost_lease_end: None,
            handing_over: false,
            steward: steward.clone(),
            whole: once_wait.is_zero(),
        };
        self.entries.insert(acquire.function.clone(), entry);
        Some(AcquireResult::Granted {
            grant,
            once_wait_ms: once_wait.as_millis() as u32,
            steward: Many(steward.into_iter().collect()),
            prior: Many(prior.into_iter().collect()),
            adopted: Many(adopted),
        })
    }

    /// Nobody who may hold the function under an earlier leader is left out: the old leases have all ended, or all
    /// that were waited for have claimed.
    fn check_claims_quorum(&self, now: Moment, function: &FunctionKey) {
        let has_waited = now >= self.elected_at + self.timing.claims_wait;
        let is_awaited = self.all_claimed || has_waited || self.inherited_nothing;
        require(self.rules, Invariant::GrantedAfterClaims, is_awaited, || {
            format!("{function} is granted before the claims quorum stands")
        });
    }

    /// Whether a function's once-transactions are noted elsewhere and waited for.
    fn is_noted(&self, function: &FunctionKey) -> bool {
        self.table.index_of(function).is_none_or(|index| self.table.is_noted(index))
    }

    /// A function whose ledger has come to be wanted gets a steward.
    pub(super) fn name_stewards(&mut self, now: Moment) {
        if !std::mem::take(&mut self.stewards_due) {
            return;
        }
        let wanting_functions: Vec<(FunctionKey, GrantSerial, KnownMember)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.steward.is_none() && entry.fencing_since.is_none())
            .filter(|(function, _)| self.is_noted(function))
            .map(|(function, entry)| (function.clone(), entry.grant, entry.holder.clone()))
            .collect();
        for (function, grant, holder) in wanting_functions {
            let stream = self.members.get(&holder).and_then(|record| record.stream);
            let steward = self.choose_steward(now, &function, &holder, None);
            let (Some(stream), Some(steward)) = (stream, steward) else { continue };
            if let Some(entry) = self.entries.get_mut(&function) {
                entry.steward = Some(steward.clone());
                entry.whole = false;
            }
            let steward = Many(vec![steward]);
            self.down(stream, StreamDown::Steward { function, grant, steward });
        }
    }

    /// Whether every runner left of a function can still be taken over; one that cannot is stopped
    /// first.
    fn check_left(&mut self, function: &FunctionKey) -> bool {
        let unfit_runners: Vec<RunnerId> = self
            .reservations
            .of(function)
            .filter(|(_, held)| held.is_left())
            .filter(|(_, held)| {
                !held.is_fit() || (self.workers_listed && !self.is_worker_fit(&held.worker))
            })
            .map(|(runner, _)| runner)
            .collect();
        for unfit_runner in &unfit_runners {
            self.reservations.want_stop(*unfit_runner);
        }
        unfit_runners.is_empty() || !self.rules.keep(Rule::FenceBeforeRegrant)
    }

    /// Whether no runner is left of a function that may be an earlier one of this key. Under which key a runner was
    /// started the platform may not tell, so it stands among those for all regions; before a region's key is
    /// granted such runners are stopped.
    fn check_unknown_keys(&mut self, function: &FunctionKey) -> bool {
        let unknown_runners = self.reservations.of_unknown_key(function);
        let left_runners = unknown_runners
            .iter()
            .filter(|runner| self.reservations.get(**runner).is_some_and(|held| held.is_left()));
        for left_runner in left_runners.copied().collect::<Vec<RunnerId>>() {
            self.reservations.want_stop(left_runner);
        }
        unknown_runners.is_empty() || !self.rules.keep(Rule::FenceBeforeRegrant)
    }

    /// The runners left of a function go to its next holder, under new names.
    fn adopt_left(&mut self, function: &FunctionKey, grant: GrantSerial) -> Vec<ClaimRunner> {
        let left_runners: Vec<RunnerId> = self
            .reservations
            .of(function)
            .filter(|(_, held)| held.is_left())
            .map(|(runner, _)| runner)
            .collect();
        let is_once = self.rules.keep(Rule::LifeAdoptedOnce);
        let mut adopted = Vec::new();
        for left_runner in left_runners {
            let runner = RunnerId { grant, ordinal: self.next_number().0 };
            if is_once {
                self.reservations.adopt(left_runner, runner);
            } else {
                self.reservations.adopt_and_leave(left_runner, runner);
            }
            if let Some(held) = self.reservations.get(runner) {
                adopted.push(held.as_claim(runner));
            }
        }
        adopted
    }

    /// A holder gives a function back, and says which runners it leaves; one that holds it no more says
    /// what it still had.
    pub(super) fn hear_release(
        &mut self,
        now: Moment,
        stream: StreamId,
        function: FunctionKey,
        grant: GrantSerial,
        runners: Many<ClaimRunner>,
    ) {
        let Some(releaser) = self.streams.get(&stream).cloned() else { return };
        let is_holder = self
            .entries
            .get(&function)
            .is_some_and(|entry| entry.holder == releaser && entry.grant == grant);
        self.take_ending(now, function.clone(), runners.0);
        if !is_holder {
            return;
        }
        self.begin_fencing(now, &function);
        self.tell(
            events::RELEASED,
            json!({
                "function": function.to_string(),
                "member": releaser.member.as_str(),
                "grant": grant.0,
            }),
        );
    }

    pub(super) fn end_entry(&mut self, now: Moment, function: &FunctionKey, grant_end: Moment) {
        self.fencing.remove(function);
        self.acquires_changed = true;
        let ended_entry = self.entries.remove(function);
        let lease_end = ended_entry.as_ref().and_then(|entry| entry.lost_lease_end);
        let has_lease_ended = lease_end.is_none_or(|lease_end| now >= lease_end);
        require(self.rules, Invariant::GrantedAfterLease, has_lease_ended, || {
            format!("{function} is free for the next grant before its holder's lease has ended")
        });
        let prior = ended_entry.filter(|entry| entry.whole).and_then(|entry| {
            let grant = entry.grant;
            entry.steward.map(|steward| Prior { steward, grant })
        });
        match prior {
            Some(prior) => self.priors.insert(function.clone(), prior),
            None => self.priors.remove(function),
        };
        let once_from = grant_end + self.longest_delay();
        self.once_from.insert(function.clone(), once_from);
        self.once_from.retain(|_, kept_until| *kept_until > now);
        let once_from = &self.once_from;
        self.priors.retain(|kept, _| once_from.contains_key(kept));
    }

    pub(super) fn hear_runner_news(
        &mut self,
        now: Moment,
        function: &FunctionKey,
        runner: RunnerId,
        news: RunnerNews,
    ) {
        let name_now = self.reservations.name_now(runner);
        let Some(held) = self.reservations.get(name_now) else { return };
        if held.function != *function {
            return;
        }
        match news {
            RunnerNews::Ready => {
                let worker = held.worker.to_string();
                self.reservations.note(name_now, |held| held.ready = true);
                self.tell(
                    events::RUNNER_READY,
                    json!({
                        "function": function.to_string(),
                        "runner": name_now.to_string(),
                        "worker": worker,
                    }),
                );
            }
            RunnerNews::Gone if name_now != runner => self.runner_vanished(name_now),
            RunnerNews::Gone => {
                if held.life.is_none() && !held.stop_wanted {
                    self.refused_at.insert(held.worker.clone(), now);
                }
                self.runner_stopped(runner);
            }
            RunnerNews::Begun { life } => {
                let owner = self.reservations.with_life(&life.name);
                if owner.is_none_or(|owner| owner == name_now) {
                    self.reservations.begun(name_now, life, now);
                }
            }
        }
    }

    pub(super) fn hear_sheds(
        &mut self,
        stream: StreamId,
        function: FunctionKey,
        count: u32,
        reason: HopReason,
    ) {
        let Some(known_member) = self.streams.get(&stream) else { return };
        let detail = json!({
            "function": function.to_string(),
            "member": known_member.member.as_str(),
            "count": count,
            "reason": reason.as_str(),
        });
        self.tell(events::SHEDS, detail);
    }
}
