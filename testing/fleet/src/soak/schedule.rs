//! The fault schedule of a soak, generated from a seed: several concurrent sequences of faults with short gaps.

use super::SoakFault;
use common::rng::SeededRng;
use std::time::Duration;

/// The shortest duration of a fault.
const SHORTEST_FAULT: Duration = Duration::from_millis(1500);
/// The longest duration of a fault.
const LONGEST_FAULT: Duration = Duration::from_millis(5000);
/// The longest gap between two successive faults of a sequence.
const LONGEST_GAP: Duration = Duration::from_millis(400);

/// Separates the random choices of the schedule from other choices with the same seed.
const SCHEDULE_SEED_MASK: u64 = 0x50a1;

/// A scheduled fault of a soak.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlannedFault {
    /// The kind of fault.
    pub fault: SoakFault,
    /// When it is injected, relative to the beginning of the soak.
    pub from: Duration,
    /// When it is undone, relative to the beginning of the soak.
    pub until: Duration,
}

/// The only faults of the first sequence: planned work.
const PLANNED_WORK: &[SoakFault] = &[
    SoakFault::StopDaemon,
    SoakFault::StopDaemons,
    SoakFault::StopController,
    SoakFault::SignalSeries,
    SoakFault::Reload,
    SoakFault::ChangeSpec,
    SoakFault::UnreadableSpecs,
];

/// Generates the faults of a soak in `lanes` concurrent sequences, sorted by start time. The first sequence consists of
/// planned work only: stops, restarts, signals and changes in quick succession.
pub fn draw_schedule(seed: u64, lanes: usize, duration: Duration) -> Vec<PlannedFault> {
    let mut rng = SeededRng::seeded(seed ^ SCHEDULE_SEED_MASK);
    let mut planned_faults = Vec::new();
    for lane in 0..lanes {
        let (faults, longest) = if lane == 0 {
            (PLANNED_WORK, SHORTEST_FAULT)
        } else {
            (SoakFault::ALL, LONGEST_FAULT)
        };
        draw_lane(&mut rng, faults, longest, duration, &mut planned_faults);
    }
    planned_faults.sort_by_key(|planned| (planned.from, planned.until));
    planned_faults
}

fn draw_lane(
    rng: &mut SeededRng,
    faults: &[SoakFault],
    longest: Duration,
    duration: Duration,
    planned_faults: &mut Vec<PlannedFault>,
) {
    let shortest = SHORTEST_FAULT.min(longest / 2);
    let mut from = rng.within(Duration::ZERO, LONGEST_GAP);
    loop {
        let until = from + rng.within(shortest, longest);
        if until > duration {
            return;
        }
        let fault = faults[rng.below(faults.len() as u64) as usize];
        planned_faults.push(PlannedFault { fault, from, until });
        from = until + rng.within(Duration::ZERO, LONGEST_GAP);
    }
}

/// Returns the largest number of faults that are active at the same time.
pub fn max_concurrent(planned_faults: &[PlannedFault]) -> usize {
    let at_once = |offset: Duration| {
        planned_faults
            .iter()
            .filter(|planned| planned.from <= offset && offset < planned.until)
            .count()
    };
    planned_faults
        .iter()
        .map(|planned| at_once(planned.from))
        .max()
        .unwrap_or(0)
}
