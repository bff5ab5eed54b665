//! Detection cases with random faults: flaws that the checks must find.

use super::faults::SimFault;
use super::flaw::Flaw;
use super::plan::SimPlan;
use super::simulation::Simulation;
use common::rules::Rule;
use std::fmt;
use std::time::Duration;

/// A flaw, the faults that expose it, and the violation that must be found with the flaw and not without it.
pub struct DetectionCase {
    /// What must never happen. The cases are in the order of the requirements.
    pub property: &'static str,
    /// The flaw that is introduced.
    pub flaw: Flaw,
    /// The faults that expose it.
    pub faults: &'static [SimFault],
    /// The longest time between two faults.
    pub max_fault_interval: Duration,
    /// A part of the expected violation's message; empty if any violation counts.
    pub expected_violation: &'static str,
    /// The number of seeds within which the flaw must be found.
    pub max_seeds: u64,
    /// Whether operators send hundreds of numbered orders.
    pub has_numbered_orders: bool,
    /// Whether callers wait longer than the grace period of a graceful shutdown.
    pub patient_callers: bool,
}

/// The result of a detection case.
pub struct DetectionResult {
    /// The first seed that found the flaw, and the violation.
    pub found: Option<(u64, String)>,
    /// The violations in the same runs without the flaw.
    pub baseline_violations: Vec<String>,
    /// The number of checks in the runs without the flaw.
    pub checked: u64,
}

/// The longest time between two orders, unless the case is about orders.
const MAX_ORDER_INTERVAL: Duration = Duration::from_millis(3000);
/// The longest time between two orders if the case is about orders; hundreds are sent in a run.
const SHORT_MAX_ORDER_INTERVAL: Duration = Duration::from_millis(150);

/// The usual number of calls per second.
const CALL_RATE: f64 = 60.0;
/// The number of calls per second if callers wait long and each function has a single slot.
const PATIENT_CALL_RATE: f64 = 8.0;

impl DetectionCase {
    /// Returns this case with hundreds of numbered orders.
    const fn with_orders(mut self) -> Self {
        self.has_numbered_orders = true;
        self
    }

    /// Returns this case with callers that wait longer than the grace period of a graceful shutdown.
    const fn with_patient_callers(mut self) -> Self {
        self.patient_callers = true;
        self
    }

    /// Returns the plan of a run with this seed and flaw.
    pub fn plan(&self, seed: u64, flaw: Flaw) -> SimPlan {
        SimPlan {
            flaw,
            fault_kinds: self.faults.to_vec(),
            max_fault_interval: self.max_fault_interval,
            rate: if self.patient_callers {
                PATIENT_CALL_RATE
            } else {
                CALL_RATE
            },
            duplicate_share: 0.5,
            has_numbered_orders: self.has_numbered_orders,
            patient_callers: self.patient_callers,
            max_order_interval: if self.has_numbered_orders {
                SHORT_MAX_ORDER_INTERVAL
            } else {
                MAX_ORDER_INTERVAL
            },
            ..SimPlan::seeded(seed)
        }
    }

    /// Runs each seed without and with the flaw, until the flaw is found.
    pub fn run(&self, max_seeds: u64) -> DetectionResult {
        let mut result = DetectionResult {
            found: None,
            baseline_violations: Vec::new(),
            checked: 0,
        };
        for seed in 1..=max_seeds {
            let baseline_result = Simulation::new(self.plan(seed, Flaw::None), false).run();
            result.checked += baseline_result.checked.values().sum::<u64>();
            let baseline_violations = baseline_result.violations.iter();
            result
                .baseline_violations
                .extend(baseline_violations.map(|violation| format!("seed {seed}: {violation}")));
            let flawed_result = Simulation::new(self.plan(seed, self.flaw), false).run();
            let violation = flawed_result
                .violations
                .iter()
                .find(|violation| violation.what.contains(self.expected_violation));
            if let Some(violation) = violation {
                result.found = Some((seed, violation.what.clone()));
                break;
            }
        }
        result
    }
}

impl fmt::Display for DetectionCase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(SimFault::to_string).collect();
        write!(
            out,
            "{} ({}; faults {})",
            self.property,
            self.flaw,
            faults.join(",")
        )
    }
}

/// Creates a case without numbered orders and patient callers.
const fn case(
    property: &'static str,
    flaw: Flaw,
    faults: &'static [SimFault],
    max_fault_interval_ms: u64,
    expected_violation: &'static str,
    max_seeds: u64,
) -> DetectionCase {
    let max_fault_interval = Duration::from_millis(max_fault_interval_ms);
    DetectionCase {
        property,
        flaw,
        faults,
        max_fault_interval,
        expected_violation,
        max_seeds,
        has_numbered_orders: false,
        patient_callers: false,
    }
}

use SimFault as F;

