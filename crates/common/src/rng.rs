//! Seeded chance, so that a run can be replayed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A source of chance that only its seed decides.
#[derive(Clone, Debug)]
pub struct SeededRng {
    source_rng: SmallRng,
}

impl SeededRng {
    /// Chance from a seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            source_rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chance from the operating system, for deployed processes.
    pub fn from_os() -> Self {
        Self {
            source_rng: SmallRng::from_os_rng(),
        }
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.source_rng.random()
    }

    /// A number below the bound; zero for a bound of zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.source_rng.random_range(0..bound)
        }
    }

    /// True in the given share of cases.
    pub fn random_bool(&mut self, fraction: f64) -> bool {
        self.source_rng.random::<f64>() < fraction
    }

    /// A duration within the two bounds.
    pub fn within(&mut self, shortest: Duration, longest: Duration) -> Duration {
        let spread_nanos = longest.saturating_sub(shortest).as_nanos() as u64;
        shortest + Duration::from_nanos(self.below(spread_nanos + 1))
    }

    /// A number between zero and one.
    pub fn fraction(&mut self) -> f64 {
        self.source_rng.random()
    }
}
