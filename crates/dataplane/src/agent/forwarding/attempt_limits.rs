//! How often a request may be sent to runners.

use common::identity::Version;
use common::spec::RouteSpec;

/// The version named in a message about a request that was matched by several specs with different limits. No installed
/// spec has it, so the holder sends the request to one runner only.
pub(super) const NO_COMMON_VERSION: Version = Version(0);

/// How often a request may be sent to runners: as often as every spec allows that has matched it so far. A request that
/// was accepted as once-only stays so, even if a later spec makes its route repeatable, and the other way round.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptLimits {
    /// Whether it may run only once.
    pub once: bool,
    /// The maximum number of runners that it may be sent to.
    pub max_attempts: u32,
}

impl AttemptLimits {
    /// The limits of a request about which nothing is known.
    pub const UNLIMITED: Self = Self {
        once: false,
        max_attempts: u32::MAX,
    };

    /// Returns the limits that a route sets.
    pub fn of_route(route: &RouteSpec) -> Self {
        Self {
            once: route.once,
            max_attempts: route.max_attempts,
        }
    }

    /// Returns the limits that keep both these and others.
    pub fn restricted_by(self, other: Self) -> Self {
        Self {
            once: self.once || other.once,
            max_attempts: self.max_attempts.min(other.max_attempts),
        }
    }

    /// Returns how many runners may run the request.
    pub fn max_runs(self) -> u32 {
        if self.once { 1 } else { self.max_attempts }
    }
}
