//! A held function: inbox, runners with their slots, ledger of identities, extra tries. No I/O.

mod custody;
mod demand;
mod inbox;
mod output;
mod runners;
mod scaling;
mod tries;
mod tuning;

pub use output::{HolderOutput, HolderWord, SendEnd};
pub use tuning::Tuning;

use crate::ledger::Book;
use common::clock::Moment;
use common::frames::{
    Claim, ClaimRunner, Flag, HopOutcome, HopReason, Host, Life, Many, Prior, ReserveResult,
    RunnerNews,
};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Ticket, TransactionId};
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use common::tongue::BeginEnd;
use custody::Custody;
use demand::Demand;
use runners::{Phase, RunnerRecord};
use scaling::Scaling;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tries::TryWindow;

/// How long what is left is remembered when the leader cannot be told; it finds it in the platform's
/// list.
const LEFT_KEPT: Duration = Duration::from_secs(10);

/// A transaction as it reaches its holder.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Names it in this process.
    pub ticket: Ticket,
    /// The try's identity.
    pub transaction: TransactionId,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send its identity again, so that it is remembered.
    pub noted: bool,
    /// The most runners it may go to.
    pub tries: u32,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// When its budget ends.
    pub budget_end: Moment,
    /// How long it may wait in the inbox.
    pub patience: Duration,
    /// When an answer turns late.
    pub target: Duration,
    /// Which goes first; the lowest before all others.
    pub rank: u8,
}

impl Entry {
    /// Whether it is noted elsewhere before it is sent.
    pub fn is_noted_once(&self) -> bool {
        self.once && self.noted
    }
}

struct Waiting {
    entry: Entry,
    target_end: Moment,
    give_up_at: Moment,
    attempt: u32,
    may_have_run: bool,
    failure: Option<HopOutcome>,
}

struct Sent {
    waiting: Waiting,
    runner: RunnerId,
    sent_at: Moment,
}

/// What the leader granted.
#[derive(Clone, Debug)]
pub struct GrantTerms {
    /// The function.
    pub function: FunctionKey,
    /// The grant.
    pub grant: GrantSerial,
    /// What the function needs.
    pub spec: FunctionSpec,
    /// How long once-transactions are refused if no earlier ledger can be collected.
    pub once_wait: Duration,
    /// Who keeps a copy of the ledger.
    pub steward: Option<Host>,
    /// Where an earlier ledger may be collected.
    pub prior: Option<Prior>,
    /// Runners left by an earlier holder, to be taken over as they stand.
    pub adopted: Vec<ClaimRunner>,
}

/// One held function.
pub struct Holder {
    function: FunctionKey,
    grant: GrantSerial,
    spec: FunctionSpec,
    once_from: Moment,
    runners: BTreeMap<RunnerId, RunnerRecord>,
    inbox: VecDeque<Waiting>,
    sent: BTreeMap<Ticket, Sent>,
    book: Book,
    custody: Custody,
    tries: TryWindow,
    scaling: Scaling,
    demand: Demand,
    has_adopted: bool,
    service: Duration,
    last_called_at: Moment,
    shed_count: u32,
    shed_reason: HopReason,
    resting: bool,
    leaving: bool,
    closed: bool,
    closed_at: Moment,
    left_told: bool,
    released: bool,
    rules: Rules,
    tuning: Tuning,
    warm: bool,
    outputs: Vec<HolderOutput>,
}

