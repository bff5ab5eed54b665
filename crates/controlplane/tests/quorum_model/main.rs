//! Model checking of the consensus: several instances of the real `ConsensusNode` are driven through event
//! orders that rarely occur by chance.

mod explore;
mod history;
mod model;
mod recovery;
mod walk;

use common::rules::{Rule, Rules};
use explore::{ExplorationBounds, explore};
use googletest::prelude::*;
use history::SafetyViolation;
use model::Setup;
use walk::walk;

const SMALL_BOUNDS: ExplorationBounds = ExplorationBounds {
    deviations: 2,
    window: 1,
    changes: 1,
};
const FLAWED_RULE_BOUNDS: ExplorationBounds = ExplorationBounds {
    deviations: 3,
    window: 8,
    changes: 2,
};
const WALKS: u64 = 40;

/// Reads a number from an environment variable, which allows longer runs.
fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[gtest]
fn three_voters_keep_every_invariant_whatever_deviates() -> Result<()> {
    let window = number_from_env("QUORUM_WINDOW", SMALL_BOUNDS.window as u64) as usize;
    let changes = number_from_env("QUORUM_ORDERS", SMALL_BOUNDS.changes as u64) as usize;
    let bounds = ExplorationBounds {
        window,
        changes,
        ..SMALL_BOUNDS
    };
    let (counts, violating_run) = explore(Setup::correct(3, 3, 1, 1), bounds);
    println!(
        "{} states and {} complete runs within {bounds:?}",
        counts.states, counts.runs
    );
    verify_that!(violating_run, none())
}

/// Explores a setup with a flaw and returns the violation found.
fn explore_until_violation(setup: Setup) -> Option<SafetyViolation> {
    let (counts, violating_run) = explore(setup, FLAWED_RULE_BOUNDS);
    println!("{} states: {violating_run:?}", counts.states);
    violating_run.map(|(violation, _)| violation)
}

/// The violation found when one rule is not enforced.
fn violation_without(rule: Rule) -> Option<SafetyViolation> {
    explore_until_violation(Setup {
        rules: Rules::without(rule),
        ..Setup::correct(3, 3, 1, 1)
    })
}

#[gtest]
fn an_acknowledgement_before_the_disk_write_is_detected() -> Result<()> {
    verify_that!(
        violation_without(Rule::AcceptPersistedFirst).is_some(),
        eq(true)
    )
}

#[gtest]
fn a_vote_for_a_candidate_with_an_older_version_is_detected() -> Result<()> {
    verify_that!(
        violation_without(Rule::CandidateIsUpToDate).is_some(),
        eq(true)
    )
}

#[gtest]
fn a_wiped_disk_under_its_former_identity_is_detected() -> Result<()> {
    let setup = Setup {
        wiped_keeps_identity: true,
        ..Setup::correct(3, 3, 1, 1)
    };
    verify_that!(explore_until_violation(setup).is_some(), eq(true))
}

/// Random walks over quorums of one size: each must tolerate the losses at any step and have all its voters
/// again after the repair.
fn walk_all(machines: usize, zones: usize, tolerance: usize) -> Result<()> {
    let mut actions = 0;
    for seed in 0..number_from_env("QUORUM_SEEDS", WALKS) {
        let outcome = walk(Setup::correct(machines, zones, tolerance, seed));
        verify_that!(outcome.clone().err(), none())
            .with_failure_message(|| format!("seed {seed}"))?;
        actions += outcome.unwrap_or_default();
    }
    println!("{machines} machines in {zones} zones: {actions} random actions");
    Ok(())
}

#[gtest]
fn three_machines_tolerate_one_loss_at_every_step() -> Result<()> {
    walk_all(3, 3, 1)
}

#[gtest]
fn five_machines_tolerate_two_losses_at_every_step() -> Result<()> {
    walk_all(5, 3, 2)
}

#[gtest]
fn six_machines_tolerate_two_losses_or_a_zone_at_every_step() -> Result<()> {
    walk_all(6, 3, 2)
}

#[gtest]
fn eight_machines_tolerate_two_losses_or_a_zone_at_every_step() -> Result<()> {
    walk_all(8, 4, 2)
}
