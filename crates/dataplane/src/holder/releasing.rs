//! The end of a lease, by an orderly release or by closing the holder. Healthy runners are orphaned: they are left
//! running for the next holder to adopt.

use super::runners::Phase;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, RequestFailureReason};
use std::time::Duration;

/// Delay after which the caller of a request that was queued when the lease ended may retry.
const CLOSED_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Holder {
    /// Whether the holder no longer admits requests.
    pub fn is_releasing(&self) -> bool {
        !self.lifecycle.admits()
    }

    /// Whether the holder can be dropped: its work is finished, and the leader was notified of the orphaned runners or
    /// will find them in the platform's list.
    pub fn is_finished(&self, now: MonotonicTime) -> bool {
        let has_work = !self.requests.in_flight.is_empty() || !self.runners.are_all_orphaned();
        self.lifecycle
            .is_finished(now, has_work, !self.runners.is_empty())
    }

    /// Records that the orphaned runners were reported to the leader.
    pub fn record_orphans_reported(&mut self) {
        self.lifecycle.record_orphans_reported();
    }

    /// Returns the runners that are left running for the next holder.
    pub fn orphaned_runners(&self) -> Vec<ClaimedRunner> {
        self.runners.orphaned_claims()
    }

    /// Begins an orderly release: admits no more requests, completes the admitted ones, orphans healthy runners, and
    /// then reports the release.
    pub fn begin_release(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.lifecycle.begin_release();
        self.finish_release(now);
        self.take_outputs()
    }

    /// Ends the lease: rejects the queued requests and sends no more. Healthy runners are orphaned, the others are
    /// stopped. Responses to requests that were already sent are still accepted.
    pub fn close(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.lifecycle.close(now);
        for queued in std::mem::take(&mut self.requests.queue) {
            self.fail_request(
                now,
                queued,
                RequestFailureReason::NotServing,
                CLOSED_RETRY_AFTER,
            );
        }
        self.orphan_runners(now);
        self.take_outputs()
    }

    fn orphan_runners(&mut self, now: MonotonicTime) {
        for runner in self.runners.ids() {
            match self.runners.get_mut(runner) {
                Some(record) if record.may_be_orphaned() => record.phase = Phase::Orphaned,
                _ => self.stop_runner(now, runner),
            }
        }
    }

    /// Completes a release once no request is left and all remaining runners are orphaned.
    pub(super) fn finish_release(&mut self, now: MonotonicTime) {
        if !self.lifecycle.is_releasing() || !self.requests.is_empty() {
            return;
        }
        self.orphan_runners(now);
        if self.runners.are_all_orphaned() {
            self.lifecycle.complete_release();
            let runners = self.runners.orphaned_claims();
            self.report(HolderMessage::Released { runners });
        }
    }
}
