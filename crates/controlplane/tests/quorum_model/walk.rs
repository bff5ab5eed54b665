//! Long random runs: losses up to what is tolerated, cuts, repairs and replacements.

use super::history::Breach;
use super::model::{Deviation, DiskTrouble, Model, Setup};
use common::chance::Chance;

const ROUNDS: usize = 4;
const ACTIONS: u64 = 250;

/// The first round begins with the three founders, and more voters join in the midst of it.
const LOSSES_WHILE_GROWING: usize = 1;

/// Walks through rounds of losses, each with its repair; says how many events were carried out.
pub fn walk(setup: Setup) -> Result<usize, Breach> {
    let mut model = Model::new(setup);
    let mut chance = Chance::seeded(setup.seed);
    let mut actions = 0;
    for round in 0..ROUNDS {
        let mut lost = Vec::new();
        let mut losses = losses(&model, setup, &mut chance);
        if round == 0 {
            losses.truncate(LOSSES_WHILE_GROWING);
        }
        let most_actions = chance.below(ACTIONS);
        for _ in 0..most_actions {
            act(&mut model, setup, &mut chance, &losses, &mut lost)?;
            actions += 1;
        }
        for number in losses {
            if !lost.contains(&number) {
                model.lose(number);
                lost.push(number);
            }
        }
        model.deviate(Deviation::Heal)?;
        model.make_progress().inspect_err(|_| println!("lost {lost:?}\n{}", model.describe()))?;
        for number in lost {
            repair(&mut model, &mut chance, number)?;
            for _ in 0..chance.below(20) {
                model.step_any(&mut chance)?;
            }
        }
        model
            .run_until(Model::is_settled)
            .inspect_err(|_| println!("not settled\n{}", model.describe()))?;
    }
    Ok(actions)
}

/// Which machines are lost in a round: some by chance, or all of a zone.
fn losses(model: &Model, setup: Setup, chance: &mut Chance) -> Vec<usize> {
    let running = model.running();
    let zone = chance.below(setup.zones as u64) as usize;
    let of_zone: Vec<usize> =
        running.iter().copied().filter(|number| number % setup.zones == zone).collect();
    if chance.happens(0.4) {
        return of_zone;
    }
    let mut losses = Vec::new();
    for _ in 0..setup.tolerance {
        let number = running[chance.below(running.len() as u64) as usize];
        if !losses.contains(&number) {
            losses.push(number);
        }
    }
    losses
}

fn act(
    model: &mut Model,
    setup: Setup,
    chance: &mut Chance,
    losses: &[usize],
    lost: &mut Vec<usize>,
) -> Result<(), Breach> {
    let running = model.running();
    let any = running[chance.below(running.len() as u64) as usize];
    match chance.below(100) {
        0..70 if !model.is_quiet() => model.step_any(chance),
        0..78 => model.pass(),
        78..84 => match model.leader() {
            Some(leader) => model.order(leader),
            None => model.pass(),
        },
        84..86 => model.deviate(Deviation::Timeout(any)),
        86..89 => model.deviate(Deviation::Drop),
        89..92 => model.deviate(Deviation::Crash(any)),
        92..94 if !model.is_cut() => model.deviate(Deviation::Isolate(any)),
        94..96 => model.deviate(Deviation::Heal),
        _ => {
            let next = losses.iter().find(|number| !lost.contains(number));
            if let Some(number) = next.filter(|_| lost.len() < setup.machines) {
                lost.push(*number);
                match chance.below(4) {
                    0 => model.trouble_disk(*number, DiskTrouble::Hung),
                    1 => model.trouble_disk(*number, DiskTrouble::Full),
                    _ => model.lose(*number),
                }
            }
            Ok(())
        }
    }
}

/// A lost machine comes back with its disk, or with an empty one, or another one in its place.
fn repair(model: &mut Model, chance: &mut Chance, number: usize) -> Result<(), Breach> {
    match chance.below(3) {
        0 => model.bring_back(number),
        1 => {
            model.bring_back(number);
            model.deviate(Deviation::Wipe(number))?;
        }
        _ => {
            model.lose(number);
            model.add_successor(number);
        }
    }
    Ok(())
}
