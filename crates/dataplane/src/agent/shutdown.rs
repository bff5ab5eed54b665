//! The phases of a daemon's orderly shutdown, and when each begins.

use common::clock::MonotonicTime;
use std::fmt;
use std::time::Duration;

/// How long before the end of the grace period requests that no runner has are withdrawn. A request that a runner has
/// by then can still be answered.
const WITHDRAWAL_LEAD_TIME: Duration = Duration::from_millis(600);
/// How long before the end of the grace period all requests are ended, so that their responses can still be sent.
const ENDING_LEAD_TIME: Duration = Duration::from_millis(200);
/// In a short grace period, each of these two phases takes at most the grace period divided by this.
const PHASE_GRACE_DIVISOR: u32 = 4;

/// A phase of an orderly shutdown.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ShutdownPhase {
    /// The daemon has not been told to stop, or is finishing the requests that it has.
    Finishing,
    /// Requests that no runner has yet end as not run.
    Withdrawing,
    /// All requests end. The outcome of a request that a runner has is unknown.
    Ending,
}

impl fmt::Display for ShutdownPhase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Finishing => "finishing",
            Self::Withdrawing => "withdrawing",
            Self::Ending => "ending",
        })
    }
}

/// When the phases of a shutdown begin.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ShutdownSchedule {
    /// When requests that no runner has are withdrawn.
    pub withdraw_at: MonotonicTime,
    /// When all requests end.
    pub end_at: MonotonicTime,
    /// When the process exits, even with unfinished requests.
    pub exit_at: MonotonicTime,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that begins at `now` and may take `grace`.
    pub fn new(now: MonotonicTime, grace: Duration) -> Self {
        let max_phase_time = grace / PHASE_GRACE_DIVISOR;
        let ending_lead_time = ENDING_LEAD_TIME.min(max_phase_time);
        let withdrawal_lead_time = WITHDRAWAL_LEAD_TIME.min(max_phase_time + ending_lead_time);
        Self {
            withdraw_at: now + (grace - withdrawal_lead_time),
            end_at: now + (grace - ending_lead_time),
            exit_at: now + grace,
        }
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: MonotonicTime) -> ShutdownPhase {
        if now >= self.end_at {
            ShutdownPhase::Ending
        } else if now >= self.withdraw_at {
            ShutdownPhase::Withdrawing
        } else {
            ShutdownPhase::Finishing
        }
    }
}
