//! Every way in which a bounded number of deviations can fall into a quiet run.

use super::history::Breach;
use super::model::{Deviation, Model, Setup};
use std::collections::HashSet;

const LONGEST_WITHOUT_LEADER: usize = 60;

/// How far the exploration goes.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// How many deviations a run may have.
    pub deviations: usize,
    /// Within how many steps one deviation follows another.
    pub window: usize,
    /// How many orders are given.
    pub orders: usize,
}

/// What was explored.
#[derive(Clone, Copy, Default, Debug)]
pub struct Explored {
    /// States that differ from each other.
    pub states: usize,
    /// Runs that came to their end.
    pub runs: usize,
}

/// A breach, and the deviations that led to it, with the step at which each came.
pub type Found = (Breach, Vec<(usize, Deviation)>);

#[derive(Clone)]
struct Run {
    model: Model,
    orders_left: usize,
    steps: usize,
    leaderless: usize,
    deviations: Vec<(usize, Deviation)>,
}

/// Explores all runs within the bound; the first breach ends it.
pub fn explore(setup: Setup, bound: Bound) -> (Explored, Option<Found>) {
    let mut explored = Explored::default();
    let mut known_states = HashSet::new();
    let first = Run {
        model: Model::new(setup),
        orders_left: bound.orders,
        steps: 0,
        leaderless: 0,
        deviations: Vec::new(),
    };
    let mut open_runs = vec![first];
    while let Some(run) = open_runs.pop() {
        let state = (run.model.fingerprint(), run.orders_left, run.deviations.len(), run.steps);
        if !known_states.insert(state) {
            continue;
        }
        explored.states += 1;
        for deviation in deviations_at(&run, bound) {
            let mut deviating = run.clone();
            deviating.deviations.push((run.steps, deviation));
            match deviating.model.deviate(deviation) {
                Ok(()) => open_runs.push(deviating),
                Err(breach) => return (explored, Some((breach, deviating.deviations))),
            }
        }
        let deviations = run.deviations.clone();
        match advance(run) {
            Ok(Some(next)) => open_runs.push(next),
            Ok(None) => explored.runs += 1,
            Err(breach) => return (explored, Some((breach, deviations))),
        }
    }
    (explored, None)
}

fn deviations_at(run: &Run, bound: Bound) -> Vec<Deviation> {
    let is_late =
        run.deviations.last().is_some_and(|(last_step, _)| run.steps - last_step > bound.window);
    if run.deviations.len() >= bound.deviations || is_late {
        return Vec::new();
    }
    let running = run.model.running();
    let mut deviations: Vec<Deviation> = running.iter().copied().map(Deviation::Crash).collect();
    deviations.extend(running.iter().copied().map(Deviation::Timeout));
    if run.model.wipes() == 0 {
        deviations.extend(running.iter().copied().map(Deviation::Wipe));
    }
    if run.model.is_cut() {
        deviations.push(Deviation::Heal);
    } else {
        deviations.extend(running.iter().copied().map(Deviation::Isolate));
    }
    if !run.model.is_quiet() {
        deviations.push(Deviation::Drop);
    }
    if run.model.events_under_way() > 1 {
        deviations.push(Deviation::Delay);
    }
    deviations
}

/// One more step of a run without deviation; nothing when it has come to its end.
fn advance(mut run: Run) -> Result<Option<Run>, Breach> {
    run.steps += 1;
    if !run.model.is_quiet() {
        run.model.step()?;
        return Ok(Some(run));
    }
    match run.model.leader() {
        Some(leader) if run.orders_left > 0 => {
            run.orders_left -= 1;
            run.leaderless = 0;
            run.model.order(leader)?;
        }
        Some(_) => {
            run.model.deviate(Deviation::Heal)?;
            run.model.make_progress()?;
            return Ok(None);
        }
        None if run.leaderless == LONGEST_WITHOUT_LEADER => {
            run.leaderless = 0;
            run.model.deviate(Deviation::Heal)?;
            run.model.pass()?;
        }
        None => {
            run.leaderless += 1;
            run.model.pass()?;
        }
    }
    Ok(Some(run))
}
