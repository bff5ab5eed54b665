//! Tests of the control-plane scenarios, and of the flaws that they must detect.

#[path = "support/clean_runs.rs"]
mod clean_runs;

use clean_runs::verify_clean;
use fleet::sim::{
    Loss, QuorumSize, Repair, SCENARIO_DETECTION_CASES, SEEDS_TO_FIND, SINGLE_LOSSES, Scenario,
    SecondLoss, SecondLossCase, Target,
};
use googletest::prelude::*;
use std::time::Duration;

fn verify_clean_scenario(scenario: Scenario, seeds: std::ops::RangeInclusive<u64>) -> Result<()> {
    for seed in seeds {
        verify_clean(scenario.plan(seed))
            .with_failure_message(|| format!("{scenario}, seed {seed}"))?;
    }
    Ok(())
}

#[gtest]
fn an_isolated_controller_never_answers_from_stale_state() -> Result<()> {
    verify_clean_scenario(Scenario::Isolation, 1..=12)
}

/// With each of these seeds, a resumed controller used to name a leader from which it had received nothing for 20 s.
#[gtest]
fn a_resumed_controller_does_not_redirect_to_a_former_leader() -> Result<()> {
    for seed in [92, 237, 314] {
        verify_clean_scenario(Scenario::Isolation, seed..=seed)?;
    }
    Ok(())
}

#[gtest]
fn a_second_loss_at_a_seeded_step_loses_nothing() -> Result<()> {
    verify_clean_scenario(Scenario::SecondLoss, 1..=24)
}

#[gtest]
fn power_lost_right_after_an_acknowledgement_and_again_loses_nothing() -> Result<()> {
    verify_clean_scenario(Scenario::PowerLoss, 1..=12)
}

#[gtest]
fn members_absent_for_hundreds_of_changes_catch_up_and_old_orders_stay_known() -> Result<()> {
    verify_clean_scenario(Scenario::ManyChanges, 1..=2)
}

/// Tests some steps of each repair and quorum size; the leader loses power at that step.
#[gtest]
fn the_leader_may_lose_power_at_any_step_of_a_repair() -> Result<()> {
    for size in QuorumSize::ALL {
        for repair in Repair::ALL {
            let case_without_loss = SecondLossCase {
                size: *size,
                repair: *repair,
                second: None,
            };
            let steps = case_without_loss.steps(1);
            verify_that!(steps, ge(100))?;
            for step in (1..=steps.min(400)).step_by(150) {
                let second = Some(SecondLoss {
                    step,
                    target: Target::Leader,
                    loss: Loss::PowerLost,
                });
                let case = SecondLossCase {
                    second,
                    ..case_without_loss
                };
                verify_clean(case.plan(1)).with_failure_message(|| format!("{case:?}"))?;
            }
        }
    }
    Ok(())
}

#[gtest]
fn each_control_rule_disabled_is_detected_by_a_scenario() -> Result<()> {
    for case in SCENARIO_DETECTION_CASES {
        verify_that!(case.find(SEEDS_TO_FIND), some(anything()))
            .with_failure_message(|| case.to_string())?;
    }
    Ok(())
}

#[gtest]
fn orders_and_leases_resume_within_four_seconds_of_any_single_loss() -> Result<()> {
    for single in SINGLE_LOSSES {
        for seed in 1..=2 {
            let times = single.measure(seed, 3, 3);
            verify_that!(times, some(anything()))
                .with_failure_message(|| single.name.to_owned())?;
            let longest = times.map(|times| times.order.max(times.last_lease));
            verify_that!(longest, some(le(Duration::from_secs(4))))
                .with_failure_message(|| single.name.to_owned())?;
        }
    }
    Ok(())
}
