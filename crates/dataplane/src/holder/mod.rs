//! A held function: inbox, runners with their slots, ledger of identities, retry budget. No I/O.
//!
//! [`Holder`] is a state machine: each call takes the time and what happened, and returns what is to be
//! done. The modules below each hold one part of its reactions.

mod admission;
mod demand;
mod entry;
mod inbox;
mod keeping;
mod leaving;
mod output;
mod regional;
mod replication;
mod runner_events;
mod runners;
mod scaling;
mod send_end;
mod tries;
mod tuning;

pub use entry::{Entry, GrantTerms};
pub use output::{HolderMessage, HolderOutput, SendEnd};
pub use tuning::{IdleCost, Tuning};

use crate::ledger::Book;
use common::clock::Moment;
use common::frames::{Claim, Flag, HopOutcome, HopReason, Life, Many};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Ticket};
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use demand::Demand;
use entry::{Sent, Waiting};
use keeping::Boots;
use regional::RegionalDemand;
use replication::Replication;
use runners::{Phase, RunnerRecord};
use scaling::Scaling;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tries::TryWindow;

/// How long a transaction is taken to run until some have been measured.
const ASSUMED_SERVICE: Duration = Duration::from_millis(40);

/// One held function.
pub struct Holder {
    function: FunctionKey,
    grant: GrantSerial,
    spec: FunctionSpec,
    /// The most slots that any spec of this grant gave a runner.
    most_slots: u32,
    once_from: Moment,
    runners: BTreeMap<RunnerId, RunnerRecord>,
    inbox: VecDeque<Waiting>,
    sent: BTreeMap<Ticket, Sent>,
    /// What was given to a connection, and has not come back with an end.
    on_runners: BTreeSet<Ticket>,
    book: Book,
    replication: Replication,
    tries: TryWindow,
    scaling: Scaling,
    demand: Demand,
    regional: RegionalDemand,
    boots: Boots,
    /// The shortest target of its calls.
    shortest_target: Option<Duration>,
    held_since: Moment,
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
        let (boot, boots) = (terms.spec.boot, Boots::new(terms.spec.boot));
        let demand = Demand::new(now, &Tuning::default(), boot, boot);
        let runners = terms
            .adopted
            .into_iter()
            .filter_map(|listed| Some((listed.runner, RunnerRecord::adopted(now, listed, slots)?)))
            .collect();
        Self {
            function: terms.function,
            grant: terms.grant,
            most_slots: slots,
            spec: terms.spec,
            once_from: now + terms.once_wait,
            replication: Replication::new(now, terms.steward, terms.prior, is_whole),
            runners,
            inbox: VecDeque::new(),
            sent: BTreeMap::new(),
            on_runners: BTreeSet::new(),
            book: Book::default(),
            tries: TryWindow::new(now, &Tuning::default()),
            scaling: Scaling::new(now),
            demand,
            regional: RegionalDemand::default(),
            boots,
            shortest_target: None,
            held_since: now,
            has_adopted,
            service: ASSUMED_SERVICE,
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
            self.replication.skip_collecting();
        }
        self
    }

    /// The same with other settings.
    pub fn with_tuning(mut self, now: Moment, tuning: Tuning) -> Self {
        self.tries = TryWindow::new(now, &tuning);
        self.tuning = tuning;
        self.demand = Demand::new(now, &tuning, self.spec.boot, self.break_even());
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
            steward: Many(self.replication.steward.iter().cloned().collect()),
            whole: Flag(self.replication.whole),
        }
    }

    /// Whether it may be claimed: it is held, and not given up.
    pub fn is_claimable(&self) -> bool {
        !self.closed && !self.released
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<HolderOutput> {
        self.book.expire(now);
        self.keep_replica(now);
        self.shed_late(now);
        self.watch_runners(now);
        self.dispatch(now);
        self.scale(now);
        self.rest_if_idle(now);
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
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
        self.most_slots = self.most_slots.max(spec.slots);
        self.spec = spec;
    }
}

/// A refusal.
pub fn not_run(reason: HopReason, retry_ms: u32) -> HopOutcome {
    HopOutcome::NotRun { reason, retry_ms }
}
