//! The lease holder of one function, as a state machine without I/O.
//!
//! A [`Holder`] owns the function's request queue, its runners and their slots, its ledger and its retry budget. Each
//! event is a method that takes the current time and returns the [`HolderOutput`]s that the caller has to carry out.
//! Each submodule implements one concern.

mod admission;
mod demand;
mod idle_retention;
mod lifecycle;
mod output;
mod queue;
mod regional;
mod releasing;
mod replication;
mod request;
mod retry_budget;
mod runner_events;
mod runner_set;
mod runners;
mod scaling;
mod send_result;
mod tuning;
mod withdrawal;

pub use output::{HolderMessage, HolderOutput, SendResult};
pub use request::{AdmissionRequest, LeaseTerms};
pub use tuning::{IdleCost, Tuning};

use crate::ledger::Ledger;
use common::clock::MonotonicTime;
use common::frames::{
    Claim, Flag, Instance, LengthPrefixed, RequestFailureReason, RequestOutcome, RunnerStatus,
};
use common::identity::{FencingToken, FunctionKey, RunnerId};
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use demand::Demand;
use idle_retention::IdleRetention;
use lifecycle::Lifecycle;
use regional::RegionalDemand;
use replication::Replication;
use request::{InFlight, QueuedRequest, Requests};
use retry_budget::RetryBudget;
use runner_set::RunnerSet;
use scaling::Scaling;
use std::time::Duration;

/// The lease that a function is held under.
struct FunctionLease {
    function: FunctionKey,
    fencing_token: FencingToken,
    held_since: MonotonicTime,
}

/// The lease holder of one function, as a state machine.
pub struct Holder {
    lease: FunctionLease,
    lifecycle: Lifecycle,
    spec: FunctionSpec,
    requests: Requests,
    runners: RunnerSet,
    ledger: Ledger,
    replication: Replication,
    retry_budget: RetryBudget,
    scaling: Scaling,
    demand: Demand,
    regional: RegionalDemand,
    idle_retention: IdleRetention,
    rules: Rules,
    tuning: Tuning,
    outputs: Vec<HolderOutput>,
}

impl Holder {
    /// Creates the holder of a function whose lease has just been granted.
    pub fn new(now: MonotonicTime, terms: LeaseTerms) -> Self {
        let startup = terms.spec.startup;
        let tuning = Tuning::default();
        Self {
            lease: FunctionLease {
                function: terms.function,
                fencing_token: terms.fencing_token,
                held_since: now,
            },
            lifecycle: Lifecycle::Serving,
            requests: Requests::new(),
            runners: RunnerSet::adopted(now, terms.adopted, terms.spec.slots),
            spec: terms.spec,
            ledger: Ledger::default(),
            replication: Replication::new(
                now,
                terms.replica,
                terms.previous_lease,
                terms.once_wait,
            ),
            retry_budget: RetryBudget::new(now, &tuning),
            scaling: Scaling::new(now),
            demand: Demand::new(now, &tuning, startup, startup),
            regional: RegionalDemand::default(),
            idle_retention: IdleRetention::new(now, startup),
            rules: Rules::ALL_ENFORCED,
            tuning,
            outputs: Vec::new(),
        }
    }

