//! Handles members' reports on their runners and on rejected requests.

use super::{EventDetail, LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{RequestFailureReason, RunnerStatus};
use common::identity::{FunctionKey, RunnerId};

impl LeaderState {
    /// Handles a holder's report on one of its runners, which may have been renamed by an adoption in the meantime.
    pub(super) fn handle_runner_status(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        runner: RunnerId,
        runner_status: RunnerStatus,
    ) {
        let current_name = self.reservations.current_name(runner);
        let Some(reservation) = self.reservations.get(current_name) else {
            return;
        };
        if reservation.function != *function {
            return;
        }
        match runner_status {
            RunnerStatus::Ready => {
                let detail = EventDetail::Runner {
                    function: function.clone(),
                    runner: current_name,
                    worker: reservation.worker.clone(),
                };
                self.reservations
                    .update(current_name, |reservation| reservation.ready = true);
                self.record_event(events::RUNNER_READY, detail);
            }
            RunnerStatus::Gone if current_name != runner => {
                self.handle_runner_vanished(current_name)
            }
            RunnerStatus::Gone => {
                if reservation.instance.is_none() && !reservation.is_stopping() {
                    self.workers
                        .note_refused_start(now, reservation.worker.clone());
                }
                self.handle_runner_stopped(runner);
            }
            RunnerStatus::Started { instance } => {
                let owner = self.reservations.runner_with_instance(&instance.name);
                if owner.is_none_or(|owner| owner == current_name) {
                    self.reservations.note_started(current_name, instance, now);
                }
            }
        }
    }

    /// Records an event about requests that a member rejected.
    pub(super) fn handle_rejections(
        &mut self,
        stream: StreamId,
        function: FunctionKey,
        count: u32,
        reason: RequestFailureReason,
    ) {
        let Some(known_member) = self.members.on_stream(stream) else {
            return;
        };
        let detail = EventDetail::Rejections {
            function,
            member: known_member.member.clone(),
            count,
            reason,
        };
        self.record_event(events::REQUESTS_REJECTED, detail);
    }
}
