use std::time::Duration;
use waymark::identity::Locality;

const ZONES: usize = 10;
const REGIONS: usize = 3;

/// A machine's zone and region: ten zones in three regions, machines dealt out in turn.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Zone(usize);

impl Zone {
    /// The zone of the machine of a number.
    pub fn of(number: usize) -> Self {
        Self(number % ZONES)
    }

    /// The locality that stands for it.
    pub fn locality(self) -> Locality {
        format!("region-{}-zone-{}", self.0 % REGIONS + 1, self.0 + 1).into()
    }

    /// How long a message takes to another zone: half a millisecond inside one, two in a region, and
    /// thirty-five between regions.
    pub fn delay_to(self, other: Zone) -> Duration {
        if self == other {
            Duration::from_micros(500)
        } else if self.0 % REGIONS == other.0 % REGIONS {
            Duration::from_millis(2)
        } else {
            Duration::from_millis(35)
        }
    }
}
