//! When which troubles begin and end: drawn from a seed, so that two or three always overlap.

use super::Trouble;
use common::chance::Chance;
use std::time::Duration;

/// The shortest time that a trouble lasts.
const SHORTEST: Duration = Duration::from_millis(1500);
/// The longest time that a trouble lasts.
const LONGEST: Duration = Duration::from_millis(5000);
/// The longest time before a trouble that has ended is followed by the next.
const LONGEST_REST: Duration = Duration::from_millis(400);

/// One trouble of a soak.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Planned {
    /// What.
    pub trouble: Trouble,
    /// When it begins, from the beginning of the soak.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Draws the troubles of a soak, by when they begin: `lanes` of them at a time.
pub fn drawn(seed: u64, lanes: usize, lasts: Duration) -> Vec<Planned> {
    let mut chance = Chance::seeded(seed ^ 0x50a1);
    let mut all_planned = Vec::new();
    for _ in 0..lanes {
        let mut from = chance.within(Duration::ZERO, LONGEST_REST);
        loop {
            let until = from + chance.within(SHORTEST, LONGEST);
            if until > lasts {
                break;
            }
            let trouble = Trouble::ALL[chance.below(Trouble::ALL.len() as u64) as usize];
            all_planned.push(Planned { trouble, from, until });
            from = until + chance.within(Duration::ZERO, LONGEST_REST);
        }
    }
    all_planned.sort_by_key(|planned| (planned.from, planned.until));
    all_planned
}

/// The most troubles that overlap at any moment.
pub fn most_at_once(all_planned: &[Planned]) -> usize {
    let at_once = |moment: Duration| {
        all_planned.iter().filter(|held| held.from <= moment && moment < held.until).count()
    };
    all_planned.iter().map(|planned| at_once(planned.from)).max().unwrap_or(0)
}