impl Holder {
    /// A function that has just been granted.
    pub fn new(now: Moment, terms: GrantTerms) -> Self {
        let is_whole = terms.once_wait.is_zero();
        let slots = terms.spec.slots;
        let has_adopted = !terms.adopted.is_empty();
        let demand = Demand::new(now, &Tuning::default(), terms.spec.boot);
        let runners = terms
            .adopted
            .into_iter()
            .filter_map(|listed| Some((listed.runner, RunnerRecord::adopted(now, listed, slots)?)))
            .collect();
        Self {
            function: terms.function,
            grant: terms.grant,
            spec: terms.spec,
            once_from: now + terms.once_wait,
            custody: Custody::new(now, terms.steward, terms.prior, is_whole),
            runners,
            inbox: VecDeque::new(),
            sent: BTreeMap::new(),
            book: Book::default(),
            tries: TryWindow::new(now, &Tuning::default()),
            scaling: Scaling::new(now),
            demand,
            has_adopted,
            service: Duration::from_millis(40),
            last_called_at: now,
            shed_count: 0,
            shed_reason: HopReason::InboxFull,
            resting: false,
            leaving: false,
            closed: false,
            closed_at: now,
            left_told: false,
            released: false,
            rules: Rules::KEPT,
            tuning: Tuning::default(),
            warm: false,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        if !rules.keep(Rule::RampKept) {
            self.runners.values_mut().for_each(|record| record.limit = record.slots);
        }
        if !rules.keep(Rule::LedgerCollected) {
            self.once_from = Moment::ZERO;
            self.custody.skip_collecting();
        }
        self
    }

    /// The same with other settings.
    pub fn with_tuning(mut self, now: Moment, tuning: Tuning) -> Self {
        self.tries = TryWindow::new(now, &tuning);
        self.demand = Demand::new(now, &tuning, self.spec.boot);
        self.tuning = tuning;
        self
    }

    /// Whether it is to keep one runner always.
    pub fn set_warm(&mut self, warm: bool) {
        self.warm = warm;
    }

    /// The function.
    pub fn function(&self) -> &FunctionKey {
        &self.function
    }

    /// The grant it is held under.
    pub fn grant(&self) -> GrantSerial {
        self.grant
    }

    /// The most connections that one of its runners takes.
    pub fn connections(&self) -> u32 {
        self.spec.connections
    }

    /// Whether it admits nothing any more.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.closed
    }

