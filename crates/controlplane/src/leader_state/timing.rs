//! Time-outs and intervals of the leader.

use std::time::Duration;
use typed_builder::TypedBuilder;

/// The time-outs and intervals of the leader.
#[derive(Clone, Debug, TypedBuilder)]
pub struct LeaderTiming {
    /// How long a session lease runs.
    #[builder(default = Duration::from_millis(2000))]
    pub lease_length: Duration,
    /// What is added before a session lease counts as ended, for clocks that drift.
    #[builder(default = Duration::from_millis(200))]
    pub drift_margin: Duration,
    /// How long a new leader waits for claims that do not come; never less than a session lease with its drift
    /// margin.
    #[builder(default = Duration::from_millis(2200))]
    pub claims_wait: Duration,
    /// How long the start of a runner may be on its way to the platform after its holder's lease has ended.
    #[builder(default = Duration::from_millis(400))]
    pub start_settle: Duration,
    /// After which time a member that never came back no longer counts for the quorum.
    #[builder(default = Duration::from_secs(4))]
    pub drop_absent_after: Duration,
    /// How long a member that left in order may be away before it leaves the membership list: longer than a
    /// restart usually takes.
    #[builder(default = Duration::from_secs(2))]
    pub restart_grace_period: Duration,
    /// After which time an unconfirmed stop is ordered again.
    #[builder(default = Duration::from_millis(700))]
    pub stop_retry_after: Duration,
    /// How long an orphaned runner waits for a next holder.
    #[builder(default = Duration::from_secs(4))]
    pub orphan_timeout: Duration,
    /// How long after its start a runner may be missing in the platform's list, beside three start-up times.
    #[builder(default = Duration::from_secs(1))]
    pub list_lag: Duration,
    /// How long a worker that refused a start gets no runners.
    #[builder(default = Duration::from_secs(1))]
    pub refused_start_cooldown: Duration,
    /// Whether the runners of a function are spread over zones; if not, they go to their holder's zone.
    #[builder(default = true)]
    pub spread_over_zones: bool,
    /// Whether little used workers are evacuated.
    #[builder(default = true)]
    pub worker_evacuation: bool,
    /// How long a member without stream and lease is remembered.
    #[builder(default = Duration::from_secs(5))]
    pub forget_after: Duration,
}

impl LeaderTiming {
    /// How long after its proof a session lease may still be used anywhere.
    pub fn full_lease_wait(&self) -> Duration {
        self.lease_length + self.drift_margin
    }
}
