use std::time::Duration;
use typed_builder::TypedBuilder;

/// The core's times.
#[derive(Clone, Debug, TypedBuilder)]
pub struct CoreTiming {
    /// From one round of the leader to the next.
    #[builder(default = Duration::from_millis(100))]
    pub round_every: Duration,
    /// From one round to another that somebody waits for, at least.
    #[builder(default = Duration::from_millis(20))]
    pub round_gap: Duration,
    /// The shortest wait of a controller that has just started, before a trial.
    #[builder(default = Duration::from_millis(60))]
    pub early_shortest: Duration,
    /// The longest wait of a controller that has just started, before a trial.
    #[builder(default = Duration::from_millis(250))]
    pub early_longest: Duration,
    /// The shortest election timeout.
    #[builder(default = Duration::from_millis(500))]
    pub election_shortest: Duration,
    /// The longest election timeout.
    #[builder(default = Duration::from_millis(900))]
    pub election_longest: Duration,
    /// From one greeting of the other controllers to the next.
    #[builder(default = Duration::from_millis(500))]
    pub hello_every: Duration,
    /// How long a member is silent before another controller takes its place.
    #[builder(default = Duration::from_secs(8))]
    pub replace_after: Duration,
    /// How long a voter takes no newer version, though it is heard, before another takes its place.
    #[builder(default = Duration::from_secs(4))]
    pub stuck_after: Duration,
    /// From one reading of all kept files to the next.
    #[builder(default = Duration::from_secs(20))]
    pub scrub_every: Duration,
    /// Before a version is sent again to a member that did not say it has it.
    #[builder(default = Duration::from_millis(400))]
    pub resend_after: Duration,
}
