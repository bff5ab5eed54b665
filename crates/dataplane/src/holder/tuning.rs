//! Settings of a holder that operators may change.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// A holder's settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug, TypedBuilder)]
pub struct Tuning {
    /// The extra tries of ten seconds, in hundredths of the first ones.
    #[builder(default = 20)]
    pub tries_percent: u64,
    /// The extra tries of ten seconds beside that share.
    #[builder(default = 3)]
    pub tries_allowance: u64,
    /// Whether a new holder has that allowance at once, and not only after ten seconds.
    #[builder(default = false)]
    pub tries_allowance_at_once: bool,
    /// A start costs as much as keeping a runner for so many boot times: the last runner is stopped after
    /// these without a transaction; 0 keeps it.
    #[builder(default = 0)]
    pub idle_boots: u32,
    /// Where it is set, the last runner of a rarely called function is stopped after this span already.
    #[builder(default = None)]
    pub idle_rare: Option<Duration>,
    /// Whether runners can be asked what they are running.
    #[builder(default = true)]
    pub settles: bool,
    /// Over which span calls are counted.
    #[builder(default = Duration::from_millis(500))]
    pub rise: Duration,
    /// The margin of slots over the load, in hundredths of the load's root.
    #[builder(default = 100)]
    pub margin_percent: u32,
    /// How slowly the wish for runners falls after a crowd.
    #[builder(default = Duration::from_secs(10))]
    pub fall: Duration,
    /// From one extra runner's drain to the next.
    #[builder(default = Duration::from_secs(1))]
    pub drain_every: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}
