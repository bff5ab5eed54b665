//! The plan and the result of a simulated run.

use super::checks::SafetyViolation;
use super::faults::SimFault;
use super::flaw::Flaw;
use super::recovery::RecoveryTimes;
use super::script::{Action, SecondLoss};
use common::rules::Rules;
use dataplane::holder::Tuning;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The plan of a simulated run.
#[derive(Clone, Debug)]
pub struct SimPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long faults are injected.
    pub fault_duration: Duration,
    /// The number of controllers, each with a disk.
    pub controllers: usize,
    /// The intended number of voters.
    pub voters: usize,
    /// The number of controllers that bootstrap the quorum.
    pub bootstrap_controller_count: usize,
    /// Timed actions on the control plane, with their time since the start of the run.
    pub script: Vec<(Duration, Action)>,
    /// A loss at one step of the control plane, counted from the script's [`Action::CountSteps`].
    pub second_loss: Option<SecondLoss>,
    /// Whether the state at the end of the script is checked.
    pub checks_script_end: bool,
    /// Whether the run ends as soon as the control plane has recovered from its single loss.
    pub ends_when_recovered: bool,
    /// Whether operators send changes at random times.
    pub has_changes: bool,
    /// How long the run continues after all faults are undone.
    pub settling_time: Duration,
    /// The number of daemons.
    pub daemons: usize,
    /// The rate of requests per second.
    pub rate: f64,
    /// Whether random faults are injected.
    pub has_faults: bool,
    /// The flaw that is introduced to test the checks.
    pub flaw: Flaw,
    /// The share of requests whose idempotency key is sent twice.
    pub duplicate_share: f64,
    /// The kinds of faults to choose from; all kinds if empty.
    pub fault_kinds: Vec<SimFault>,
    /// The longest time between two faults.
    pub max_fault_interval: Duration,
    /// The tuning of lease holders.
    pub tuning: Tuning,
    /// Whether functions with a long startup are kept warm.
    pub keeps_warm_functions: bool,
    /// Whether the zones belong to two regions, so that busy functions get lease holders in both.
    pub regional: bool,
    /// Whether callers use a new idempotency key for each attempt.
    pub uses_fresh_idempotency_keys: bool,
    /// Whether callers wait longer than the grace period of a graceful shutdown, for functions with a single slot and
    /// long execution times.
    pub patient_callers: bool,
    /// Whether operators number their orders, retry them and read the configuration, so that the history can be checked
    /// for linearizability.
    pub has_numbered_orders: bool,
    /// The longest time between two orders from operators.
    pub max_order_interval: Duration,
}

impl SimPlan {
    /// Returns the default plan with this seed: 30 s with random faults.
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            controllers: 3,
            voters: 3,
            bootstrap_controller_count: 3,
            script: Vec::new(),
            second_loss: None,
            checks_script_end: false,
            ends_when_recovered: false,
            has_changes: true,
            settling_time: Duration::from_secs(20),
            fault_duration: Duration::from_secs(30),
            daemons: 5,
            rate: 40.0,
            has_faults: true,
            flaw: Flaw::None,
            duplicate_share: 0.2,
            fault_kinds: Vec::new(),
            max_fault_interval: Duration::from_millis(3500),
            tuning: Tuning::default(),
            keeps_warm_functions: false,
            regional: false,
            uses_fresh_idempotency_keys: false,
            patient_callers: false,
            has_numbered_orders: false,
            max_order_interval: Duration::from_millis(3000),
        }
    }

    /// Returns the rules that the programs enforce.
    pub fn rules(&self) -> Rules {
        self.flaw.rules()
    }
}

/// The result of a simulated run.
pub struct SimResult {
    /// The violations that were found.
    pub violations: Vec<SafetyViolation>,
    /// How often each labelled event happened: requests and changes by outcome, faults by kind, and others.
    pub counts: BTreeMap<String, u64>,
    /// How often each check was performed.
    pub checked: BTreeMap<&'static str, u64>,
    /// The share of answered requests among those made from 12 s after all faults were undone.
    pub settled_answer_share: f64,
    /// The time from when all faults were undone until at least half of the calls were answered again.
    pub recovered_after: Duration,
    /// The number of counted steps of the control plane.
    pub steps: u64,
    /// The recovery times from the plan's single loss, if everything recovered.
    pub recovery: Option<RecoveryTimes>,
    /// The digest of all events, to compare the behaviour of two versions of the code.
    pub event_digest: String,
    /// The trace of events, if it was requested.
    pub trace: Vec<String>,
}

impl fmt::Display for SimResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<String> = self
            .counts
            .iter()
            .map(|(label, count)| format!("{label} {count}"))
            .collect();
        let checked: Vec<String> = self
            .checked
            .iter()
            .map(|(label, count)| format!("{label} {count}"))
            .collect();
        write!(
            out,
            "{} violations; {:.0}% answered after all faults were undone, recovered in {} ms; {}; checks: {}",
            self.violations.len(),
            self.settled_answer_share * 100.0,
            self.recovered_after.as_millis(),
            counts.join(", "),
            checked.join(", ")
        )
    }
}
