//! The time from the loss of a controller to the next acknowledged order and the next renewed session leases.

use super::plan::SimPlan;
use super::script::{Action, Loss, Target};
use super::simulation::Simulation;
use common::clock::MonotonicTime;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The time of the loss, and what has recovered since.
#[derive(Default)]
pub(super) struct RecoveryClock {
    started_at: Option<MonotonicTime>,
    acknowledged_after: Option<Duration>,
    renewed_after: BTreeMap<usize, Duration>,
}

impl RecoveryClock {
    /// Starts the measurement at the time of the loss.
    pub(crate) fn start(&mut self, now: MonotonicTime) {
        self.started_at = Some(now);
    }

    /// Records that an order was acknowledged.
    pub(crate) fn record_acknowledgement(&mut self, now: MonotonicTime) {
        if let Some(started_at) = self.started_at {
            self.acknowledged_after.get_or_insert(now.since(started_at));
        }
    }

    /// Records that a daemon's session lease was renewed.
    pub(crate) fn record_renewal(&mut self, now: MonotonicTime, daemon: usize) {
        if let Some(started_at) = self.started_at {
            self.renewed_after
                .entry(daemon)
                .or_insert(now.since(started_at));
        }
    }

    /// Returns the recovery times, if an order was acknowledged and the session leases of all daemons were renewed.
    pub(crate) fn recovery_times(&self, daemons: usize) -> Option<RecoveryTimes> {
        let first_lease = self.renewed_after.values().min().copied()?;
        let last_lease = self.renewed_after.values().max().copied()?;
        let are_all_renewed = self.renewed_after.len() == daemons;
        are_all_renewed.then_some(RecoveryTimes {
            order: self.acknowledged_after?,
            first_lease,
            last_lease,
        })
    }
}

/// How long the control plane took to recover from one loss.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RecoveryTimes {
    /// The time to the next acknowledged order.
    pub order: Duration,
    /// The time to the next renewed session lease.
    pub first_lease: Duration,
    /// The time until the session lease of every daemon was renewed.
    pub last_lease: Duration,
}

/// The loss of a single controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SingleLoss {
    /// The controller that is lost.
    pub target: Target,
    /// The kind of loss.
    pub loss: Loss,
    /// The name in tables.
    pub name: &'static str,
}

/// The single losses that are measured.
pub const SINGLE_LOSSES: &[SingleLoss] = &[
    SingleLoss {
        target: Target::Leader,
        loss: Loss::Killed,
        name: "leader killed",
    },
    SingleLoss {
        target: Target::Leader,
        loss: Loss::PowerLost,
        name: "leader without power",
    },
    SingleLoss {
        target: Target::Leader,
        loss: Loss::Frozen,
        name: "leader frozen",
    },
    SingleLoss {
        target: Target::Leader,
        loss: Loss::Isolation,
        name: "leader cut off",
    },
    SingleLoss {
        target: Target::Leader,
        loss: Loss::Replaced,
        name: "leader replaced",
    },
    SingleLoss {
        target: Target::Follower,
        loss: Loss::Killed,
        name: "follower killed",
    },
    SingleLoss {
        target: Target::Follower,
        loss: Loss::Isolation,
        name: "follower cut off",
    },
    SingleLoss {
        target: Target::Follower,
        loss: Loss::Replaced,
        name: "follower replaced",
    },
];

const EARLIEST_LOSS_AT: Duration = Duration::from_secs(5);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
const ORDER_INTERVAL: Duration = Duration::from_millis(40);
/// A prime, so that the losses of successive seeds are spread over [`LOSS_JITTER_MS`].
const LOSS_JITTER_FACTOR: u64 = 7919;
/// The range of times after [`EARLIEST_LOSS_AT`] at which the loss happens.
const LOSS_JITTER_MS: u64 = 1000;

impl SingleLoss {
    /// Returns the plan of a run with this seed: the loss, and orders in quick succession after it.
    pub fn plan(&self, seed: u64, controllers: usize, voters: usize) -> SimPlan {
        let jitter = Duration::from_millis(seed.wrapping_mul(LOSS_JITTER_FACTOR) % LOSS_JITTER_MS);
        let loss_at = EARLIEST_LOSS_AT + jitter;
        let mut script = vec![
            (loss_at, Action::Lose(self.target, self.loss)),
            (loss_at, Action::StartRecoveryClock),
        ];
        let order_count = (MEASUREMENT_DURATION.as_millis() / ORDER_INTERVAL.as_millis()) as u32;
        let orders =
            (0..order_count).map(|index| (loss_at + ORDER_INTERVAL * index, Action::Change));
        script.extend(orders);
        SimPlan {
            script,
            controllers,
            voters,
            bootstrap_controller_count: voters,
            has_faults: false,
            ends_when_recovered: true,
            has_changes: false,
            rate: 2.0,
            fault_duration: loss_at + MEASUREMENT_DURATION,
            settling_time: Duration::ZERO,
            ..SimPlan::seeded(seed)
        }
    }

    /// Runs one seed and returns the recovery times, or none if something did not recover.
    pub fn measure(&self, seed: u64, controllers: usize, voters: usize) -> Option<RecoveryTimes> {
        Simulation::new(self.plan(seed, controllers, voters), false)
            .run()
            .recovery
    }
}

/// The median and the maximum of a set of durations.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Spread {
    /// The median.
    pub median: Duration,
    /// The maximum.
    pub max: Duration,
}

impl Spread {
    /// Computes the spread of durations, which may be in any order.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut sorted_times: Vec<Duration> = times.collect();
        sorted_times.sort_unstable();
        let median = sorted_times
            .get(sorted_times.len() / 2)
            .copied()
            .unwrap_or_default();
        let max = sorted_times.last().copied().unwrap_or_default();
        Self { median, max }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} ms | {} ms",
            self.median.as_millis(),
            self.max.as_millis()
        )
    }
}
