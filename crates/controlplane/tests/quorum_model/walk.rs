//! Long random runs with tolerated losses, partitions, repairs and replacements.

use super::history::SafetyViolation;
use super::model::{Deviation, DiskFault, Model, Setup};
use common::rng::SeededRng;

const CYCLES: usize = 4;
/// A cycle has fewer random actions than this.
const ACTION_COUNT_BOUND: u64 = 250;

/// The maximal number of losses in the first cycle, which starts with the three initial voters while other
/// controllers still join.
const LOSSES_WHILE_GROWING: usize = 1;

/// Runs cycles of random actions and losses, each followed by repairs, and returns the number of actions.
pub fn walk(setup: Setup) -> Result<usize, SafetyViolation> {
    let mut model = Model::new(setup);
    let mut rng = SeededRng::seeded(setup.seed);
    let mut actions = 0;
    for cycle in 0..CYCLES {
        let mut lost = Vec::new();
        let mut losses = losses(&model, setup, &mut rng);
        if cycle == 0 {
            losses.truncate(LOSSES_WHILE_GROWING);
        }
        let action_count = rng.below(ACTION_COUNT_BOUND);
        for _ in 0..action_count {
            take_action(&mut model, setup, &mut rng, &losses, &mut lost)?;
            actions += 1;
        }
        for number in losses {
            if !lost.contains(&number) {
                model.take_down(number);
                lost.push(number);
            }
        }
        model.deviate(Deviation::Heal)?;
        model
            .make_progress()
            .inspect_err(|_| println!("lost {lost:?}\n{}", model.describe()))?;
        for number in lost {
            repair(&mut model, &mut rng, number)?;
            for _ in 0..rng.below(20) {
                model.step_random(&mut rng)?;
            }
        }
        model
            .run_until(Model::is_settled)
            .inspect_err(|_| println!("not settled\n{}", model.describe()))?;
    }
    Ok(actions)
}

/// Chooses the machines to be lost in a cycle: random ones, or all of one zone.
fn losses(model: &Model, setup: Setup, rng: &mut SeededRng) -> Vec<usize> {
    let running = model.running();
    let zone = rng.below(setup.zones as u64) as usize;
    let in_zone: Vec<usize> = running
        .iter()
        .copied()
        .filter(|number| number % setup.zones == zone)
        .collect();
    if rng.random_bool(0.4) {
        return in_zone;
    }
    let mut losses = Vec::new();
    for _ in 0..setup.tolerance {
        let number = running[rng.below(running.len() as u64) as usize];
        if !losses.contains(&number) {
            losses.push(number);
        }
    }
    losses
}

fn take_action(
    model: &mut Model,
    setup: Setup,
    rng: &mut SeededRng,
    losses: &[usize],
    lost: &mut Vec<usize>,
) -> Result<(), SafetyViolation> {
    let running = model.running();
    let any = running[rng.below(running.len() as u64) as usize];
    match rng.below(100) {
        0..70 if !model.is_quiet() => model.step_random(rng),
        0..78 => model.advance_time(),
        78..84 => match model.leader() {
            Some(leader) => model.propose_change(leader),
            None => model.advance_time(),
        },
        84..86 => model.deviate(Deviation::Timeout(any)),
        86..89 => model.deviate(Deviation::Drop),
        89..92 => model.deviate(Deviation::Crash(any)),
        92..94 if !model.has_isolated_machine() => model.deviate(Deviation::Isolate(any)),
        94..96 => model.deviate(Deviation::Heal),
        _ => {
            let next = losses.iter().find(|number| !lost.contains(number));
            if let Some(number) = next.filter(|_| lost.len() < setup.machines) {
                lost.push(*number);
                match rng.below(4) {
                    0 => model.inject_disk_fault(*number, DiskFault::Hung),
                    1 => model.inject_disk_fault(*number, DiskFault::Full),
                    _ => model.take_down(*number),
                }
            }
            Ok(())
        }
    }
}

/// Restores a lost machine with its disk or with an empty one, or replaces it by another machine.
fn repair(model: &mut Model, rng: &mut SeededRng, number: usize) -> Result<(), SafetyViolation> {
    match rng.below(3) {
        0 => model.restore(number),
        1 => {
            model.restore(number);
            model.deviate(Deviation::Wipe(number))?;
        }
        _ => {
            model.take_down(number);
            model.add_successor(number);
        }
    }
    Ok(())
}
