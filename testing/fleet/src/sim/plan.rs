//! The plan and the result of a simulated day.

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

/// The plan of a simulated day.
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
    pub founders: usize,
    /// Timed actions on the control side, from the beginning of the day.
    pub script: Vec<(Duration, Action)>,
    /// A loss at one step of the control side, counted from the script's [`Action::CountSteps`].
    pub second_loss: Option<SecondLoss>,
    /// Whether the state at the end of the script is checked.
    pub checks_script_end: bool,
    /// Whether the day ends as soon as the control side has recovered from its single loss.
    pub ends_when_recovered: bool,
    /// Whether operators send changes at random times.
    pub has_changes: bool,
    /// How long the day continues after all faults are undone.
    pub settling_time: Duration,
    /// The number of daemons.
    pub daemons: usize,
    /// The rate of requests per second.
    pub rate: f64,
    /// Whether random faults are injected.
    pub has_faults: bool,
    /// The flaw that is introduced on purpose.
    pub flaw: Flaw,
    /// The share of requests whose idempotency key is sent twice.
    pub duplicate_share: f64,
    /// The kinds of faults to choose from; all if this is empty.
    pub fault_kinds: Vec<SimFault>,
    /// The longest time from one fault to the next.
    pub max_fault_interval: Duration,
    /// The tuning of lease holders.
    pub tuning: Tuning,
    /// Whether functions with a long startup are kept warm.
    pub keeps_warm_functions: bool,
    /// Whether the zones belong to two regions, so that busy functions get lease holders in both.
    pub regional: bool,
    /// Whether callers use a new idempotency key for each attempt.
    pub fresh_identities: bool,
    /// Whether callers wait longer than the grace period of an orderly stop, for functions with a single slot and long work.
    pub patient_callers: bool,
    /// Whether operators number their orders, retry them and read them back, so that the history can be checked for
    /// linearizability.
    pub has_numbered_orders: bool,
    /// The longest time between two orders of operators.
    pub max_order_interval: Duration,
}

impl SimPlan {
    /// The usual day: half a minute with random faults.
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            controllers: 3,
            voters: 3,
            founders: 3,
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
            fresh_identities: false,
            patient_callers: false,
            has_numbered_orders: false,
            max_order_interval: Duration::from_millis(3000),
        }
    }

    /// The rules that the programs enforce.
    pub fn rules(&self) -> Rules {
        self.flaw.rules()
    }
}

/// The result of a simulated day.
pub struct SimResult {
    /// The violations that were found.
    pub violations: Vec<SafetyViolation>,
    /// The number of requests and changes by outcome.
    pub counts: BTreeMap<String, u64>,
    /// The number of cases of each check.
    pub checked: BTreeMap<&'static str, u64>,
    /// The share of requests answered from 12 s after all faults were undone.
    pub share_after: f64,
    /// The time after which at least half of the calls were answered again, from when all faults were undone.
    pub recovered_after: Duration,
    /// The number of counted steps of the control side.
    pub steps: u64,
    /// The recovery times from the plan's single loss, if everything recovered.
    pub recovery: Option<RecoveryTimes>,
    /// The digest of all events, for comparing the behaviour of two versions of the code.
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
            "{} breaches; after mending {:.0}% answered, back in {} ms; {}; checks: {}",
            self.violations.len(),
            self.share_after * 100.0,
            self.recovered_after.as_millis(),
            counts.join(", "),
            checked.join(", ")
        )
    }
}
