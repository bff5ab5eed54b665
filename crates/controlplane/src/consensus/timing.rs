//! The time constants of the consensus.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// The time constants of the consensus.
#[derive(Clone, Debug, TypedBuilder)]
pub struct ConsensusTiming {
    /// The time between two heartbeat rounds of the leader.
    #[builder(default = Duration::from_millis(100))]
    pub heartbeat_interval: Duration,
    /// The minimal time between two heartbeat rounds when a caller is waiting for the second one.
    #[builder(default = Duration::from_millis(20))]
    pub min_heartbeat_gap: Duration,
    /// The shortest wait before a pre-vote of a voter that has just started.
    #[builder(default = Duration::from_millis(60))]
    pub startup_timeout_min: Duration,
    /// The longest wait before a pre-vote of a voter that has just started.
    #[builder(default = Duration::from_millis(250))]
    pub startup_timeout_max: Duration,
    /// The shortest election timeout.
    #[builder(default = Duration::from_millis(500))]
    pub election_timeout_min: Duration,
    /// The longest election timeout.
    #[builder(default = Duration::from_millis(900))]
    pub election_timeout_max: Duration,
    /// The time between two hellos to the other controllers.
    #[builder(default = Duration::from_millis(500))]
    pub hello_interval: Duration,
    /// How long a voter must be silent before another controller replaces it.
    #[builder(default = Duration::from_secs(8))]
    pub unreachable_voter_timeout: Duration,
    /// How long a voter that still sends frames must fail to accept newer versions before another
    /// controller replaces it.
    #[builder(default = Duration::from_secs(4))]
    pub stalled_voter_timeout: Duration,
    /// The time between two scrubs of the stored files.
    #[builder(default = Duration::from_secs(20))]
    pub scrub_interval: Duration,
    /// The time before a version is sent again to a controller that has not acknowledged it.
    #[builder(default = Duration::from_millis(400))]
    pub resend_timeout: Duration,
}
