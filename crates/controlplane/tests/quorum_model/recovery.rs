//! How soon a quorum tolerates the next loss after its bootstrap, after a loss and after a replacement. Frames
//! and writes take no time here, so the measured times consist only of the controllers' own timeouts.

use super::model::{DiskFault, Model, Setup};
use super::number_from_env;
use common::clock::MonotonicTime;
use googletest::prelude::*;
use std::time::Duration;

const SEEDS: u64 = 100;
const STALLED_DISK_SEEDS: u64 = 20;
const BOOTSTRAP_LIMIT: Duration = Duration::from_secs(2);
const LEADER_RECOVERY_LIMIT: Duration = Duration::from_secs(2);
const REPLACEMENT_LIMIT: Duration = Duration::from_millis(1800);
const STALLED_REPLACEMENT_LIMIT: Duration = Duration::from_secs(7);
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

fn settled_model(setup: Setup) -> Model {
    let mut model = Model::new(setup);
    model.run_until(Model::is_settled).expect("it settles");
    model
}

fn wait(model: &mut Model, span: Duration) {
    let until = model.now() + span;
    model
        .run_until(|model| model.now() >= until)
        .expect("time passes");
}

/// Measures with many seeds, prints the median and the worst time, and returns the sorted times.
fn measure(label: &str, seeds: u64, time_of: impl Fn(u64) -> Duration) -> Vec<Duration> {
    let mut spans: Vec<Duration> = (0..number_from_env("QUORUM_SEEDS", seeds))
        .map(time_of)
        .collect();
    spans.sort_unstable();
    let (median, worst) = (spans[spans.len() / 2], spans[spans.len() - 1]);
    println!(
        "{label}: median {median:?}, worst {worst:?} of {} seeds",
        spans.len()
    );
    spans
}

fn since(started_at: MonotonicTime, model: &Model) -> Duration {
    model.now().since(started_at)
}

/// Returns how long the quorum takes to settle after a disturbance.
fn time_to_settle_after(model: &mut Model, disturb: impl FnOnce(&mut Model)) -> Duration {
    let started_at = model.now();
    disturb(model);
    model.run_until(Model::is_settled).expect("it settles");
    since(started_at, model)
}

/// Returns a voter other than the leader.
fn follower(model: &Model) -> usize {
    let leader = model.leader().expect("a leader");
    let mut voters = model.voters().into_iter();
    voters
        .find(|voter| *voter != leader)
        .expect("another voter")
}

#[gtest]
fn three_initial_voters_grow_to_five_in_two_seconds() -> Result<()> {
    for (machines, zones) in [(5, 3), (6, 3), (8, 4)] {
        let spans = measure(&format!("five voters of {machines}"), SEEDS, |seed| {
            let mut model = Model::new(Setup::correct(machines, zones, 2, seed));
            time_to_settle_after(&mut model, |_| {})
        });
        verify_that!(spans.last(), some(le(&BOOTSTRAP_LIMIT)))?;
    }
    Ok(())
}

#[gtest]
fn the_next_change_is_committed_soon_after_the_leader_is_lost() -> Result<()> {
    for (machines, zones, tolerance) in [(3, 3, 1), (6, 3, 2), (8, 4, 2)] {
        let spans = measure(
            &format!("a change after the loss of the leader of {machines}"),
            SEEDS,
            |seed| {
                let mut model = settled_model(Setup::correct(machines, zones, tolerance, seed));
                let started_at = model.now();
                model.take_down(model.leader().expect("a leader"));
                model.make_progress().expect("a change is committed");
                since(started_at, &model)
            },
        );
        verify_that!(spans.last(), some(le(&LEADER_RECOVERY_LIMIT)))?;
    }
    Ok(())
}

#[gtest]
fn a_standby_votes_soon_after_a_voter_is_lost() -> Result<()> {
    for (machines, zones) in [(6, 3), (8, 4)] {
        let spans = measure(&format!("a standby votes, of {machines}"), SEEDS, |seed| {
            let mut model = settled_model(Setup::correct(machines, zones, 2, seed));
            let lost = follower(&model);
            time_to_settle_after(&mut model, |model| model.take_down(lost))
        });
        verify_that!(spans.last(), some(le(&REPLACEMENT_LIMIT)))?;
    }
    Ok(())
}

/// The writes of one voter, the leader or another, never complete or all fail. Guards against such a voter
/// that is never replaced because it still answers every heartbeat.
#[gtest]
fn a_standby_replaces_a_voter_whose_disk_is_stalled() -> Result<()> {
    for (disk_fault, on_leader) in [
        (DiskFault::Hung, true),
        (DiskFault::Hung, false),
        (DiskFault::Full, true),
        (DiskFault::Full, false),
    ] {
        let spans = measure(
            &format!("a standby for a disk {disk_fault:?}, leader: {on_leader}"),
            STALLED_DISK_SEEDS,
            |seed| {
                let mut model = settled_model(Setup::correct(6, 3, 2, seed));
                let leader = model.leader().expect("a leader");
                let is_target = |voter: &usize| (*voter == leader) == on_leader;
                let stalled = model.voters().into_iter().find(is_target).expect("a voter");
                time_to_settle_after(&mut model, |model| {
                    model.inject_disk_fault(stalled, disk_fault);
                    model.make_progress().expect("a change is committed");
                    model.make_progress().expect("another change is committed");
                })
            },
        );
        verify_that!(spans.last(), some(le(&STALLED_REPLACEMENT_LIMIT)))?;
    }
    Ok(())
}

/// The successor of a lost machine starts one second after the loss, with an empty disk and at a new address.
/// The time is measured from its start until the quorum has settled and thus tolerates the next loss.
#[gtest]
fn a_successor_votes_soon_after_its_start_and_the_next_loss_is_tolerated() -> Result<()> {
    for number in 0..3 {
        let spans = measure(&format!("a successor of {number} votes"), SEEDS, |seed| {
            let mut model = settled_model(Setup::correct(3, 3, 1, seed));
            model.take_down(number);
            wait(&mut model, SUCCESSOR_DELAY);
            let span = time_to_settle_after(&mut model, |model| model.add_successor(number));
            let next_lost = model.leader().expect("a leader");
            model.take_down(next_lost);
            model.make_progress().expect("the next loss is tolerated");
            span
        });
        verify_that!(spans.last(), some(le(&LEADER_RECOVERY_LIMIT)))?;
    }
    Ok(())
}

/// Planned replacement: the successor starts before the machine that it replaces goes down.
#[gtest]
fn a_planned_replacement_takes_no_longer_than_an_unplanned_one() -> Result<()> {
    let spans = measure("a planned successor votes", SEEDS, |seed| {
        let mut model = settled_model(Setup::correct(3, 3, 1, seed));
        let leader = model.leader().expect("a leader");
        let leaving = (0..3)
            .find(|number| *number != leader)
            .expect("another voter");
        model.add_successor(leaving);
        wait(&mut model, SUCCESSOR_DELAY);
        time_to_settle_after(&mut model, |model| model.take_down(leaving))
    });
    verify_that!(spans.last(), some(le(&REPLACEMENT_LIMIT)))
}
