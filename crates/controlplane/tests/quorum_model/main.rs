//! The shipped state machine of the control quorum, driven through orders of events that chance
//! seldom brings: what is explored is `Core` itself.

mod explore;
mod history;
mod model;
mod recovery;
mod walk;

use common::rules::{Rule, Rules};
use explore::{Bound, explore};
use googletest::prelude::*;
use history::Breach;
use model::Setup;
use walk::walk;

const SMALL: Bound = Bound { deviations: 2, window: 1, orders: 1 };
const PLANTED: Bound = Bound { deviations: 3, window: 8, orders: 2 };
const WALKS: u64 = 40;

/// A number that a longer run by command asks for.
fn asked_for(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[gtest]
fn three_voters_keep_every_invariant_whatever_deviates() -> Result<()> {
    let window = asked_for("QUORUM_WINDOW", SMALL.window as u64) as usize;
    let orders = asked_for("QUORUM_ORDERS", SMALL.orders as u64) as usize;
    let bound = Bound { window, orders, ..SMALL };
    let (explored, found) = explore(Setup::sound(3, 3, 1, 1), bound);
    println!("{} states and {} whole runs within {bound:?}", explored.states, explored.runs);
    verify_that!(found, none())
}

/// Explores with something taken away until a breach is found.
fn planted(setup: Setup) -> Option<Breach> {
    let (explored, found) = explore(setup, PLANTED);
    println!("{} states: {found:?}", explored.states);
    found.map(|(breach, _)| breach)
}

#[gtest]
fn an_acknowledgement_before_the_disk_is_found() -> Result<()> {
    let rules = Rules::without(Rule::AcceptOnDisk);
    verify_that!(planted(Setup { rules, ..Setup::sound(3, 3, 1, 1) }).is_some(), eq(true))
}

#[gtest]
fn a_vote_for_a_candidate_with_an_older_version_is_found() -> Result<()> {
    let rules = Rules::without(Rule::NewestElected);
    verify_that!(planted(Setup { rules, ..Setup::sound(3, 3, 1, 1) }).is_some(), eq(true))
}

#[gtest]
fn a_wiped_disk_under_its_former_identity_is_found() -> Result<()> {
    let setup = Setup { wiped_keeps_identity: true, ..Setup::sound(3, 3, 1, 1) };
    verify_that!(planted(setup).is_some(), eq(true))
}

/// Many walks over quorums of one size: each bears its losses at any step, and is whole again after
/// the repair.
fn walk_all(machines: usize, zones: usize, tolerance: usize) -> Result<()> {
    let mut actions = 0;
    for seed in 0..asked_for("QUORUM_SEEDS", WALKS) {
        let outcome = walk(Setup::sound(machines, zones, tolerance, seed));
        verify_that!(outcome.clone().err(), none())
            .with_failure_message(|| format!("seed {seed}"))?;
        actions += outcome.unwrap_or_default();
    }
    println!("{machines} machines in {zones} zones: {actions} random actions");
    Ok(())
}

#[gtest]
fn three_machines_bear_one_loss_at_every_step() -> Result<()> {
    walk_all(3, 3, 1)
}

#[gtest]
fn five_machines_bear_two_losses_at_every_step() -> Result<()> {
    walk_all(5, 3, 2)
}

#[gtest]
fn six_machines_bear_two_losses_or_a_zone_at_every_step() -> Result<()> {
    walk_all(6, 3, 2)
}

#[gtest]
fn eight_machines_bear_two_losses_or_a_zone_at_every_step() -> Result<()> {
    walk_all(8, 4, 2)
}
