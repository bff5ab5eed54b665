//! A random number generator with a seed, so that a simulated run can be replayed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A generator whose numbers depend on its seed alone. Not for cryptography.
#[derive(Clone, Debug)]
pub struct SeededRng {
    source_rng: SmallRng,
}

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            source_rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates a generator seeded by the operating system, for deployed processes.
    pub fn from_os() -> Self {
        Self {
            source_rng: SmallRng::from_os_rng(),
        }
    }

    /// Returns any 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.source_rng.random()
    }

    /// Returns a number below the bound; zero for a bound of zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.source_rng.random_range(0..bound)
        }
    }

    /// Returns true with the given probability, from 0 to 1.
    pub fn random_bool(&mut self, fraction: f64) -> bool {
        self.source_rng.random::<f64>() < fraction
    }

    /// Returns a duration between the two bounds, both included.
    pub fn within(&mut self, shortest: Duration, longest: Duration) -> Duration {
        let spread_nanos = longest.saturating_sub(shortest).as_nanos() as u64;
        shortest + Duration::from_nanos(self.below(spread_nanos + 1))
    }

    /// Returns a number from zero (included) to one (excluded).
    pub fn fraction(&mut self) -> f64 {
        self.source_rng.random()
    }
}
