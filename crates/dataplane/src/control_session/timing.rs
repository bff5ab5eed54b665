//! The durations that govern a control session.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// The intervals, time-outs and backoffs of a [`ControlSession`](super::ControlSession).
#[derive(Clone, Debug, TypedBuilder)]
pub struct ControlSessionTiming {
    /// Interval between two renewals of the session lease.
    #[builder(default = Duration::from_millis(250))]
    pub renewal_interval: Duration,
    /// How long a connection may take to be established, and then how long the leader may take to welcome it.
    #[builder(default = Duration::from_millis(250))]
    pub welcome_timeout: Duration,
    /// How long a welcomed stream may stay silent before it is closed and the search for the leader starts again.
    #[builder(default = Duration::from_millis(550))]
    pub silence_timeout: Duration,
    /// How long a controller that stopped responding is not dialed.
    #[builder(default = Duration::from_millis(1500))]
    pub unreachable_backoff: Duration,
    /// How long a controller to which no connection could be established is not dialed although others name it as
    /// the leader. Shorter than `unreachable_backoff`, as it may have started since.
    #[builder(default = Duration::from_millis(300))]
    pub unreached_backoff: Duration,
    /// The shortest delay before the next controller is tried.
    #[builder(default = Duration::from_millis(30))]
    pub min_retry_delay: Duration,
    /// The longest delay before the next controller is tried.
    #[builder(default = Duration::from_millis(150))]
    pub max_retry_delay: Duration,
    /// The longest delay after a redirect that names no leader, or that follows too soon after the previous one.
    #[builder(default = Duration::from_millis(60))]
    pub max_no_leader_delay: Duration,
    /// How long after a leader's last message leaders of earlier terms are rejected. Any lease granted by the newer
    /// leader ends within this time.
    #[builder(default = Duration::from_secs(5))]
    pub stale_term_window: Duration,
}
