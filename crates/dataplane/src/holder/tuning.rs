//! Settings of a holder that operators may change.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// A holder's settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug, TypedBuilder)]
pub struct Tuning {
    /// The extra tries of ten seconds, in hundredths of the first ones.
    #[builder(default = 20)]
    pub retry_percent: u64,
    /// The extra tries of ten seconds beside that share.
    #[builder(default = 3)]
    pub retry_allowance: u64,
    /// Whether a new holder has that allowance at once, and not only after ten seconds.
    #[builder(default = false)]
    pub retry_allowance_immediate: bool,
    /// A start costs as much as keeping a runner for so many boot times: the last runner is stopped after
    /// these without a transaction; 0 keeps it.
    #[builder(default = 0)]
    pub idle_startups: u32,
    /// Where it is set, the last runner of a rarely called function is stopped after this span already.
    #[builder(default = None)]
    pub rare_idle_limit: Option<Duration>,
    /// Where it is set, it goes before the two above: what a start and a late answer are worth, in memory kept.
    #[builder(default = None)]
    pub idle_cost: Option<IdleCost>,
    /// Whether runners can be asked what they are running.
    #[builder(default = true)]
    pub lists_running: bool,
    /// Over which span calls are counted.
    #[builder(default = Duration::from_millis(500))]
    pub rate_window: Duration,
    /// The margin of slots over the load, in hundredths of the load's root.
    #[builder(default = 100)]
    pub margin_percent: u32,
    /// How slowly the wish for runners falls after a crowd; as long as four boots where it is not set, since a
    /// runner given up too early costs a boot.
    #[builder(default, setter(strip_option))]
    pub decay: Option<Duration>,
    /// From one extra runner's drain to the next; two fifths of a boot where it is not set.
    #[builder(default, setter(strip_option))]
    pub drain_interval: Option<Duration>,
}

const DECAY_STARTUPS: f64 = 4.0;
const MIN_DECAY: Duration = Duration::from_millis(500);
const DRAIN_INTERVAL_STARTUPS: f64 = 0.4;
const MIN_DRAIN_INTERVAL: Duration = Duration::from_millis(100);

impl Tuning {
    /// How slowly the wish for runners that boot for so long falls after a crowd.
    pub fn decay_time(&self, startup: Duration) -> Duration {
        self.decay
            .unwrap_or_else(|| startup.mul_f64(DECAY_STARTUPS).max(MIN_DECAY))
    }

    /// From one extra runner's drain to the next.
    pub fn drain_interval_for(&self, startup: Duration) -> Duration {
        self.drain_interval.unwrap_or_else(|| {
            startup
                .mul_f64(DRAIN_INTERVAL_STARTUPS)
                .max(MIN_DRAIN_INTERVAL)
        })
    }
}

/// What is weighed against the memory of a runner that nobody calls, in megabyte seconds: whoever pays for these says
/// so by the settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IdleCost {
    /// A start, beside the memory that it takes while it boots.
    pub start_cost_mb_s: u32,
    /// An answer that comes late.
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
