//! Simulations of both planes under seeded faults, and of the flaws that the safety checks must detect.

#[path = "support/clean_runs.rs"]
mod clean_runs;

use clean_runs::verify_clean;
use common::rules::Rule;
use dataplane::holder::Tuning;
use fleet::sim::{DETECTION_CASES, Flaw, SimFault, SimPlan, SimResult, Simulation};
use googletest::prelude::*;
use std::time::Duration;

/// Returns how often an event was counted in a simulation.
fn count_of(sim_result: &SimResult, label: &str) -> u64 {
    sim_result.counts.get(label).copied().unwrap_or(0)
}

#[gtest]
fn no_seed_violates_safety_and_service_recovers() -> Result<()> {
    for seed in 1..=24 {
        let sim_result = verify_clean(SimPlan::seeded(seed))?;
        verify_that!(sim_result.settled_answer_share, ge(0.5))?;
        verify_that!(sim_result.checked.get("run"), some(ge(&100)))?;
    }
    Ok(())
}

/// Stopping the runners of idle functions, and acquiring leases before the first call, violate no safety check.
#[gtest]
fn idle_stops_and_warm_functions_violate_no_safety_check() -> Result<()> {
    for seed in 1..=12 {
        let tuning = Tuning::builder()
            .idle_startups(3)
            .decay(Duration::from_secs(2))
            .build();
        let plan = SimPlan {
            tuning,
            keeps_warm_functions: true,
            ..SimPlan::seeded(seed)
        };
        let sim_result = verify_clean(plan)?;
        verify_that!(sim_result.settled_answer_share, ge(0.5))?;
    }
    Ok(())
}

/// A stopping daemon withdraws the requests that still wait for a runner, and none of them runs afterwards. This needs
/// patient callers, which outlast the grace period of a graceful shutdown: other simulated callers give up before the
/// exit.
#[gtest]
fn stops_leave_no_patient_caller_waiting() -> Result<()> {
    let mut withdrawn_count = 0;
    for seed in 1..=12 {
        let plan = SimPlan {
            patient_callers: true,
            rate: 8.0,
            duplicate_share: 0.5,
            fault_kinds: vec![SimFault::StopDaemon, SimFault::CallBurst],
            max_fault_interval: Duration::from_millis(900),
            ..SimPlan::seeded(seed)
        };
        let sim_result = verify_clean(plan)?;
        withdrawn_count += count_of(&sim_result, "requests withdrawn");
    }
    verify_that!(withdrawn_count, ge(20))
}

fn regional_plan(seed: u64) -> SimPlan {
    SimPlan {
        regional: true,
        rate: 240.0,
        duplicate_share: 0.0,
        ..SimPlan::seeded(seed)
    }
}

/// Functions that are held in two regions violate no safety check, and callers are served under both keys. Seeds 3
/// and 5 guard against a runner that gets more requests than it has slots, the last four against a runner whose key is
/// not known after a failover.
#[gtest]
fn regional_keys_violate_no_safety_check_and_serve() -> Result<()> {
    let mut served_count = 0;
    for seed in (1..=24).chain([73, 82, 86, 120]) {
        let plan = SimPlan {
            uses_fresh_idempotency_keys: true,
            ..regional_plan(seed)
        };
        let sim_result = verify_clean(plan)?;
        verify_that!(sim_result.settled_answer_share, ge(0.5))?;
        served_count += count_of(&sim_result, "served under a region's key");
    }
    verify_that!(served_count, ge(1000))
}

/// With this seed a region's key is granted while a runner that was started under it runs unlisted after a failover.
#[gtest]
fn a_regions_key_waits_for_every_runner_that_was_started_under_it() -> Result<()> {
    let plan = SimPlan {
        uses_fresh_idempotency_keys: true,
        ..regional_plan(108)
    };
    verify_clean(plan)?;
    Ok(())
}

/// An idempotency key that is sent again through an ingress in another region must reach the lease holder that
/// remembers it.
#[gtest]
fn answers_are_remembered_by_one_holder_only() -> Result<()> {
    let violations_of = |flaw: Flaw, seed: u64| {
        let plan = SimPlan {
            flaw,
            duplicate_share: 0.5,
            has_faults: false,
            ..regional_plan(seed)
        };
        Simulation::new(plan, false).run().violations
    };
    let is_found = (1..=6)
        .any(|seed| !violations_of(Flaw::Without(Rule::OneHolderRemembersKeys), seed).is_empty());
    verify_that!(is_found, eq(true))?;
    for seed in 1..=6 {
        verify_that!(violations_of(Flaw::None, seed).len(), eq(0))?;
    }
    Ok(())
}

/// The digest compares the behaviour of two versions of the code, so equal seeds must give equal digests.
#[gtest]
fn the_event_digest_depends_on_the_seed_alone() -> Result<()> {
    let digest = |seed| {
        Simulation::new(SimPlan::seeded(seed), false)
            .run()
            .event_digest
    };
    verify_that!(digest(5), eq(&digest(5)))?;
    verify_that!(digest(5), not(eq(&digest(6))))
}

