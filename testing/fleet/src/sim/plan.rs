//! What a simulated day is made of, and how it ended.

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

/// What a simulated day is made of.
#[derive(Clone, Debug)]
pub struct SimPlan {
    /// The seed; it decides everything.
    pub seed: u64,
    /// How long faults are caused.
    pub lasts: Duration,
    /// How many controllers, each with a disk.
    pub controllers: usize,
    /// How many of them are to vote.
    pub voters: usize,
    /// How many of them found the core.
    pub founders: usize,
    /// What is done to the control side, and when.
    pub script: Vec<(Duration, Action)>,
    /// A loss at one step of the control side's work, counted from where the script says.
    pub second_loss: Option<SecondLoss>,
    /// Whether the end of the script is judged.
    pub judges_script: bool,
    /// Whether the day ends as soon as the control side is back after its single loss.
    pub ends_when_recovered: bool,
    /// Whether operators send changes by chance.
    pub has_changes: bool,
    /// How long the day goes on after everything is mended.
    pub settling: Duration,
    /// How many daemons.
    pub daemons: usize,
    /// Transactions a second.
    pub rate: f64,
    /// Whether faults are caused at all.
    pub has_faults: bool,
    /// The rule broken on purpose.
    pub flaw: Flaw,
    /// The share of transactions whose identity is sent twice.
    pub duplicate_share: f64,
    /// The only faults of the day; all of them if none is named.
    pub focus: Vec<SimFault>,
    /// The longest time from one fault to the next.
    pub gap: Duration,
    /// How daemons run what they hold.
    pub tuning: Tuning,
    /// Whether functions that boot long are sought before they are called.
    pub keeps_warm_functions: bool,
    /// Whether the zones lie in two regions, so that busy functions come to have holders in both.
    pub regional: bool,
    /// Whether callers give every try an identity of its own.
    pub fresh_identities: bool,
    /// Whether operators number their orders, send them again, and read back, as the history judges.
    pub numbers_orders: bool,
    /// The longest time from one order of operators to the next.
    pub order_gap: Duration,
}

impl SimPlan {
    /// A day of half a minute with faults.
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            controllers: 3,
            voters: 3,
            founders: 3,
            script: Vec::new(),
            second_loss: None,
            judges_script: false,
            ends_when_recovered: false,
            has_changes: true,
            settling: Duration::from_secs(20),
            lasts: Duration::from_secs(30),
            daemons: 5,
            rate: 40.0,
            has_faults: true,
            flaw: Flaw::None,
            duplicate_share: 0.2,
            focus: Vec::new(),
            gap: Duration::from_millis(3500),
            tuning: Tuning::default(),
            keeps_warm_functions: false,
            regional: false,
            fresh_identities: false,
            numbers_orders: false,
            order_gap: Duration::from_millis(3000),
        }
    }

    /// The rules that the programs keep.
    pub fn rules(&self) -> Rules {
        self.flaw.rules()
    }
}

/// How a simulated day ended.
pub struct SimResult {
    /// What must never happen, and did.
    pub violations: Vec<SafetyViolation>,
    /// Transactions and changes by how they ended.
    pub counts: BTreeMap<String, u64>,
    /// How often each check was made.
    pub checked: BTreeMap<&'static str, u64>,
    /// Of the transactions called from 12 s after everything was mended, the share answered.
    pub share_after: f64,
    /// How long after everything was mended at least half of all calls were answered for good.
    pub recovered_after: Duration,
    /// How many steps of the control side were counted.
    pub steps: u64,
    /// What the plan's single loss cost in time, if everything came back.
    pub recovery: Option<RecoveryTimes>,
    /// The digest of everything that happened, for comparing two versions of the code.
    pub event_digest: String,
    /// What happened, if it was traced.
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
