//! Tests that the invariants that the code checks itself are violated when the rules that uphold them are disabled.

use common::invariants::Invariant;
use common::rules::Rule;
use fleet::sim::{Flaw, SimFault, SimPlan, Simulation};
use googletest::prelude::*;
use std::time::Duration;

/// The number of seeds within which each violation must be found.
const MAX_SEEDS: u64 = 12;

struct Case {
    invariant: Invariant,
    flaw: Flaw,
    faults: &'static [SimFault],
}

const fn case(invariant: Invariant, rule: Rule, faults: &'static [SimFault]) -> Case {
    Case {
        invariant,
        flaw: Flaw::Without(rule),
        faults,
    }
}

use SimFault as F;

/// The invariants whose violation random faults detect. `spec-never-older` has its own test in
/// `crates/dataplane/tests/agent/spec_versions.rs`, `commit-never-lost` in
/// `crates/controlplane/tests/consensus_node_safety.rs`, and `sent-under-lease` another one in
/// `platform/tests/connections/pre_send_check.rs`.
const CASES: &[Case] = &[
    case(
        Invariant::SlotsRespected,
        Rule::SlotLimitRespected,
        &[F::CallBurst],
    ),
    case(
        Invariant::OnceSentOnce,
        Rule::OnceNotRetried,
        &[F::RunnerFaults],
    ),
    case(
        Invariant::RejectedNotSent,
        Rule::RejectedNeverRuns,
        &[F::CallBurst, F::RunnerFaults],
    ),
    case(
        Invariant::RetryBudgetRespected,
        Rule::RetryBudgetCounted,
        &[F::RunnerFaults, F::CallBurst, F::ClientRetries],
    ),
    case(
        Invariant::ChangeOnNamedBase,
        Rule::StaleBaseRejected,
        &[F::ChangeBurst],
    ),
    case(
        Invariant::ProposedSpecValid,
        Rule::InvalidChangeRejected,
        &[F::ChangeBurst],
    ),
    case(
        Invariant::SentUnderLease,
        Rule::ServesUnderSessionLease,
        &[F::Isolation, F::FreezeHolder],
    ),
    case(
        Invariant::GrantedAfterLease,
        Rule::LeaseExpiredBeforeRegrant,
        &[F::FreezeHolder, F::Isolation],
    ),
    case(
        Invariant::GrantedAfterClaims,
        Rule::ClaimsQuorumAwaited,
        &[F::KillLeader, F::Isolation],
    ),
    case(
        Invariant::GrantedAfterClaims,
        Rule::ListedMembersAwaited,
        &[F::KillLeader, F::Isolation],
    ),
    Case {
        invariant: Invariant::OneLeaderPerTerm,
        flaw: Flaw::QuorumOfOne,
        faults: &[F::PartitionQuorum, F::Partition],
    },
];

fn is_detected(case: &Case, seed: u64) -> bool {
    let plan = SimPlan {
        flaw: case.flaw,
        fault_kinds: case.faults.to_vec(),
        max_fault_interval: Duration::from_millis(1200),
        rate: 60.0,
        duplicate_share: 0.5,
        ..SimPlan::seeded(seed)
    };
    let name = format!("invariant {}:", case.invariant);
    let sim_result = Simulation::new(plan, false).run();
    sim_result
        .violations
        .iter()
        .any(|violation| violation.what.starts_with(&name))
}

#[gtest]
fn each_invariant_is_found_violated_without_the_rule_behind_it() -> Result<()> {
    for case in CASES {
        let found_by = (1..=MAX_SEEDS).find(|seed| is_detected(case, *seed));
        println!("{} by {}: seed {found_by:?}", case.invariant, case.flaw);
        verify_that!(found_by, some(anything()))
            .with_failure_message(|| format!("{} by {}", case.invariant, case.flaw))?;
    }
    Ok(())
}
