//! A seeded random number generator, which makes simulated runs reproducible.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A generator whose numbers depend only on its seed. Not suitable for cryptography.
#[derive(Clone, Debug)]
pub struct SeededRng {
    rng: SmallRng,
}

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates a generator seeded by the operating system, for deployed processes.
    pub fn from_os() -> Self {
        Self {
            rng: SmallRng::from_os_rng(),
        }
    }

    /// Returns a random 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns a random number below the bound; zero for a bound of zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.rng.random_range(0..bound)
        }
    }

    /// Returns true with the given probability, from 0 to 1.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Returns a random duration between the two bounds, both included.
    pub fn within(&mut self, shortest: Duration, longest: Duration) -> Duration {
        let spread_nanos = longest.saturating_sub(shortest).as_nanos() as u64;
        shortest + Duration::from_nanos(self.below(spread_nanos + 1))
    }

    /// Returns a random number from zero (included) to one (excluded).
    pub fn fraction(&mut self) -> f64 {
        self.rng.random()
    }
}
