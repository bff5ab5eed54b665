//! The zones of a synthetic fleet, and the delays between them.

use common::identity::Zone;
use std::time::Duration;

const ZONES: usize = 10;
const REGIONS: usize = 3;

/// A machine's zone and region: ten zones in three regions, machines dealt out in turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ZoneNumber(usize);

impl ZoneNumber {
    /// The zone of the machine of a number.
    pub fn of(number: usize) -> Self {
        Self(number % ZONES)
    }

    /// The zone that stands for it.
    pub fn zone(self) -> Zone {
        format!("region-{}-zone-{}", self.0 % REGIONS + 1, self.0 + 1).into()
    }

    /// How long a message takes to another zone: half a millisecond inside one, two in a region, and
    /// thirty-five between regions.
    pub fn delay_to(self, other: ZoneNumber) -> Duration {
        if self == other {
            Duration::from_micros(500)
        } else if self.0 % REGIONS == other.0 % REGIONS {
            Duration::from_millis(2)
        } else {
            Duration::from_millis(35)
        }
    }
}
