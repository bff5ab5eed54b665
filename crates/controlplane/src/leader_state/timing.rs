use std::time::Duration;
use typed_builder::TypedBuilder;

/// The leader state's times.
#[derive(Clone, Debug, TypedBuilder)]
pub struct LeaderTiming {
    /// How long a member grant runs.
    #[builder(default = Duration::from_millis(2000))]
    pub lease_length: Duration,
    /// What is added before a grant counts as ended, for clocks that drift.
    #[builder(default = Duration::from_millis(200))]
    pub drift_margin: Duration,
    /// How long a new leader waits for claims that do not come; never less than a member grant
    /// with its drift margin.
    #[builder(default = Duration::from_millis(2200))]
    pub claims_wait: Duration,
    /// How long a runner's start may be on its way to the platform after its holder's grant.
    #[builder(default = Duration::from_millis(400))]
    pub start_settle: Duration,
    /// When a last-known daemon that never came back stops counting for the quorum.
    #[builder(default = Duration::from_secs(4))]
    pub drop_absent_after: Duration,
    /// How long a daemon that left in order may be away before the roster no longer names it: longer than
    /// a restart takes, as a rule.
    #[builder(default = Duration::from_secs(2))]
    pub restart_grace_period: Duration,
    /// Before a runner that did not stop is told again.
    #[builder(default = Duration::from_millis(700))]
    pub stop_retry_after: Duration,
    /// How long a runner that nobody holds is left for a next holder.
    #[builder(default = Duration::from_secs(4))]
    pub orphan_timeout: Duration,
    /// How long after its start a runner may be missing in the platform's list, beside three boots.
    #[builder(default = Duration::from_secs(1))]
    pub list_lag: Duration,
    /// How long a worker that refused a start is left alone.
    #[builder(default = Duration::from_secs(1))]
    pub refused_start_cooldown: Duration,
    /// Whether a function's runners are spread over zones; else they stand in their holder's.
    #[builder(default = true)]
    pub spread_over_zones: bool,
    /// Whether little used workers are emptied.
    #[builder(default = true)]
    pub worker_evacuation: bool,
    /// How long a daemon without stream and grant is remembered.
    #[builder(default = Duration::from_secs(5))]
    pub forget_after: Duration,
}

impl LeaderTiming {
    /// How long after its proof a member grant may still be used anywhere.
    pub fn full_lease_wait(&self) -> Duration {
        self.lease_length + self.drift_margin
    }
}