/// The detection cases with random faults.
pub const DETECTION_CASES: &[DetectionCase] = &[
    case(
        "runs twice",
        Flaw::Without(Rule::KnownIdempotencyKeyAnswered),
        &[F::RunnerFaults],
        2000,
        "ran 2 times",
        6,
    ),
    case(
        "runs twice",
        Flaw::Without(Rule::LedgerReplicatedBeforeSend),
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "ran 2 times",
        12,
    ),
    case(
        "runs twice",
        Flaw::Without(Rule::LedgerCollectedBeforeAdmission),
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "ran 2 times",
        12,
    ),
    case(
        "refused runs",
        Flaw::Without(Rule::RejectedNeverRuns),
        &[F::CallBurst, F::RunnerFaults],
        1000,
        "refused as not run",
        6,
    ),
    case(
        "foreign answer",
        Flaw::Without(Rule::SealChecked),
        &[F::RunnerFaults],
        1000,
        "no runner made",
        6,
    ),
    case(
        "foreign answer",
        Flaw::Without(Rule::SealBoundToRequest),
        &[F::RunnerFaults],
        1000,
        "no runner made",
        6,
    ),
    case(
        "not allowed",
        Flaw::Without(Rule::RunnerIdentityChecked),
        &[F::LoseRunner, F::CrashWorker],
        500,
        "not in force",
        12,
    ),
    case(
        "in force",
        Flaw::Without(Rule::ServesUnderSessionLease),
        &[F::Isolation, F::FreezeHolder],
        1500,
        "outside its session lease",
        6,
    ),
    case(
        "in force",
        Flaw::SyncSkipped,
        &[F::KillQuorum, F::KillLeader],
        1500,
        "commit was lost",
        20,
    ),
    case(
        "in force",
        Flaw::QuorumOfOne,
        &[F::PartitionQuorum, F::Partition],
        1500,
        "",
        20,
    ),
    case(
        "refused in force",
        Flaw::Without(Rule::StaleBaseRejected),
        &[F::ChangeBurst],
        1500,
        "both accepted",
        6,
    ),
    case(
        "refused in force",
        Flaw::Without(Rule::InvalidChangeRejected),
        &[F::ChangeBurst],
        1500,
        "invalid at",
        6,
    ),
    case(
        "draining",
        Flaw::Without(Rule::DrainObeyed),
        &[F::DrainWorker],
        3000,
        "draining for",
        6,
    ),
    case(
        "draining",
        Flaw::Without(Rule::DrainObeyed),
        &[F::RunnerLeaves],
        1000,
        "leaving for",
        6,
    ),
    case(
        "evacuation",
        Flaw::Without(Rule::EvacuationObeyed),
        &[F::Evacuate],
        3000,
        "evacuated for",
        6,
    ),
    case(
        "orderly stop",
        Flaw::Without(Rule::ResponsesDeliveredAtShutdown),
        &[F::StopDaemon],
        1500,
        "stops in order",
        6,
    ),
    case(
        "orderly stop",
        Flaw::Without(Rule::QueuedRequestsWithdrawnAtShutdown),
        &[F::StopDaemon, F::CallBurst],
        900,
        "waiting",
        12,
    )
    .with_patient_callers(),
    case(
        "extra tries",
        Flaw::Without(Rule::RetryBudgetCounted),
        &[F::RunnerFaults, F::CallBurst, F::ClientRetries],
        700,
        "extra try",
        24,
    ),
    case(
        "flood",
        Flaw::Without(Rule::SlowStartRespected),
        &[F::CallBurst],
        1000,
        "answers",
        6,
    ),
    case(
        "flood",
        Flaw::Without(Rule::SlotLimitRespected),
        &[F::CallBurst],
        1000,
        "slots",
        6,
    ),
    case(
        "flood",
        Flaw::Without(Rule::LostResponseKeepsSlot),
        &[F::RunnerFaults, F::CallBurst],
        700,
        "at once on",
        12,
    ),
    case(
        "two holders",
        Flaw::Without(Rule::FenceBeforeRegrant),
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "is alive",
        6,
    ),
    case(
        "two holders",
        Flaw::Without(Rule::LeaseExpiredBeforeRegrant),
        &[F::FreezeHolder, F::Isolation],
        1500,
        "send to the same instance",
        12,
    ),
    case(
        "two holders",
        Flaw::Without(Rule::InstanceAdoptedOnce),
        &[F::StopDaemon, F::KillDaemon],
        1500,
        "is in the hands of",
        12,
    ),
    case(
        "two holders",
        Flaw::Without(Rule::ClaimsQuorumAwaited),
        &[F::KillLeader, F::Isolation],
        1200,
        "",
        20,
    ),
    case(
        "two holders",
        Flaw::Without(Rule::ListedMembersAwaited),
        &[F::KillLeader, F::Isolation],
        1200,
        "",
        20,
    ),
    case(
        "two holders",
        Flaw::StopRequestsIgnored,
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "is alive",
        6,
    ),
    case(
        "orders",
        Flaw::Without(Rule::ResentChangeRecognized),
        &[F::KillLeader],
        1500,
        "was accepted, then refused",
        50,
    )
    .with_orders(),
    case(
        "orders",
        Flaw::Without(Rule::ChangeNumberBoundToContent),
        &[F::KillLeader],
        1500,
        "both accepted as",
        50,
    )
    .with_orders(),
    case(
        "orders",
        Flaw::Without(Rule::AcknowledgedByMajority),
        &[F::KillLeader, F::PartitionQuorum],
        1500,
        "",
        50,
    )
    .with_orders(),
    case(
        "orders",
        Flaw::Without(Rule::AbandonedChangeDropped),
        &[F::Evacuate],
        500,
        "which no order explains",
        50,
    )
    .with_orders(),
    case(
        "down",
        Flaw::StopRequestsLost,
        &[F::KillGroup, F::DrainWorker],
        3000,
        "mostly down",
        6,
    ),
];
