//! How soon a quorum bears the next loss: after its founding, a loss, and a replacement. Frames and
//! writes take no time here; what is measured is what the controllers wait for.

use super::asked_for;
use super::model::{DiskTrouble, Model, Setup};
use common::clock::Moment;
use googletest::prelude::*;
use std::time::Duration;

const SEEDS: u64 = 100;
const STUCK_DISK_SEEDS: u64 = 20;
const FOUNDED_WITHIN: Duration = Duration::from_secs(2);
const LED_WITHIN: Duration = Duration::from_secs(2);
const REPLACED_WITHIN: Duration = Duration::from_millis(1800);
const STUCK_REPLACED_WITHIN: Duration = Duration::from_secs(7);
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

fn settled(setup: Setup) -> Model {
    let mut model = Model::new(setup);
    model.run_until(Model::is_settled).expect("it settles");
    model
}

fn wait(model: &mut Model, span: Duration) {
    let until = model.now() + span;
    model.run_until(|model| model.now() >= until).expect("time passes");
}

/// The times of many seeds, sorted; printed as median and worst.
fn measured(what: &str, seeds: u64, time_of: impl Fn(u64) -> Duration) -> Vec<Duration> {
    let mut spans: Vec<Duration> = (0..asked_for("QUORUM_SEEDS", seeds)).map(time_of).collect();
    spans.sort_unstable();
    let (median, worst) = (spans[spans.len() / 2], spans[spans.len() - 1]);
    println!("{what}: median {median:?}, worst {worst:?} of {} seeds", spans.len());
    spans
}

fn since(began: Moment, model: &Model) -> Duration {
    model.now().since(began)
}

#[gtest]
fn three_founders_are_five_voters_in_two_seconds() -> Result<()> {
    for (machines, zones) in [(5, 3), (6, 3), (8, 4)] {
        let spans = measured(&format!("five voters of {machines}"), SEEDS, |seed| {
            let mut model = Model::new(Setup::sound(machines, zones, 2, seed));
            let began = model.now();
            model.run_until(Model::is_settled).expect("it settles");
            since(began, &model)
        });
        verify_that!(spans.last(), some(le(&FOUNDED_WITHIN)))?;
    }
    Ok(())
}

#[gtest]
fn the_next_order_is_taken_soon_after_the_leader_is_lost() -> Result<()> {
    for (machines, zones, tolerance) in [(3, 3, 1), (6, 3, 2), (8, 4, 2)] {
        let spans = measured(&format!("an order after the leader of {machines}"), SEEDS, |seed| {
            let mut model = settled(Setup::sound(machines, zones, tolerance, seed));
            let began = model.now();
            model.lose(model.leader().expect("a leader"));
            model.make_progress().expect("an order is taken");
            since(began, &model)
        });
        verify_that!(spans.last(), some(le(&LED_WITHIN)))?;
    }
    Ok(())
}

#[gtest]
fn a_standby_votes_soon_after_a_voter_is_lost() -> Result<()> {
    for (machines, zones) in [(6, 3), (8, 4)] {
        let spans = measured(&format!("a standby votes, of {machines}"), SEEDS, |seed| {
            let mut model = settled(Setup::sound(machines, zones, 2, seed));
            let leader = model.leader().expect("a leader");
            let lost = model.voters().into_iter().find(|voter| *voter != leader).expect("another");
            let began = model.now();
            model.lose(lost);
            model.run_until(Model::is_settled).expect("it settles");
            since(began, &model)
        });
        verify_that!(spans.last(), some(le(&REPLACED_WITHIN)))?;
    }
    Ok(())
}

/// A voter that answers every round, and whose disk takes nothing, counts as lost too.
#[gtest]
fn a_standby_votes_in_place_of_one_whose_disk_is_stuck() -> Result<()> {
    for (trouble, of_leader) in [
        (DiskTrouble::Hung, true),
        (DiskTrouble::Hung, false),
        (DiskTrouble::Full, true),
        (DiskTrouble::Full, false),
    ] {
        let spans = measured(
            &format!("a standby for a disk {trouble:?}, leader: {of_leader}"),
            STUCK_DISK_SEEDS,
            |seed| {
                let mut model = settled(Setup::sound(6, 3, 2, seed));
                let leader = model.leader().expect("a leader");
                let is_meant = |voter: &usize| (*voter == leader) == of_leader;
                let stuck = model.voters().into_iter().find(is_meant).expect("a voter");
                let began = model.now();
                model.trouble_disk(stuck, trouble);
                model.make_progress().expect("an order is taken");
                model.make_progress().expect("another order is taken");
                model.run_until(Model::is_settled).expect("it settles");
                since(began, &model)
            },
        );
        verify_that!(spans.last(), some(le(&STUCK_REPLACED_WITHIN)))?;
    }
    Ok(())
}

/// The successor of a lost machine comes a second after the loss, with an empty disk and at another
/// address; from its start on it takes no longer than this until the next loss is borne.
#[gtest]
fn a_successor_votes_soon_after_its_start_and_the_next_loss_is_borne() -> Result<()> {
    for number in 0..3 {
        let spans = measured(&format!("a successor of {number} votes"), SEEDS, |seed| {
            let mut model = settled(Setup::sound(3, 3, 1, seed));
            model.lose(number);
            wait(&mut model, SUCCESSOR_AFTER);
            let began = model.now();
            model.add_successor(number);
            model.run_until(Model::is_settled).expect("it settles");
            let span = since(began, &model);
            let next_lost = model.leader().expect("a leader");
            model.lose(next_lost);
            model.make_progress().expect("the next loss is borne");
            span
        });
        verify_that!(spans.last(), some(le(&LED_WITHIN)))?;
    }
    Ok(())
}

/// Planned work: the successor comes first, then the machine that it stands for goes.
#[gtest]
fn a_planned_replacement_takes_no_longer_than_the_silence() -> Result<()> {
    let spans = measured("a planned successor votes", SEEDS, |seed| {
        let mut model = settled(Setup::sound(3, 3, 1, seed));
        let leader = model.leader().expect("a leader");
        let leaving = (0..3).find(|number| *number != leader).expect("another");
        model.add_successor(leaving);
        wait(&mut model, SUCCESSOR_AFTER);
        let began = model.now();
        model.lose(leaving);
        model.run_until(Model::is_settled).expect("it settles");
        since(began, &model)
    });
    verify_that!(spans.last(), some(le(&REPLACED_WITHIN)))
}
