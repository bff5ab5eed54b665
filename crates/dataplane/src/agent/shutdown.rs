//! The phases of a daemon's orderly shutdown, and when each begins.

use common::clock::MonotonicTime;
use std::fmt;
use std::time::Duration;

/// How long before the end of the grace period requests that no runner has are withdrawn: what a runner has got until
/// then can still be answered.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(600);
/// How long before the end of the grace period every request is answered, so that the answers still leave.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// The largest part of a short grace period that either of them takes.
const LARGEST_PART_OF_GRACE: u32 = 4;

/// A phase of an orderly shutdown.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ShutdownPhase {
    /// The daemon is not told to stop, or finishes what it has.
    Finishing,
    /// Requests that no runner has yet end as not run.
    Withdrawing,
    /// Every request ends; the outcome of one that a runner has is unknown.
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
    /// When the process exits, whatever is left.
    pub exit_at: MonotonicTime,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now and may take the grace period.
    pub fn new(now: MonotonicTime, grace: Duration) -> Self {
        let largest_part = grace / LARGEST_PART_OF_GRACE;
        let last_answers_time = LAST_ANSWERS_TIME.min(largest_part);
        let withdrawal_time = WITHDRAWAL_TIME.min(largest_part + last_answers_time);
        Self {
            withdraw_at: now + (grace - withdrawal_time),
            end_at: now + (grace - last_answers_time),
            exit_at: now + grace,
        }
    }

    /// The phase at a time.
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
