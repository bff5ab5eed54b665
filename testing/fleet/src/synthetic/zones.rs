//! The zones of a synthetic fleet and the network delays between them.

use common::identity::Zone;
use std::time::Duration;

const ZONES: usize = 10;
const REGIONS: usize = 3;

/// The zone of a machine. There are ten zones in three regions, to which machines are assigned in turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ZoneNumber(usize);

impl ZoneNumber {
    /// Returns the zone of the machine with this number.
    pub(crate) fn of(number: usize) -> Self {
        Self(number % ZONES)
    }

    /// Returns the zone under the name that it has in settings and frames.
    pub(crate) fn zone(self) -> Zone {
        format!("region-{}-zone-{}", self.0 % REGIONS + 1, self.0 + 1).into()
    }

    /// Returns the delay of a message to another machine: 0.5 ms within a zone, 2 ms within a region, and 35 ms between
    /// regions.
    pub(crate) fn delay_to(self, other: ZoneNumber) -> Duration {
        if self == other {
            Duration::from_micros(500)
        } else if self.0 % REGIONS == other.0 % REGIONS {
            Duration::from_millis(2)
        } else {
            Duration::from_millis(35)
        }
    }
}
