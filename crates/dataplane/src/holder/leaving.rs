//! The end of a grant: the function is handed over or closed, and fit runners are left to the next holder.

use super::runners::Phase;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::Moment;
use common::frames::{ClaimRunner, HopReason};
use common::identity::RunnerId;
use std::time::Duration;

/// How long what is left is remembered when the leader cannot be told; it finds it in the platform's
/// list.
const LEFT_KEPT: Duration = Duration::from_secs(10);

impl Holder {
    /// Whether it admits nothing any more.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.closed
    }

    /// Whether nothing is left to be done for it: what it had is ended, and the leader was told what it
    /// left, or will find it in the platform's list.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_forgotten = self.left_told || now.since(self.closed_at) > LEFT_KEPT;
        let has_work = self.runners.values().any(|record| record.phase != Phase::Left);
        let has_left = !self.runners.is_empty();
        self.released
            || (self.closed && self.sent.is_empty() && !has_work && (is_forgotten || !has_left))
    }

    /// The leader was told what is left.
    pub fn left_told(&mut self) {
        self.left_told = true;
    }

    /// The runners that are left as they stand for the next holder.
    pub fn left_runners(&self) -> Vec<ClaimRunner> {
        let left = self.runners.iter().filter(|(_, record)| record.phase == Phase::Left);
        left.map(|(runner, record)| record.as_claim(*runner)).collect()
    }

    /// The function is to be handed over: admit nothing, finish, leave fit runners, release.
    pub fn hand_over(&mut self, now: Moment) -> Vec<HolderOutput> {
        self.leaving = true;
        self.finish_leaving(now);
        std::mem::take(&mut self.outputs)
    }

    /// The grant is gone: refuse what waits, send nothing more. Fit runners are left as they stand for
    /// the next holder, the others stopped; what was sent may still be answered.
    pub fn close(&mut self, now: Moment) -> Vec<HolderOutput> {
        if !self.closed {
            self.closed = true;
            self.closed_at = now;
        }
        for waiting in std::mem::take(&mut self.inbox) {
            self.give_up(now, waiting, HopReason::NotServing, Duration::from_millis(500));
        }
        self.leave_runners(now);
        std::mem::take(&mut self.outputs)
    }

    fn leave_runners(&mut self, now: Moment) {
        let all_runners: Vec<RunnerId> = self.runners.keys().copied().collect();
        for runner in all_runners {
            match self.runners.get_mut(&runner) {
                Some(record) if record.may_be_left() => record.phase = Phase::Left,
                _ => self.stop_runner(now, runner),
            }
        }
    }

    pub(super) fn finish_leaving(&mut self, now: Moment) {
        if !self.leaving || self.closed || self.released {
            return;
        }
        if self.inbox.is_empty() && self.sent.is_empty() {
            self.leave_runners(now);
            if self.runners.values().all(|record| record.phase == Phase::Left) {
                self.released = true;
                let runners = self.left_runners();
                self.outputs.push(HolderOutput::Tell(HolderMessage::Released { runners }));
            }
        }
    }
}
