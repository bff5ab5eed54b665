//! The end of a grant: the function is handed over or closed, and fit runners are left to the next holder.

use super::runners::Phase;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, RequestFailureReason};
use common::identity::RunnerId;
use std::time::Duration;

/// How long what is left is remembered when the leader cannot be told; it finds it in the platform's
/// list.
const ORPHAN_RETENTION: Duration = Duration::from_secs(10);

impl Holder {
    /// Whether it admits nothing any more.
    pub fn is_releasing(&self) -> bool {
        self.releasing || self.closed
    }

    /// Whether nothing is left to be done for it: what it had is ended, and the leader was told what it
    /// left, or will find it in the platform's list.
    pub fn is_finished(&self, now: MonotonicTime) -> bool {
        let is_forgotten = self.orphans_reported || now.since(self.closed_at) > ORPHAN_RETENTION;
        let has_work = self
            .runners
            .values()
            .any(|record| record.phase != Phase::Orphaned);
        let has_orphans = !self.runners.is_empty();
        self.released
            || (self.closed
                && self.in_flight.is_empty()
                && !has_work
                && (is_forgotten || !has_orphans))
    }

    /// The leader was told what is left.
    pub fn orphans_reported(&mut self) {
        self.orphans_reported = true;
    }

    /// The runners that are left as they stand for the next holder.
    pub fn orphaned_runners(&self) -> Vec<ClaimedRunner> {
        let orphaned = self
            .runners
            .iter()
            .filter(|(_, record)| record.phase == Phase::Orphaned);
        orphaned
            .map(|(runner, record)| record.to_claim(*runner))
            .collect()
    }

    /// The function is to be handed over: admit nothing, finish, leave fit runners, release.
    pub fn begin_release(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.releasing = true;
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    /// The grant is gone: refuse what waits, send nothing more. Fit runners are left as they stand for
    /// the next holder, the others stopped; what was sent may still be answered.
    pub fn close(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        if !self.closed {
            self.closed = true;
            self.closed_at = now;
        }
        for queued in std::mem::take(&mut self.queue) {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NotServing,
                Duration::from_millis(500),
            );
        }
        self.orphan_runners(now);
        std::mem::take(&mut self.outputs)
    }

    fn orphan_runners(&mut self, now: MonotonicTime) {
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            match self.runners.get_mut(&runner) {
                Some(record) if record.may_be_orphaned() => record.phase = Phase::Orphaned,
                _ => self.stop_runner(now, runner),
            }
        }
    }

    pub(super) fn finish_release(&mut self, now: MonotonicTime) {
        if !self.releasing || self.closed || self.released {
            return;
        }
        if self.queue.is_empty() && self.in_flight.is_empty() {
            self.orphan_runners(now);
            if self
                .runners
                .values()
                .all(|record| record.phase == Phase::Orphaned)
            {
                self.released = true;
                let runners = self.orphaned_runners();
                self.outputs
                    .push(HolderOutput::Report(HolderMessage::Released { runners }));
            }
        }
    }
}
