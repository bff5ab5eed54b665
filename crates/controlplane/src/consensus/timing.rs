use std::time::Duration;
use typed_builder::TypedBuilder;

/// The core's times.
#[derive(Clone, Debug, TypedBuilder)]
pub struct ConsensusTiming {
    /// From one round of the leader to the next.
    #[builder(default = Duration::from_millis(100))]
    pub heartbeat_interval: Duration,
    /// From one round to another that somebody waits for, at least.
    #[builder(default = Duration::from_millis(20))]
    pub min_heartbeat_gap: Duration,
    /// The shortest wait of a controller that has just started, before a trial.
    #[builder(default = Duration::from_millis(60))]
    pub startup_timeout_min: Duration,
    /// The longest wait of a controller that has just started, before a trial.
    #[builder(default = Duration::from_millis(250))]
    pub startup_timeout_max: Duration,
    /// The shortest election timeout.
    #[builder(default = Duration::from_millis(500))]
    pub election_timeout_min: Duration,
    /// The longest election timeout.
    #[builder(default = Duration::from_millis(900))]
    pub election_timeout_max: Duration,
    /// From one greeting of the other controllers to the next.
    #[builder(default = Duration::from_millis(500))]
    pub hello_interval: Duration,
    /// How long a member is silent before another controller takes its place.
    #[builder(default = Duration::from_secs(8))]
    pub unreachable_voter_timeout: Duration,
    /// How long a voter takes no newer version, though it is heard, before another takes its place.
    #[builder(default = Duration::from_secs(4))]
    pub stalled_voter_timeout: Duration,
    /// From one reading of all kept files to the next.
    #[builder(default = Duration::from_secs(20))]
    pub scrub_interval: Duration,
    /// Before a version is sent again to a member that did not say it has it.
    #[builder(default = Duration::from_millis(400))]
    pub resend_timeout: Duration,
}