    /// Replaces the enforced rules. Tests disable a rule to show the failure that it prevents.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        if !rules.enforces(Rule::SlowStartRespected) {
            self.runners.skip_slow_start();
        }
        if !rules.enforces(Rule::LedgerCollectedBeforeAdmission) {
            self.replication.skip_collection();
        }
        self
    }

    /// Replaces the settings. Must be called before the first event.
    pub fn with_tuning(mut self, now: MonotonicTime, tuning: Tuning) -> Self {
        self.retry_budget = RetryBudget::new(now, &tuning);
        self.tuning = tuning;
        self.demand = Demand::new(now, &tuning, self.spec.startup, self.break_even());
        self
    }

    /// Sets whether the function is prewarmed. A prewarmed function retains its last runner longer when idle.
    pub fn set_prewarmed(&mut self, is_prewarmed: bool) {
        self.idle_retention.set_prewarmed(is_prewarmed);
    }

    /// Returns the key of the held function.
    pub fn function(&self) -> &FunctionKey {
        &self.lease.function
    }

    /// Returns the fencing token of the lease.
    pub fn fencing_token(&self) -> FencingToken {
        self.lease.fencing_token
    }

    /// Returns the maximum number of connections to one runner.
    pub fn max_connections(&self) -> u32 {
        self.spec.connections
    }

    /// Returns a runner's instance, or `None` until the platform has reported it.
    pub fn instance_of(&self, runner: RunnerId) -> Option<Instance> {
        self.runners
            .get(runner)
            .and_then(|record| record.instance.clone())
    }

    /// Returns the instances that requests may be sent to: those of all runners that are not orphaned.
    pub fn instances(&self) -> Vec<Instance> {
        self.runners.instances()
    }

    /// Returns the numbers of queued and of in-flight requests.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.requests.queue.len(), self.requests.in_flight.len())
    }

    /// Returns the number of ready runners and the number of all runners.
    pub fn runner_counts(&self) -> (usize, usize) {
        (self.runners.ready().count(), self.runners.len())
    }

    /// Returns the claim to the lease that is sent to the leader after a reconnection.
    pub fn claim(&self) -> Claim {
        Claim {
            function: self.lease.function.clone(),
            fencing_token: self.lease.fencing_token,
            runners: LengthPrefixed(self.runners.claims()),
            is_releasing: Flag(!self.is_claimable()),
            replica: LengthPrefixed(self.replication.replica.iter().cloned().collect()),
            complete: Flag(self.replication.is_complete()),
        }
    }

    /// Whether the lease may be claimed: it has neither ended nor been released.
    pub fn is_claimable(&self) -> bool {
        self.lifecycle.holds_lease()
    }

    /// Runs all timed work that is due.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.ledger.expire(now);
        self.maintain_replica(now);
        self.reject_late(now);
        self.check_runners(now);
        self.dispatch(now);
        self.scale(now);
        self.stop_runners_if_idle(now);
        self.finish_release(now);
        self.take_outputs()
    }

    /// Returns the time since the last request, or `None` while there are requests or if there is no runner.
    pub fn idle_time(&self, now: MonotonicTime) -> Option<Duration> {
        let is_idle = self.requests.is_empty() && !self.runners.is_empty();
        is_idle.then(|| self.idle_retention.since_last_request(now))
    }

    /// Stops all runners if no request is queued or in flight, to free memory. The next request starts a runner again.
    pub fn stop_if_unused(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        if self.requests.is_empty() {
            self.stop_idle_runners(now);
        }
        self.take_outputs()
    }

    /// Replaces the spec with a newer one of the same function.
    pub fn update_spec(&mut self, spec: FunctionSpec) {
        self.runners.raise_max_slots(spec.slots);
        self.spec = spec;
    }

    fn take_outputs(&mut self) -> Vec<HolderOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn report(&mut self, message: HolderMessage) {
        self.outputs.push(HolderOutput::Report(message));
    }

    fn report_runner(&mut self, runner: RunnerId, runner_status: RunnerStatus) {
        self.report(HolderMessage::RunnerStatus {
            runner,
            runner_status,
        });
    }

    /// Returns the number of slots of a new runner.
    fn slots_per_runner(&self) -> u32 {
        if self.rules.enforces(Rule::SlotLimitRespected) {
            self.spec.slots
        } else {
            u32::MAX
        }
    }
}

/// Returns the outcome of a request that was rejected without having run. `retry_after_ms` is the suggested delay
/// before a retry, in milliseconds.
pub fn not_run(reason: RequestFailureReason, retry_after_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun {
        reason,
        retry_after_ms,
    }
}
