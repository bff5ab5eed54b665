//! The state of a daemon's session lease.

use common::clock::MonotonicTime;

/// The session lease: without an active one a daemon serves nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum SessionLease {
    /// None was granted since the process started.
    Never,
    /// The lease runs, unless its end has passed since the last call of [`SessionLease::end_if_due`].
    Active {
        /// When it ends.
        end: MonotonicTime,
    },
    /// The lease has ended, and its end has been reported.
    Ended {
        /// When it ended.
        end: MonotonicTime,
    },
}

impl SessionLease {
    /// When the lease ends or ended; zero if none was granted.
    pub(crate) fn end(self) -> MonotonicTime {
        match self {
            Self::Never => MonotonicTime::ZERO,
            Self::Active { end } | Self::Ended { end } => end,
        }
    }

    /// When the lease ends, while it is active.
    pub(crate) fn active_until(self) -> Option<MonotonicTime> {
        match self {
            Self::Active { end } => Some(end),
            Self::Never | Self::Ended { .. } => None,
        }
    }

    /// Whether a lease was granted since the process started.
    pub(crate) fn was_ever_granted(self) -> bool {
        !matches!(self, Self::Never)
    }

    /// Extends the lease up to `new_end`; false if that is past or no later than the known end.
    pub(crate) fn extend(&mut self, now: MonotonicTime, new_end: MonotonicTime) -> bool {
        let is_extended = new_end > self.end() && new_end > now;
        if is_extended {
            *self = Self::Active { end: new_end };
        }
        is_extended
    }

    /// Ends the lease if its time is up; true once for each lease that ends.
    pub(crate) fn end_if_due(&mut self, now: MonotonicTime) -> bool {
        match *self {
            Self::Active { end } if now >= end => {
                *self = Self::Ended { end };
                true
            }
            _ => false,
        }
    }
}
