//! The faults that currently affect requests, and whether all faults have been undone.

use common::clock::MonotonicTime;

/// The share of runs whose answers are affected by faults of the runners.
const RUNNER_FAULT_RATE: f64 = 0.15;

/// The faults that currently affect requests.
#[derive(Default)]
pub(super) struct ActiveFaults {
    runner_fault_rate: f64,
    retrying_until: MonotonicTime,
    is_healed: bool,
}

impl ActiveFaults {
    /// Starts the faults of runners, by which answers are lost, corrupted or refused.
    pub(super) fn start_runner_faults(&mut self) {
        self.runner_fault_rate = RUNNER_FAULT_RATE;
    }

    /// Ends the faults of runners.
    pub(super) fn end_runner_faults(&mut self) {
        self.runner_fault_rate = 0.0;
    }

    /// Returns the share of runs whose answers are affected by faults.
    pub(super) fn runner_fault_rate(&self) -> f64 {
        self.runner_fault_rate
    }

    /// Makes callers retry refused requests until the given time.
    pub(super) fn start_caller_retries(&mut self, until: MonotonicTime) {
        self.retrying_until = until;
    }

    /// Whether callers retry refused requests.
    pub(super) fn are_callers_retrying(&self, now: MonotonicTime) -> bool {
        now < self.retrying_until
    }

    /// Records that all faults were undone. No more are injected after this.
    pub(super) fn mark_healed(&mut self) {
        self.is_healed = true;
    }

    /// Whether all faults were undone.
    pub(super) fn is_healed(&self) -> bool {
        self.is_healed
    }
}
