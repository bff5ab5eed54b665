//! Hand-overs and drains: holders give functions back and drain runners before a zone or a worker becomes unavailable.

use super::LeaderState;
use common::frames::LeaderToDaemon;
use common::identity::{FunctionKey, RunnerId};
use common::rules::Rule;

impl LeaderState {
    /// Orders holders in evacuated zones to hand over their functions, and drains runners on unusable workers.
    pub(super) fn hand_over_evacuated(&mut self) {
        let held_functions = self
            .lease_records
            .iter()
            .map(|(function, _)| function.clone())
            .collect();
        self.hand_over_if_evacuated(held_functions);
        self.drain_from_unusable_workers();
    }

    /// Orders the hand-over of those functions whose holders are in evacuated zones.
    pub(super) fn hand_over_if_evacuated(&mut self, functions: Vec<FunctionKey>) {
        if !self.rules.enforces(Rule::EvacuationObeyed)
            || !self.configuration.table.has_evacuated_zones()
        {
            return;
        }
        for function in functions {
            let Some(entry) = self.lease_records.get_mut(&function) else {
                continue;
            };
            if entry.handing_over || entry.fencing_since.is_some() {
                continue;
            }
            let Some(record) = self.members.get(&entry.holder) else {
                continue;
            };
            let Some(stream) = record.stream else {
                continue;
            };
            if !self.configuration.table.is_evacuated(&record.host.zone) {
                continue;
            }
            entry.handing_over = true;
            let fencing_token = entry.fencing_token;
            self.send_frame(
                stream,
                LeaderToDaemon::HandOver {
                    function,
                    fencing_token,
                },
            );
        }
    }

    /// Orders holders to drain all runners whose worker is draining, gone or evacuated.
    pub(super) fn drain_from_unusable_workers(&mut self) {
        let runners = self
            .reservations
            .iter()
            .map(|(runner, _)| *runner)
            .collect();
        self.drain_if_worker_unusable(runners);
    }

    /// Orders holders to drain those of the runners whose worker is draining, gone or evacuated.
    pub(super) fn drain_if_worker_unusable(&mut self, runners: Vec<RunnerId>) {
        if !self.workers.are_listed() {
            return;
        }
        for runner in runners {
            let Some(reservation) = self.reservations.get(runner) else {
                continue;
            };
            if !reservation.draining && !self.is_worker_usable(&reservation.worker) {
                let function = reservation.function.clone();
                self.drain(function, runner);
            }
        }
    }

    /// Orders the holder to drain a runner that the platform is about to stop.
    pub(super) fn drain_leaving(&mut self, runner: RunnerId) {
        let Some(reservation) = self.reservations.get(runner) else {
            return;
        };
        if !reservation.draining && self.rules.enforces(Rule::DrainObeyed) {
            let function = reservation.function.clone();
            self.drain(function, runner);
        }
    }

    /// Orders the holder to drain a runner. An orphaned runner is stopped instead.
    pub(super) fn drain(&mut self, function: FunctionKey, runner: RunnerId) {
        if self
            .reservations
            .get(runner)
            .is_some_and(|reservation| reservation.is_orphaned())
        {
            self.reservations.mark_stopping(runner);
            return;
        }
        let Some(entry) = self.lease_records.get(&function) else {
            return;
        };
        if entry.fencing_token != runner.fencing_token {
            return;
        }
        let Some(stream) = self.members.stream_of(&entry.holder) else {
            return;
        };
        self.reservations
            .update(runner, |reservation| reservation.draining = true);
        self.send_frame(stream, LeaderToDaemon::Drain { function, runner });
    }
}
