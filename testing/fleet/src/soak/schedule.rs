//! The schedule of faults in a soak, drawn from a seed: several concurrent sequences with short gaps.

use super::SoakFault;
use common::rng::SeededRng;
use std::time::Duration;

/// The shortest duration of a fault.
const SHORTEST_FAULT: Duration = Duration::from_millis(1500);
/// The longest duration of a fault.
const LONGEST_FAULT: Duration = Duration::from_millis(5000);
/// The longest gap between a fault and the next in its sequence.
const LONGEST_GAP: Duration = Duration::from_millis(400);

/// One fault of a soak and its time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlannedFault {
    /// The kind of fault.
    pub fault: SoakFault,
    /// When it is injected, from the beginning of the soak.
    pub from: Duration,
    /// When it is undone, from the beginning of the soak.
    pub until: Duration,
}

/// Draws the faults of a soak in `lanes` concurrent sequences, sorted by when they begin.
pub fn draw_schedule(seed: u64, lanes: usize, lasts: Duration) -> Vec<PlannedFault> {
    let mut rng = SeededRng::seeded(seed ^ 0x50a1);
    let mut planned_faults = Vec::new();
    for _ in 0..lanes {
        let mut from = rng.within(Duration::ZERO, LONGEST_GAP);
        loop {
            let until = from + rng.within(SHORTEST_FAULT, LONGEST_FAULT);
            if until > lasts {
                break;
            }
            let fault = SoakFault::ALL[rng.below(SoakFault::ALL.len() as u64) as usize];
            planned_faults.push(PlannedFault { fault, from, until });
            from = until + rng.within(Duration::ZERO, LONGEST_GAP);
        }
    }
    planned_faults.sort_by_key(|planned| (planned.from, planned.until));
    planned_faults
}

/// The largest number of faults at the same time.
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
