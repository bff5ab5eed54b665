//! Bounded exhaustive exploration: tries every way in which a limited number of deviations can occur in an
//! otherwise undisturbed run.

use super::history::SafetyViolation;
use super::model::{Deviation, Model, Setup};
use std::collections::HashSet;

/// How often time is advanced without a leader before all machines are connected again.
const MAX_STEPS_WITHOUT_LEADER: usize = 60;

/// The bounds of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct ExplorationBounds {
    /// The maximal number of deviations in a run.
    pub deviations: usize,
    /// The maximal number of steps between one deviation and the next.
    pub window: usize,
    /// The number of changes proposed in a run.
    pub changes: usize,
}

/// The extent of an exploration.
#[derive(Clone, Copy, Default, Debug)]
pub struct ExplorationCounts {
    /// Distinct states.
    pub states: usize,
    /// Completed runs.
    pub runs: usize,
}

/// A violation, and the deviations that led to it, each with its step.
pub type ViolatingRun = (SafetyViolation, Vec<(usize, Deviation)>);

#[derive(Clone)]
struct Run {
    model: Model,
    remaining_changes: usize,
    steps: usize,
    steps_without_leader: usize,
    deviations: Vec<(usize, Deviation)>,
}

/// Explores all runs within the bounds, until the first violation.
pub fn explore(
    setup: Setup,
    bounds: ExplorationBounds,
) -> (ExplorationCounts, Option<ViolatingRun>) {
    let mut counts = ExplorationCounts::default();
    let mut known_states = HashSet::new();
    let first = Run {
        model: Model::new(setup),
        remaining_changes: bounds.changes,
        steps: 0,
        steps_without_leader: 0,
        deviations: Vec::new(),
    };
    let mut open_runs = vec![first];
    while let Some(run) = open_runs.pop() {
        let state = (
            run.model.fingerprint(),
            run.remaining_changes,
            run.deviations.len(),
            run.steps,
        );
        if !known_states.insert(state) {
            continue;
        }
        counts.states += 1;
        for deviation in deviations_at(&run, bounds) {
            let mut deviating = run.clone();
            deviating.deviations.push((run.steps, deviation));
            match deviating.model.deviate(deviation) {
                Ok(()) => open_runs.push(deviating),
                Err(violation) => return (counts, Some((violation, deviating.deviations))),
            }
        }
        let deviations = run.deviations.clone();
        match advance(run) {
            Ok(Some(next)) => open_runs.push(next),
            Ok(None) => counts.runs += 1,
            Err(violation) => return (counts, Some((violation, deviations))),
        }
    }
    (counts, None)
}

fn deviations_at(run: &Run, bounds: ExplorationBounds) -> Vec<Deviation> {
    let is_late = run
        .deviations
        .last()
        .is_some_and(|(last_step, _)| run.steps - last_step > bounds.window);
    if run.deviations.len() >= bounds.deviations || is_late {
        return Vec::new();
    }
    let running = run.model.running();
    let mut deviations: Vec<Deviation> = running.iter().copied().map(Deviation::Crash).collect();
    deviations.extend(running.iter().copied().map(Deviation::Timeout));
    if run.model.wipes() == 0 {
        deviations.extend(running.iter().copied().map(Deviation::Wipe));
    }
    if run.model.has_isolated_machine() {
        deviations.push(Deviation::Heal);
    } else {
        deviations.extend(running.iter().copied().map(Deviation::Isolate));
    }
    if !run.model.is_quiet() {
        deviations.push(Deviation::Drop);
    }
    if run.model.events_in_flight() > 1 {
        deviations.push(Deviation::Delay);
    }
    deviations
}

/// Advances a run by one step without a deviation. Returns `None` if the run is complete.
fn advance(mut run: Run) -> Result<Option<Run>, SafetyViolation> {
    run.steps += 1;
    if !run.model.is_quiet() {
        run.model.step()?;
        return Ok(Some(run));
    }
    match run.model.leader() {
        Some(leader) if run.remaining_changes > 0 => {
            run.remaining_changes -= 1;
            run.steps_without_leader = 0;
            run.model.propose_change(leader)?;
        }
        Some(_) => {
            run.model.deviate(Deviation::Heal)?;
            run.model.make_progress()?;
            return Ok(None);
        }
        None if run.steps_without_leader == MAX_STEPS_WITHOUT_LEADER => {
            run.steps_without_leader = 0;
            run.model.deviate(Deviation::Heal)?;
            run.model.advance_time()?;
        }
        None => {
            run.steps_without_leader += 1;
            run.model.advance_time()?;
        }
    }
    Ok(Some(run))
}