    /// Whether nothing is left to be done for it: what it had is ended, and the leader was told what it
    /// left, or will find it in the platform's list.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_forgotten = self.left_told || now.since(self.closed_at) > LEFT_KEPT;
        let has_work = self.runners.values().any(|record| record.phase != Phase::Left);
        let has_left = !self.runners.is_empty();
        self.released
            || (self.closed && self.sent.is_empty() && !has_work && (is_forgotten || !has_left))
    }

    /// The leader was told what is left.
    pub fn left_told(&mut self) {
        self.left_told = true;
    }

    /// The runners that are left as they stand for the next holder.
    pub fn left_runners(&self) -> Vec<ClaimRunner> {
        let left = self.runners.iter().filter(|(_, record)| record.phase == Phase::Left);
        left.map(|(runner, record)| record.as_claim(*runner)).collect()
    }

    /// A runner's life, once the platform has told it.
    pub fn life_of(&self, runner: RunnerId) -> Option<Life> {
        self.runners.get(&runner).and_then(|record| record.life.clone())
    }

    /// The lives it sends to.
    pub fn lives(&self) -> Vec<Life> {
        let used = self.runners.values().filter(|record| record.phase != Phase::Left);
        used.filter_map(|record| record.life.clone()).collect()
    }

    /// The transactions waiting and running.
    pub fn load(&self) -> (usize, usize) {
        (self.inbox.len(), self.sent.len())
    }

    /// The runners that can take transactions, and all there are.
    pub fn runner_counts(&self) -> (usize, usize) {
        let ready_count =
            self.runners.values().filter(|record| record.phase == Phase::Ready).count();
        (ready_count, self.runners.len())
    }

    /// What is claimed for it after a reconnection.
    pub fn claim(&self) -> Claim {
        let runners =
            self.runners.iter().map(|(runner, record)| record.as_claim(*runner)).collect();
        Claim {
            function: self.function.clone(),
            grant: self.grant,
            runners: Many(runners),
            ending: Flag(!self.is_claimable()),
            steward: Many(self.custody.steward.iter().cloned().collect()),
            whole: Flag(self.custody.whole),
        }
    }

    /// Whether it may be claimed: it is held, and not given up.
    pub fn is_claimable(&self) -> bool {
        !self.closed && !self.released
    }

    /// Takes a transaction in; an outcome at once, or none while it waits.
    pub fn grant_entry(
        &mut self,
        now: Moment,
        entry: Entry,
    ) -> (Option<HopOutcome>, Vec<HolderOutput>) {
        if self.is_leaving() {
            return (Some(not_run(HopReason::NotHolder, 50)), Vec::new());
        }
        self.last_called_at = now;
        self.resting = false;
        self.demand.called(now);
        self.tries.first_or_repeat(now, entry.repeat);
        if entry.noted
            && let Some(known_outcome) = self.known_outcome(&entry.transaction)
        {
            return (Some(known_outcome), Vec::new());
        }
        if let Some((reason, retry_span)) = self.reason_to_shed(now, &entry) {
            let retry_ms = retry_span.as_millis().max(100) as u32;
            self.note_shed(now, &entry, reason, retry_ms);
            let outcome = not_run(reason, retry_ms);
            self.scale(now);
            return (Some(outcome), std::mem::take(&mut self.outputs));
        }
        if entry.repeat {
            self.tries.spend(now);
        }
        if entry.noted {
            self.book.begin(entry.transaction.clone(), entry.once, entry.budget_end);
        }
        let give_up_at = entry.budget_end.min(now + entry.patience);
        let target_end = now + entry.target;
        let place = self.inbox_place(entry.rank);
        self.inbox.insert(
            place,
            Waiting {
                entry,
                target_end,
                give_up_at,
                attempt: 1,
                may_have_run: false,
                failure: None,
            },
        );
        self.dispatch(now);
        self.scale(now);
        (None, std::mem::take(&mut self.outputs))
    }

    fn known_outcome(&self, transaction: &TransactionId) -> Option<HopOutcome> {
        self.book.known(transaction).filter(|_| self.rules.keep(Rule::IdentityKnown))
    }

    fn note_shed(&mut self, now: Moment, entry: &Entry, reason: HopReason, retry_ms: u32) {
        self.shed_count += 1;
        self.shed_reason = reason;
        if !entry.noted {
            return;
        }
        let outcome = not_run(HopReason::ShedBefore, retry_ms);
        self.book.end(now, &entry.transaction, entry.once, entry.budget_end, outcome);
    }

    /// How many transactions were refused since last asked.
    pub fn take_sheds(&mut self) -> Option<(u32, HopReason)> {
        let shed_count = std::mem::take(&mut self.shed_count);
        (shed_count > 0).then_some((shed_count, self.shed_reason))
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<HolderOutput> {
        self.book.expire(now);
        self.keep_custody(now);
        self.shed_late(now);
        self.watch_runners(now);
        self.dispatch(now);
        self.scale(now);
        self.rest_if_idle(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// A send to a runner has ended.
    pub fn sent_ended(&mut self, now: Moment, ticket: Ticket, end: SendEnd) -> Vec<HolderOutput> {
        let Some(sent) = self.sent.remove(&ticket) else { return Vec::new() };
        let is_settled = !matches!(end, SendEnd::Lost) || !self.rules.keep(Rule::LostKeepsSlot);
        if let Some(record) = self.runners.get_mut(&sent.runner) {
            let entry = &sent.waiting.entry;
            record.send_ended(now, &entry.transaction, entry.budget_end, is_settled);
        }
        match end {
            SendEnd::Answered(outcome) => {
                let taken_span = now.since(sent.sent_at);
                self.service = (self.service * 9 + taken_span) / 10;
                if let Some(record) = self.runners.get_mut(&sent.runner) {
                    let slots =
                        if self.rules.keep(Rule::SlotsKept) { self.spec.slots } else { u32::MAX };
                    record.answered(slots);
                }
                self.end(now, sent.waiting.entry, outcome);
            }
            SendEnd::ShedByRunner => {
                if let Some(record) = self.runners.get_mut(&sent.runner) {
                    record.refused(now);
                }
                self.refused(now, sent.waiting);
            }
            SendEnd::OtherRunner => {
                self.runner_failed(now, sent.runner);
                self.never_reached(now, sent.waiting);
            }
            SendEnd::Barred(reason) => {
                self.give_up(now, sent.waiting, reason, Duration::from_millis(500));
            }
            SendEnd::Failed(outcome) => self.failed(now, sent.waiting, outcome),
            SendEnd::Unsent => {
                self.runner_failed(now, sent.runner);
                self.put_back(now, sent.waiting);
            }
            SendEnd::Lost => self.lost(now, sent.waiting),
        }
        self.dispatch(now);
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner's own failure: a repeatable transaction may go to another runner, else it is passed on.
    fn failed(&mut self, now: Moment, mut waiting: Waiting, outcome: HopOutcome) {
        waiting.may_have_run = true;
        if self.may_repeat(now, &waiting) {
            waiting.failure = Some(outcome);
            self.repeat(now, waiting);
        } else {
            self.end(now, waiting.entry, outcome);
        }
    }

    fn lost(&mut self, now: Moment, mut waiting: Waiting) {
        waiting.may_have_run = true;
        if self.may_repeat(now, &waiting) {
            self.repeat(now, waiting);
        } else {
            self.give_up(now, waiting, HopReason::AnswerLost, Duration::ZERO);
        }
    }

    /// A runner refused it: it did not run there, yet it arrived, and counts as a try.
    fn refused(&mut self, now: Moment, waiting: Waiting) {
        if self.may_repeat(now, &waiting) {
            self.repeat(now, waiting);
        } else {
            let start_at = self.expected_start(now, self.inbox.len());
            let retry_span = start_at.since(now).max(Duration::from_millis(200));
            self.give_up(now, waiting, HopReason::RunnerShed, retry_span);
        }
    }

    /// It came to another runner, which did not run it: the one that was meant never got it.
    fn never_reached(&mut self, now: Moment, waiting: Waiting) {
        let has_time = now + self.service < waiting.entry.budget_end;
        if has_time && !self.closed && self.may_spend(now) {
            self.repeat(now, waiting);
        } else {
            self.give_up(now, waiting, HopReason::NoRunner, self.spec.boot);
        }
    }

    fn may_repeat(&mut self, now: Moment, waiting: &Waiting) -> bool {
        let has_time = now + self.service * 2 < waiting.entry.budget_end;
        let has_tries = waiting.attempt < waiting.entry.tries;
        !waiting.entry.once && has_time && has_tries && !self.closed && self.may_spend(now)
    }

    fn repeat(&mut self, now: Moment, mut waiting: Waiting) {
        self.tries.spend(now);
        waiting.attempt += 1;
        waiting.give_up_at = waiting.entry.budget_end;
        self.inbox.push_front(waiting);
    }

    fn may_spend(&mut self, now: Moment) -> bool {
        !self.rules.keep(Rule::TriesCounted) || self.tries.may_spend(now)
    }

    fn put_back(&mut self, now: Moment, waiting: Waiting) {
        if self.closed {
            self.give_up(now, waiting, HopReason::NotServing, Duration::from_millis(500));
        } else {
            self.inbox.push_front(waiting);
        }
    }

    fn end(&mut self, now: Moment, entry: Entry, outcome: HopOutcome) {
        if matches!(outcome, HopOutcome::NotRun { .. }) {
            self.shed_count += 1;
        }
        if entry.noted {
            let kept_outcome = match &outcome {
                HopOutcome::NotRun { retry_ms, .. } => not_run(HopReason::ShedBefore, *retry_ms),
                other => other.clone(),
            };
            self.book.end(now, &entry.transaction, entry.once, entry.budget_end, kept_outcome);
        }
        self.outputs.push(HolderOutput::End { ticket: entry.ticket, outcome });
    }

    /// The leader answered a wish for a runner.
    pub fn reserved(&mut self, now: Moment, result: &ReserveResult) -> Vec<HolderOutput> {
        self.scaling.reserve_ended(now, matches!(result, ReserveResult::Reserved { .. }));
        if let ReserveResult::Reserved { runner, worker, memory_mb } = result {
            if self.is_leaving() || runner.grant != self.grant {
                self.outputs.push(HolderOutput::Tell(HolderWord::News {
                    runner: *runner,
                    news: RunnerNews::Gone,
                }));
                return std::mem::take(&mut self.outputs);
            }
            let slots = if self.rules.keep(Rule::SlotsKept) { self.spec.slots } else { u32::MAX };
            let mut record = RunnerRecord::starting(now, worker.clone(), *memory_mb, slots);
            if !self.rules.keep(Rule::RampKept) {
                record.limit = slots;
            }
            self.runners.insert(*runner, record);
            let (worker, spec) = (worker.clone(), self.spec.clone());
            self.outputs.push(HolderOutput::Start { runner: *runner, worker, spec });
        }
        std::mem::take(&mut self.outputs)
    }

    /// The wish for a runner got no answer.
    pub fn reserve_lost(&mut self, now: Moment) {
        self.scaling.reserve_ended(now, false);
    }

    /// The platform answered a start. The same order again finds the same runner.
    pub fn started(&mut self, now: Moment, runner: RunnerId, end: BeginEnd) -> Vec<HolderOutput> {
        let Some(record) = self.runners.get_mut(&runner) else { return Vec::new() };
        match end {
            BeginEnd::Begun(life) => {
                if record.life.is_none() {
                    record.life = Some(life.clone());
                    let news = RunnerNews::Begun { life };
                    self.outputs.push(HolderOutput::Tell(HolderWord::News { runner, news }));
                }
                if record.phase == Phase::Starting {
                    record.phase = Phase::Booting;
                    record.probe_from(record.started_at + self.spec.boot / 2);
                }
            }
            _ if record.phase != Phase::Starting => {}
            BeginEnd::Busy | BeginEnd::Lost => record.order_again(now),
            BeginEnd::NoRoom | BeginEnd::Refused => {
                self.runners.remove(&runner);
                self.scaling.reserve_ended(now, false);
                let news = RunnerNews::Gone;
                self.outputs.push(HolderOutput::Tell(HolderWord::News { runner, news }));
                self.scale(now);
                self.finish_leaving(now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// A booting runner was asked whether it is ready.
    pub fn probed(&mut self, now: Moment, runner: RunnerId, is_ready: bool) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.probe_pending = false;
            if is_ready && record.phase == Phase::Booting {
                record.phase = Phase::Ready;
                record.since = now;
                record.used_at = now;
                self.outputs
                    .push(HolderOutput::Tell(HolderWord::News { runner, news: RunnerNews::Ready }));
            }
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// A runner said what it is running, or could not be reached.
    pub fn settled(
        &mut self,
        now: Moment,
        runner: RunnerId,
        running: Option<Vec<TransactionId>>,
    ) -> Vec<HolderOutput> {
        match (self.runners.get_mut(&runner), running) {
            (Some(record), Some(running)) => record.settle(now, &running),
            (Some(_), None) => self.runner_failed(now, runner),
            (None, _) => {}
        }
        self.dispatch(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform confirmed that a runner is stopped.
    pub fn stopped(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        if self.runners.remove(&runner).is_some() {
            self.outputs
                .push(HolderOutput::Tell(HolderWord::News { runner, news: RunnerNews::Gone }));
        }
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The platform no longer lists a runner: it is gone.
    pub fn vanished(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        self.runners.remove(&runner);
        self.scale(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The leader wants a runner drained.
    pub fn drain(&mut self, now: Moment, runner: RunnerId) -> Vec<HolderOutput> {
        if let Some(record) = self.runners.get_mut(&runner) {
            record.unfit_since.get_or_insert(now);
        }
        self.scale(now);
        std::mem::take(&mut self.outputs)
    }

    /// The function is to be handed over: admit nothing, finish, leave fit runners, release.
    pub fn hand_over(&mut self, now: Moment) -> Vec<HolderOutput> {
        self.leaving = true;
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The grant is gone: refuse what waits, send nothing more. Fit runners are left as they stand for
    /// the next holder, the others stopped; what was sent may still be answered.
    pub fn close(&mut self, now: Moment) -> Vec<HolderOutput> {
        if !self.closed {
            self.closed = true;
            self.closed_at = now;
        }
        for waiting in std::mem::take(&mut self.inbox) {
            self.give_up(now, waiting, HopReason::NotServing, Duration::from_millis(500));
        }
        self.leave_runners(now);
        std::mem::take(&mut self.outputs)
    }

    fn leave_runners(&mut self, now: Moment) {
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            match self.runners.get_mut(&runner) {
                Some(record) if record.may_be_left() => record.phase = Phase::Left,
                _ => self.stop_runner(now, runner),
            }
        }
    }

    /// How long it has not been called, while it has nothing to do.
    pub fn idle(&self, now: Moment) -> Option<Duration> {
        let is_idle = self.inbox.is_empty() && self.sent.is_empty() && !self.runners.is_empty();
        is_idle.then(|| now.since(self.last_called_at))
    }

    /// Memory is short: an idle function stops its last runner, and starts one when it is called.
    pub fn give_way(&mut self, now: Moment) -> Vec<HolderOutput> {
        if self.inbox.is_empty() && self.sent.is_empty() {
            self.rest(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// A newer spec of the same function.
    pub fn respec(&mut self, spec: FunctionSpec) {
        self.spec = spec;
    }

    fn finish_leaving(&mut self, now: Moment) {
        if !self.leaving || self.closed || self.released {
            return;
        }
        if self.inbox.is_empty() && self.sent.is_empty() {
            self.leave_runners(now);
            if self.runners.values().all(|record| record.phase == Phase::Left) {
                self.released = true;
                let runners = self.left_runners();
                self.outputs.push(HolderOutput::Tell(HolderWord::Released { runners }));
            }
        }
    }
}

/// A refusal.
pub fn not_run(reason: HopReason, retry_ms: u32) -> HopOutcome {
    HopOutcome::NotRun { reason, retry_ms }
}
