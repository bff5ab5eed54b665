//! The state of a daemon's session lease.

use common::clock::MonotonicTime;

/// The session lease. A daemon without an active one serves nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum SessionLease {
    /// No lease was granted since the process started.
    Never,
    /// The lease is valid, unless it has expired since the last call of [`SessionLease::end_if_due`].
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
    /// Returns when the lease ends or ended; zero if none was granted.
    pub(crate) fn end(self) -> MonotonicTime {
        match self {
            Self::Never => MonotonicTime::ZERO,
            Self::Active { end } | Self::Ended { end } => end,
        }
    }

    /// Returns when the lease ends, if it is active.
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

    /// Extends the lease to `new_end`. Returns false, without any change, if that is in the past or no later than the
    /// current end.
    pub(crate) fn extend(&mut self, now: MonotonicTime, new_end: MonotonicTime) -> bool {
        let is_extended = new_end > self.end() && new_end > now;
        if is_extended {
            *self = Self::Active { end: new_end };
        }
        is_extended
    }

    /// Ends the lease if it has expired. Returns true once for each lease that ends.
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
