//! When which troubles begin and end: drawn from a seed, so that two or three always overlap.

use super::SoakFault;
use common::rng::SeededRng;
use std::time::Duration;

/// The shortest time that a trouble lasts.
const SHORTEST_FAULT: Duration = Duration::from_millis(1500);
/// The longest time that a trouble lasts.
const LONGEST_FAULT: Duration = Duration::from_millis(5000);
/// The longest time before a trouble that has ended is followed by the next.
const LONGEST_GAP: Duration = Duration::from_millis(400);

/// One trouble of a soak.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PlannedFault {
    /// What.
    pub fault: SoakFault,
    /// When it begins, from the beginning of the soak.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Draws the troubles of a soak, by when they begin: `lanes` of them at a time.
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

/// The most troubles that overlap at any moment.
pub fn max_concurrent(planned_faults: &[PlannedFault]) -> usize {
    let at_once = |offset: Duration| {
        planned_faults
            .iter()
            .filter(|held| held.from <= offset && offset < held.until)
            .count()
    };
    planned_faults
        .iter()
        .map(|planned| at_once(planned.from))
        .max()
        .unwrap_or(0)
}
