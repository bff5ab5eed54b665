//! The lifecycle of a held function, from the lease to the end of its work.
//!
//! ```text
//! Serving <-> IdleStopped --> Releasing --> Released
//!    any state but Released ------------> Closed
//! ```

use common::clock::MonotonicTime;
use std::time::Duration;

/// How long a closed holder with orphaned runners is retained while they cannot be reported to the leader.
/// After that the leader finds them in the platform's list.
const ORPHAN_RETENTION: Duration = Duration::from_secs(10);

/// The lifecycle state of a holder; all of its transitions are methods of this type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Lifecycle {
    /// Requests are admitted, and at least one runner is wanted.
    Serving,
    /// Requests are admitted, but all runners were stopped for want of requests; the next request ends that.
    IdleStopped,
    /// The function is being handed over: nothing is admitted, and admitted requests run to their end.
    Releasing,
    /// The lease went back to the leader after an orderly release. This is final.
    Released,
    /// The lease has ended: nothing is sent to a runner any more, and what was sent may still be answered.
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

    /// Whether all runners were stopped for want of requests.
    pub(super) fn is_idle_stopped(self) -> bool {
        self == Self::IdleStopped
    }

    /// Whether an orderly release is under way.
    pub(super) fn is_releasing(self) -> bool {
        self == Self::Releasing
    }

    /// Whether the lease ended before an orderly release was complete.
    pub(super) fn is_closed(self) -> bool {
        matches!(self, Self::Closed { .. })
    }

    /// Whether the lease is still in use here.
    pub(super) fn holds_lease(self) -> bool {
        matches!(self, Self::Serving | Self::IdleStopped | Self::Releasing)
    }

    /// Whether the holder can be dropped, as far as the lifecycle decides that; `has_work` is whether
    /// requests or runners of its own remain, `has_orphans` whether any runner remains.
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

    /// A request was admitted.
    pub(super) fn wake(&mut self) {
        if *self == Self::IdleStopped {
            *self = Self::Serving;
        }
    }

    /// All runners are stopped for want of requests.
    pub(super) fn stop_idle(&mut self) {
        if *self == Self::Serving {
            *self = Self::IdleStopped;
        }
    }

    /// An orderly release begins.
    pub(super) fn begin_release(&mut self) {
        if self.admits() {
            *self = Self::Releasing;
        }
    }

    /// The orderly release is complete.
    pub(super) fn complete_release(&mut self) {
        if *self == Self::Releasing {
            *self = Self::Released;
        }
    }

    /// The lease has ended.
    pub(super) fn close(&mut self, now: MonotonicTime) {
        if self.holds_lease() {
            *self = Self::Closed {
                since: now,
                orphans_reported: false,
            };
        }
    }

    /// The orphaned runners were reported to the leader; only a closed holder has any to report.
    pub(super) fn record_orphans_reported(&mut self) {
        if let Self::Closed {
            orphans_reported, ..
        } = self
        {
            *orphans_reported = true;
        }
    }
}
