//! The settings of a holder that operators can change.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// The settings of a holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug, TypedBuilder)]
pub struct Tuning {
    /// The number of retries allowed within ten seconds, in percent of the first attempts.
    #[builder(default = 20)]
    pub retry_percent: u64,
    /// The number of retries allowed within ten seconds in addition to that share.
    #[builder(default = 3)]
    pub retry_allowance: u64,
    /// Whether the allowance applies to a new holder immediately rather than after ten seconds.
    #[builder(default = false)]
    pub retry_allowance_immediate: bool,
    /// The cost of a cold start, in start-up times of a retained runner. The last runner is stopped after that time
    /// without a request; 0 retains it indefinitely.
    #[builder(default = 0)]
    pub idle_startups: u32,
    /// If set, the idle time after which the last runner of a rarely called function is stopped.
    #[builder(default = None)]
    pub rare_idle_limit: Option<Duration>,
    /// The costs of a cold start and of a late response. If set, takes precedence over `idle_startups` and
    /// `rare_idle_limit`.
    #[builder(default = None)]
    pub idle_cost: Option<IdleCost>,
    /// Whether runners can list the requests that they are running.
    #[builder(default = true)]
    pub lists_running: bool,
    /// The time constant over which the call rate is measured.
    #[builder(default = Duration::from_millis(500))]
    pub rate_window: Duration,
    /// The margin of slots above the load, in percent of the square root of the load.
    #[builder(default = 100)]
    pub margin_percent: u32,
    /// The time constant with which the measured demand decays after a peak. The default is four start-up times, since
    /// a runner removed too early costs another start-up, but at least half a second.
    #[builder(default, setter(strip_option))]
    pub decay: Option<Duration>,
    /// The interval between drains of excess runners. The default is two fifths of a start-up time, but at
    /// least a tenth of a second.
    #[builder(default, setter(strip_option))]
    pub drain_interval: Option<Duration>,
}

/// Default of [`Tuning::decay`], in start-up times.
const DECAY_STARTUPS: f64 = 4.0;
/// Lower bound of that default.
const MIN_DECAY: Duration = Duration::from_millis(500);
/// Default of [`Tuning::drain_interval`], in start-up times.
const DRAIN_INTERVAL_STARTUPS: f64 = 0.4;
/// Lower bound of that default.
const MIN_DRAIN_INTERVAL: Duration = Duration::from_millis(100);

impl Tuning {
    /// Returns the time constant with which the demand decays, for runners with this start-up time.
    pub fn decay_time(&self, startup: Duration) -> Duration {
        self.decay
            .unwrap_or_else(|| startup.mul_f64(DECAY_STARTUPS).max(MIN_DECAY))
    }

    /// Returns the interval between drains of excess runners, for runners with this start-up time.
    pub fn drain_interval_for(&self, startup: Duration) -> Duration {
        self.drain_interval.unwrap_or_else(|| {
            startup
                .mul_f64(DRAIN_INTERVAL_STARTUPS)
                .max(MIN_DRAIN_INTERVAL)
        })
    }
}

/// The costs that are weighed against the memory of an idle runner, in megabyte seconds. Operators derive them from
/// their prices.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IdleCost {
    /// The cost of a cold start, in addition to the memory that the runner takes during start-up.
    pub start_cost_mb_s: u32,
    /// The cost of a late response.
    pub late_cost_mb_s: u32,
}

impl Default for IdleCost {
    fn default() -> Self {
        Self {
            start_cost_mb_s: 300,
            late_cost_mb_s: 700,
        }
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}