#[gtest]
fn the_same_seed_gives_the_same_trace() -> Result<()> {
    let trace_of_seed = || Simulation::new(SimPlan::seeded(7), true).run().trace;
    let first_trace = trace_of_seed();
    verify_that!(first_trace.len(), ge(20))?;
    verify_that!(trace_of_seed() == first_trace, eq(true))
}

#[gtest]
fn runners_of_an_unclaimed_holder_are_adopted_or_stopped_before_the_next_lease() -> Result<()> {
    for seed in [2, 8, 17, 43] {
        verify_clean(SimPlan::seeded(seed))?;
    }
    Ok(())
}

/// Each flaw is detected, and without it there is no violation.
#[gtest]
fn every_disabled_rule_is_detected_and_the_baseline_is_clean() -> Result<()> {
    for case in DETECTION_CASES {
        let detection = case.run(case.max_seeds);
        verify_that!(detection.baseline_violations, is_empty())
            .with_failure_message(|| case.to_string())?;
        verify_that!(detection.found, some(anything()))
            .with_failure_message(|| case.to_string())?;
        verify_that!(detection.checked, ge(1000))?;
    }
    Ok(())
}

#[gtest]
fn repeats_of_a_once_request_do_not_run_again_at_a_successor() -> Result<()> {
    for seed in [7, 57, 67] {
        verify_clean(SimPlan::seeded(seed))?;
    }
    Ok(())
}

#[gtest]
fn a_lost_owner_does_not_make_the_hash_owner_acquire_without_end() -> Result<()> {
    for seed in 9..=16 {
        let sim_result = Simulation::new(SimPlan::seeded(seed), false).run();
        verify_that!(count_of(&sim_result, "acquisitions"), le(150))?;
        verify_that!(count_of(&sim_result, "answer"), ge(300))?;
    }
    Ok(())
}

/// Messages to a lease holder that are lost with their stream must be sent again: if they are not, each of these seeds
/// has a violation.
#[gtest]
fn drains_and_evacuations_survive_the_loss_of_their_stream() -> Result<()> {
    use SimFault::{DrainWorker, Isolation, Partition, RunnerLeaves};
    let cases = [
        (11974, Vec::new(), 3500),
        (141, vec![DrainWorker, Isolation], 2000),
        (149, vec![RunnerLeaves, Partition], 2000),
    ];
    for (seed, fault_kinds, max_interval_ms) in cases {
        let max_fault_interval = Duration::from_millis(max_interval_ms);
        let plan = SimPlan {
            fault_kinds,
            max_fault_interval,
            ..SimPlan::seeded(seed)
        };
        verify_clean(plan)?;
    }
    Ok(())
}

/// Bursts for busy functions take nearly all memory, but a function without a runner must still get one. Recovery takes
/// 11.5 s if functions with several runners do not give one back.
#[gtest]
fn a_function_without_a_runner_is_not_starved_by_those_that_have_several() -> Result<()> {
    let sim_result = Simulation::new(SimPlan::seeded(39776), false).run();
    verify_that!(sim_result.violations.len(), eq(0))?;
    verify_that!(sim_result.recovered_after, le(Duration::from_secs(6)))
}

/// Faults of the control plane under which the history of operators is recorded.
struct HistoryCase {
    fault_kinds: &'static [SimFault],
    /// The longest time between two faults.
    max_fault_interval: Duration,
    /// The longest time between two orders of operators.
    max_order_interval: Duration,
}

/// The longest time between two orders that are rare.
const RARE_ORDERS: Duration = Duration::from_millis(3000);
/// The longest time between two orders of which a run has hundreds.
const FREQUENT_ORDERS: Duration = Duration::from_millis(150);
const HISTORY_CASES: [HistoryCase; 4] = [
    HistoryCase {
        fault_kinds: &[],
        max_fault_interval: Duration::from_millis(3500),
        max_order_interval: RARE_ORDERS,
    },
    HistoryCase {
        fault_kinds: &[],
        max_fault_interval: Duration::from_millis(3500),
        max_order_interval: FREQUENT_ORDERS,
    },
    HistoryCase {
        fault_kinds: &[
            SimFault::Evacuate,
            SimFault::FreezeLeader,
            SimFault::PartitionQuorum,
            SimFault::Freeze,
        ],
        max_fault_interval: Duration::from_millis(1500),
        max_order_interval: RARE_ORDERS,
    },
    HistoryCase {
        fault_kinds: &[
            SimFault::ChangeBurst,
            SimFault::FreezeLeader,
            SimFault::PartitionQuorum,
            SimFault::KillLeader,
            SimFault::RestartAll,
        ],
        max_fault_interval: Duration::from_millis(1500),
        max_order_interval: FREQUENT_ORDERS,
    },
];

/// The history of operators under faults of the control plane is linearizable.
#[gtest]
fn operator_histories_are_linearizable() -> Result<()> {
    for case in HISTORY_CASES {
        for seed in [11, 32, 112, 155, 221, 234] {
            let plan = SimPlan {
                fault_kinds: case.fault_kinds.to_vec(),
                max_fault_interval: case.max_fault_interval,
                has_numbered_orders: true,
                max_order_interval: case.max_order_interval,
                ..SimPlan::seeded(seed)
            };
            let sim_result = verify_clean(plan)?;
            verify_that!(sim_result.checked.get("operator's answer"), some(ge(&40)))?;
        }
    }
    Ok(())
}
