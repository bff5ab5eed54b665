use super::{Desk, GrantEntry, StreamId, WaitingAcquire};
use serde_json::json;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{AcquireResult, HopReason, Many, Prior, RunnerNews, StreamDown};
use waymark::identity::{FunctionKey, GrantSerial, RunnerId};
use waymark::rules::Rule;

/// A holder that has not renewed its member grant for so long is not named as an owner: the asker
/// waits until it is heard again, or has lost the function.
const SILENT_FROM: Duration = Duration::from_millis(1000);

/// How long the platform takes to stop a lost holder's runners, as a rule.
const FENCE_SPAN: Duration = Duration::from_millis(100);
/// How long after an election daemons that are alive have claimed, as a rule.
const CLAIMS_SPAN: Duration = Duration::from_millis(700);
/// How long a question is kept open.
const ACQUIRE_PATIENCE: Duration = Duration::from_secs(6);
/// A shorter wait is waited out with the question open.
const WORTH_TELLING: Duration = Duration::from_millis(200);

impl Desk {
    /// Answers each acquisition that can be answered: grants to the asker when nobody holds, and says
    /// how long it will be if that is known.
    pub(super) fn answer_acquires(&mut self, now: Moment) {
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
            && !self.entries.contains_key(&acquire.function)
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
        let has_runners = self.reservations.values().any(|held| held.function == acquire.function);
        if has_runners && self.rules.keep(Rule::FenceBeforeRegrant) {
            return None;
        }
        if self.table.function_of(&acquire.function).is_none() {
            let installed = self.members.get(&asker).map(|record| record.installed);
            let newest = self.document.as_ref().map(|document| document.stamp.serial);
            return (installed <= newest).then_some(AcquireResult::Shed);
        }
        if !self.members.get(&asker).is_some_and(|record| record.host.eligible.0) {
            return Some(AcquireResult::Shed);
        }
        if !self.is_serving(&asker, now) {
            return None;
        }
        let grant = self.next_number();
        let once_from = self.once_from.get(&acquire.function).copied().unwrap_or_default();
        let once_wait = once_from.max(self.once_boundary(&acquire.function)).since(now);
        self.tell(
            events::GRANTED,
            json!({
                "function": acquire.function.to_string(),
                "member": asker.member.as_str(),
                "grant": grant.0,
                "once_wait_ms": once_wait.as_millis() as u64,
            }),
        );
        let steward = self.choose_steward(now, &acquire.function, &asker, None);
        let prior = self.priors.get(&acquire.function).filter(|_| !once_wait.is_zero()).cloned();
        let entry = GrantEntry {
            holder: asker,
            grant,
            fencing_since: None,
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
            adopted: Many(Vec::new()),
        })
    }

    pub(super) fn hear_release(
        &mut self,
        now: Moment,
        stream: StreamId,
        function: &FunctionKey,
        grant: GrantSerial,
    ) {
        let Some(releaser) = self.streams.get(&stream).cloned() else { return };
        let is_holder = self
            .entries
            .get(function)
            .is_some_and(|entry| entry.holder == releaser && entry.grant == grant);
        if !is_holder {
            return;
        }
        let has_runners = self
            .reservations
            .iter()
            .any(|(runner, held)| held.function == *function && runner.grant == grant);
        if has_runners {
            if let Some(entry) = self.entries.get_mut(function) {
                entry.fencing_since.get_or_insert(now);
            }
        } else {
            self.end_entry(now, function, now);
        }
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
        let ended_entry = self.entries.remove(function);
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
        function: &FunctionKey,
        runner: RunnerId,
        news: &RunnerNews,
    ) {
        let Some(reservation) = self.reservations.get_mut(&runner) else { return };
        if reservation.function != *function {
            return;
        }
        match news {
            RunnerNews::Ready => {
                reservation.ready = true;
                let worker = reservation.worker.to_string();
                self.tell(
                    events::RUNNER_READY,
                    json!({
                        "function": function.to_string(),
                        "runner": runner.to_string(),
                        "worker": worker,
                    }),
                );
            }
            RunnerNews::Gone => self.runner_stopped(runner),
            RunnerNews::Begun { .. } => {}
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
