//! The lifecycle of a held function, from the grant of the lease until the holder can be dropped.
//!
//! ```text
//! Serving <-> IdleStopped --> Releasing --> Released
//!    any state but Released ------------> Closed
//! ```

use common::clock::MonotonicTime;
use std::time::Duration;

/// How long a closed holder is retained while its orphaned runners cannot be reported to the leader. The leader then
/// finds them in the platform's list.
const ORPHAN_RETENTION: Duration = Duration::from_secs(10);

/// The lifecycle state of a holder. All transitions are methods of this type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Lifecycle {
    /// Requests are admitted, and at least one runner is kept running.
    Serving,
    /// Requests are admitted, but all runners were stopped for lack of requests. The next request starts one again.
    IdleStopped,
    /// The function is being handed over: no request is admitted, and admitted requests are completed.
    Releasing,
    /// The lease was returned to the leader after an orderly release. Final state.
    Released,
    /// The lease has ended: no more requests are sent to runners, but responses to requests already sent are accepted.
    Closed {
        /// When the lease ended.
        since: MonotonicTime,
        /// Whether the orphaned runners were reported to the leader.
        orphans_reported: bool,
    },
}

impl Lifecycle {
    /// Whether requests are admitted.
    pub(super) fn admits(self) -> bool {
        matches!(self, Self::Serving | Self::IdleStopped)
    }

    /// Whether all runners were stopped for lack of requests.
    pub(super) fn is_idle_stopped(self) -> bool {
        self == Self::IdleStopped
    }

    /// Whether an orderly release is in progress.
    pub(super) fn is_releasing(self) -> bool {
        self == Self::Releasing
    }

    /// Whether the lease ended without a completed release.
    pub(super) fn is_closed(self) -> bool {
        matches!(self, Self::Closed { .. })
    }

    /// Whether the holder still has the lease.
    pub(super) fn holds_lease(self) -> bool {
        matches!(self, Self::Serving | Self::IdleStopped | Self::Releasing)
    }

    /// Whether the holder can be dropped. `has_work`: whether requests in flight or runners that are not orphaned
    /// remain; `has_orphans`: whether any runner remains.
    pub(super) fn is_finished(self, now: MonotonicTime, has_work: bool, has_orphans: bool) -> bool {
        match self {
            Self::Released => true,
            Self::Closed {
                since,
                orphans_reported,
            } => {
                let may_drop_orphans = orphans_reported || now.since(since) > ORPHAN_RETENTION;
                !has_work && (may_drop_orphans || !has_orphans)
            }
            Self::Serving | Self::IdleStopped | Self::Releasing => false,
        }
    }

    /// Returns from `IdleStopped` to `Serving` when a request arrives.
    pub(super) fn resume_serving(&mut self) {
        if *self == Self::IdleStopped {
            *self = Self::Serving;
        }
    }

    /// Enters `IdleStopped` when all runners are stopped for lack of requests.
    pub(super) fn set_idle_stopped(&mut self) {
        if *self == Self::Serving {
            *self = Self::IdleStopped;
        }
    }

    /// Begins an orderly release.
    pub(super) fn begin_release(&mut self) {
        if self.admits() {
            *self = Self::Releasing;
        }
    }

    /// Completes the orderly release.
    pub(super) fn complete_release(&mut self) {
        if *self == Self::Releasing {
            *self = Self::Released;
        }
    }

    /// Ends the lease without a completed release.
    pub(super) fn close(&mut self, now: MonotonicTime) {
        if self.holds_lease() {
            *self = Self::Closed {
                since: now,
                orphans_reported: false,
            };
        }
    }

    /// Records that the orphaned runners were reported to the leader. Has an effect only in `Closed`.
    pub(super) fn record_orphans_reported(&mut self) {
        if let Self::Closed {
            orphans_reported, ..
        } = self
        {
            *orphans_reported = true;
        }
    }
}
