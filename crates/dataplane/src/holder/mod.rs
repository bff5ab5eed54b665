//! A held function: inbox, runners with their slots, ledger of identities, retry budget. No I/O.
//!
//! [`Holder`] is a state machine: each call takes the time and what happened, and returns what is to be
//! done. The modules below each hold one part of its reactions.

mod admission;
mod demand;
mod idle_retention;
mod output;
mod queue;
mod regional;
mod releasing;
mod replication;
mod request;
mod retry_budget;
mod runner_events;
mod runners;
mod scaling;
mod send_result;
mod tuning;

pub use output::{HolderMessage, HolderOutput, SendResult};
pub use request::{AdmissionRequest, LeaseTerms};
pub use tuning::{IdleCost, Tuning};

use crate::ledger::Ledger;
use common::clock::MonotonicTime;
use common::frames::{Claim, Flag, Instance, LengthPrefixed, RequestFailureReason, RequestOutcome};
use common::identity::{FencingToken, FunctionKey, RunnerId, Ticket};
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use demand::Demand;
use idle_retention::StartupTimes;
use regional::RegionalDemand;
use replication::Replication;
use request::{InFlight, QueuedRequest};
use retry_budget::RetryBudget;
use runners::{Phase, RunnerRecord};
use scaling::Scaling;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How long a transaction is taken to run until some have been measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(40);

/// One held function.
pub struct Holder {
    function: FunctionKey,
    fencing_token: FencingToken,
    spec: FunctionSpec,
    /// The most slots that any spec of this grant gave a runner.
    max_slots: u32,
    once_allowed_from: MonotonicTime,
    runners: BTreeMap<RunnerId, RunnerRecord>,
    queue: VecDeque<QueuedRequest>,
    in_flight: BTreeMap<Ticket, InFlight>,
    /// What was given to a connection, and has not come back with an end.
    sent_to_runner: BTreeSet<Ticket>,
    ledger: Ledger,
    replication: Replication,
    retry_budget: RetryBudget,
    scaling: Scaling,
    demand: Demand,
    regional: RegionalDemand,
    startup_times: StartupTimes,
    /// The shortest target of its calls.
    shortest_target: Option<Duration>,
    held_since: MonotonicTime,
    has_adopted: bool,
    service_time: Duration,
    last_request_at: MonotonicTime,
    rejected_count: u32,
    last_rejection_reason: RequestFailureReason,
    idle_stopped: bool,
    releasing: bool,
    closed: bool,
    closed_at: MonotonicTime,
    orphans_reported: bool,
    released: bool,
    rules: Rules,
    tuning: Tuning,
    warm: bool,
    outputs: Vec<HolderOutput>,
}

impl Holder {
    /// A function that has just been granted.
    pub fn new(now: MonotonicTime, terms: LeaseTerms) -> Self {
        let is_replica_complete = terms.once_wait.is_zero();
        let slots = terms.spec.slots;
        let has_adopted = !terms.adopted.is_empty();
        let (startup, startup_times) = (terms.spec.startup, StartupTimes::new(terms.spec.startup));
        let demand = Demand::new(now, &Tuning::default(), startup, startup);
        let runners = terms
            .adopted
            .into_iter()
            .filter_map(|listed| Some((listed.runner, RunnerRecord::adopted(now, listed, slots)?)))
            .collect();
        Self {
            function: terms.function,
            fencing_token: terms.fencing_token,
            max_slots: slots,
            spec: terms.spec,
            once_allowed_from: now + terms.once_wait,
            replication: Replication::new(
                now,
                terms.replica,
                terms.previous_lease,
                is_replica_complete,
            ),
            runners,
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            sent_to_runner: BTreeSet::new(),
            ledger: Ledger::default(),
            retry_budget: RetryBudget::new(now, &Tuning::default()),
            scaling: Scaling::new(now),
            demand,
            regional: RegionalDemand::default(),
            startup_times,
            shortest_target: None,
            held_since: now,
            has_adopted,
            service_time: INITIAL_SERVICE_TIME,
            last_request_at: now,
            rejected_count: 0,
            last_rejection_reason: RequestFailureReason::QueueFull,
            idle_stopped: false,
            releasing: false,
            closed: false,
            closed_at: now,
            orphans_reported: false,
            released: false,
            rules: Rules::ALL_ENFORCED,
            tuning: Tuning::default(),
            warm: false,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        if !rules.enforces(Rule::SlowStartRespected) {
            self.runners
                .values_mut()
                .for_each(|record| record.limit = record.slots);
        }
        if !rules.enforces(Rule::LedgerCollectedBeforeAdmission) {
            self.once_allowed_from = MonotonicTime::ZERO;
            self.replication.skip_collection();
        }
        self
    }

    /// The same with other settings.
    pub fn with_tuning(mut self, now: MonotonicTime, tuning: Tuning) -> Self {
        self.retry_budget = RetryBudget::new(now, &tuning);
        self.tuning = tuning;
        self.demand = Demand::new(now, &tuning, self.spec.startup, self.break_even());
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
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The most connections that one of its runners takes.
    pub fn connections(&self) -> u32 {
        self.spec.connections
    }

    /// A runner's life, once the platform has told it.
    pub fn instance_of(&self, runner: RunnerId) -> Option<Instance> {
        self.runners
            .get(&runner)
            .and_then(|record| record.instance.clone())
    }

    /// The lives it sends to.
    pub fn instances(&self) -> Vec<Instance> {
        let used = self
            .runners
            .values()
            .filter(|record| record.phase != Phase::Orphaned);
        used.filter_map(|record| record.instance.clone()).collect()
    }

    /// The transactions waiting and running.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.in_flight.len())
    }

    /// The runners that can take transactions, and all there are.
    pub fn runner_counts(&self) -> (usize, usize) {
        let ready_count = self
            .runners
            .values()
            .filter(|record| record.phase == Phase::Ready)
            .count();
        (ready_count, self.runners.len())
    }

    /// What is claimed for it after a reconnection.
    pub fn claim(&self) -> Claim {
        let runners = self
            .runners
            .iter()
            .map(|(runner, record)| record.to_claim(*runner))
            .collect();
        Claim {
            function: self.function.clone(),
            fencing_token: self.fencing_token,
            runners: LengthPrefixed(runners),
            is_releasing: Flag(!self.is_claimable()),
            replica: LengthPrefixed(self.replication.replica.iter().cloned().collect()),
            complete: Flag(self.replication.complete),
        }
    }

    /// Whether it may be claimed: it is held, and not given up.
    pub fn is_claimable(&self) -> bool {
        !self.closed && !self.released
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.ledger.expire(now);
        self.maintain_replica(now);
        self.reject_late(now);
        self.check_runners(now);
        self.dispatch(now);
        self.scale(now);
        self.stop_runners_if_idle(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// How long it has not been called, while it has nothing to do.
    pub fn idle(&self, now: MonotonicTime) -> Option<Duration> {
        let is_idle =
            self.queue.is_empty() && self.in_flight.is_empty() && !self.runners.is_empty();
        is_idle.then(|| now.since(self.last_request_at))
    }

    /// Memory is short: an idle function stops its last runner, and starts one when it is called.
    pub fn stop_if_unused(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        if self.queue.is_empty() && self.in_flight.is_empty() {
            self.stop_idle_runners(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// A newer spec of the same function.
    pub fn update_spec(&mut self, spec: FunctionSpec) {
        self.max_slots = self.max_slots.max(spec.slots);
        self.spec = spec;
    }
}

/// A refusal.
pub fn not_run(reason: RequestFailureReason, retry_after_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun {
        reason,
        retry_after_ms,
    }
}
