//! Timeouts and intervals of the leader.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// Timeouts and intervals of the leader.
#[derive(Clone, Debug, TypedBuilder)]
pub struct LeaderTiming {
    /// Duration of a session lease.
    #[builder(default = Duration::from_millis(2000))]
    pub lease_length: Duration,
    /// Margin for clock drift, added to a session lease before it counts as ended.
    #[builder(default = Duration::from_millis(200))]
    pub drift_margin: Duration,
    /// How long a new leader waits for missing claims; at least a session lease plus the drift margin.
    #[builder(default = Duration::from_millis(2200))]
    pub claims_wait: Duration,
    /// How long after the end of its holder's lease a request to start a runner may still reach the platform.
    #[builder(default = Duration::from_millis(400))]
    pub start_request_lag: Duration,
    /// Time after which a member that has not reconnected no longer counts toward the claims quorum.
    #[builder(default = Duration::from_secs(4))]
    pub drop_absent_after: Duration,
    /// How long a member that left gracefully stays in the membership list; longer than a restart usually takes.
    #[builder(default = Duration::from_secs(2))]
    pub restart_grace_period: Duration,
    /// Time after which an unconfirmed stop order is repeated.
    #[builder(default = Duration::from_millis(700))]
    pub stop_retry_after: Duration,
    /// How long an orphaned runner is kept for adoption by a new holder.
    #[builder(default = Duration::from_secs(4))]
    pub orphan_timeout: Duration,
    /// How long after its start, in addition to three start-up times, a runner may be missing from the platform's
    /// list.
    #[builder(default = Duration::from_secs(1))]
    pub list_lag: Duration,
    /// How long a worker that refused to start a runner gets no new runners.
    #[builder(default = Duration::from_secs(1))]
    pub refused_start_cooldown: Duration,
    /// Whether the runners of a function are spread over zones; otherwise they are placed in their holder's zone.
    #[builder(default = true)]
    pub spread_over_zones: bool,
    /// Whether underused workers are evacuated.
    #[builder(default = true)]
    pub worker_evacuation: bool,
    /// How long the record of a member without a stream and a lease is kept.
    #[builder(default = Duration::from_secs(5))]
    pub forget_after: Duration,
}

impl LeaderTiming {
    /// How long a session lease may still be in use after the heartbeat round from which it counts, including clock
    /// drift.
    pub fn full_lease_wait(&self) -> Duration {
        self.lease_length + self.drift_margin
    }
}
