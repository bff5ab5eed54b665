//! The platform's list of runners, which reveals runners orphaned under earlier leaders and runners that have vanished.

use super::reservations::Reservation;
use super::{EventDetail, LeaderState};
use common::adapter::ListedRunner;
use common::clock::MonotonicTime;
use common::events;
use common::identity::{FunctionKey, InstanceId, RunnerId, Version};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of start-up times of its function for which a started runner may be missing from the platform's list.
const STARTUP_TIMES_UNTIL_LISTED: u32 = 3;
/// Start-up time assumed for a runner whose function the current specification does not contain.
const UNKNOWN_STARTUP_TIME: Duration = Duration::from_secs(5);

/// What is known of the platform's lists of runners, and when they are requested.
#[derive(Default)]
pub(super) struct RunnerLists {
    /// The instant at which the newest list was taken.
    pub listed_at: MonotonicTime,
    /// The last list that arrived before the claims quorum was reached. Its unknown runners may still be claimed.
    pending: Vec<ListedRunner>,
    pub requested_at: MonotonicTime,
    /// The instant from which a list shows every runner that earlier incarnations left.
    pub complete_from: MonotonicTime,
}

impl LeaderState {
    /// Processes the platform's list of runners as of `listed_at`. Runners are recognised by their instances. While
    /// the claims quorum is awaited, unknown runners may still be claimed.
    pub fn handle_runner_list(
        &mut self,
        listed_at: MonotonicTime,
        listed_runners: &[ListedRunner],
    ) {
        if listed_at < self.runner_lists.listed_at {
            return;
        }
        self.runner_lists.listed_at = listed_at;
        for listed in listed_runners.iter().filter(|listed| listed.leaving) {
            if let Some(runner) = self
                .reservations
                .runner_with_instance(&listed.instance.name)
            {
                self.drain_leaving(runner);
            }
        }
        let listed_instances: BTreeSet<&InstanceId> = listed_runners
            .iter()
            .map(|listed| &listed.instance.name)
            .collect();
        self.detect_vanished_runners(listed_at, &listed_instances);
        if self.claims.is_reached {
            self.register_unknown_runners(listed_at, listed_runners);
        } else {
            self.runner_lists.pending = listed_runners.to_vec();
        }
    }

    /// Registers the unclaimed runners of the pending list as orphans, once the claims quorum is reached.
    pub(super) fn register_pending_list(&mut self) {
        let listed_runners = std::mem::take(&mut self.runner_lists.pending);
        self.register_unknown_runners(self.runner_lists.listed_at, &listed_runners);
    }

    fn register_unknown_runners(
        &mut self,
        listed_at: MonotonicTime,
        listed_runners: &[ListedRunner],
    ) {
        if listed_at < self.orphans_detected_from() {
            return;
        }
        for listed in listed_runners {
            let instance_id = &listed.instance.name;
            let is_known = self
                .reservations
                .runner_with_instance(instance_id)
                .is_some()
                || self.reservations.has_instance_ended(instance_id);
            if is_known || self.match_by_start_key(listed_at, listed) {
                continue;
            }
            if !self.may_be_starting_here(listed) {
                self.register_orphan(listed_at, listed);
            }
        }
    }

    /// Matches a listed instance to the reservation that the platform reports as its runner, if that has no instance
    /// yet. Returns whether it did.
    fn match_by_start_key(&mut self, listed_at: MonotonicTime, listed: &ListedRunner) -> bool {
        let Some(runner) = listed.runner else {
            return false;
        };
        let awaits_instance = self
            .reservations
            .get(runner)
            .is_some_and(|reservation| reservation.instance.is_none());
        if awaits_instance {
            self.reservations
                .note_started(runner, listed.instance.clone(), listed_at);
        }
        awaits_instance
    }

    /// Whether a runner of the same function is starting on the same worker, so that the instance may belong to it.
    fn may_be_starting_here(&self, listed: &ListedRunner) -> bool {
        self.reservations.values().any(|reservation| {
            reservation.instance.is_none()
                && reservation.function.name == listed.function
                && reservation.worker == listed.worker
        })
    }

    /// Registers an unclaimed runner under a new name of this term. It can be adopted by the next holder of its
    /// function if that is certainly the function in the current specification; otherwise it is stopped.
    fn register_orphan(&mut self, listed_at: MonotonicTime, listed: &ListedRunner) {
        let same_name = self
            .configuration
            .table
            .functions()
            .iter()
            .find(|entry| entry.key.name == listed.function);
        let spec_entry = same_name.map(|entry| (entry.key.clone(), entry.spec.memory_mb));
        let is_same = |key: &FunctionKey| match &listed.key {
            Some(listed_key) => listed_key == key,
            None => key.generation <= self.claims.inherited_version,
        };
        let known = spec_entry.filter(|(key, _)| is_same(key));
        let is_wanted = known.is_some() && !listed.leaving;
        let (function, memory_mb) = known.unwrap_or_else(|| {
            let unknown_key = FunctionKey::new(listed.function.clone(), Version(0));
            (listed.key.clone().unwrap_or(unknown_key), 0)
        });
        let runner = RunnerId {
            fencing_token: self.next_fencing_token(),
            ordinal: self.next_fencing_token().0,
        };
        let mut reservation = Reservation::new(function, listed.worker.clone(), memory_mb);
        reservation.instance = Some(listed.instance.clone());
        reservation.started_at = listed_at;
        reservation.ready = is_wanted;
        reservation.draining = !is_wanted;
        reservation.key_unknown = listed.key.is_none();
        self.reservations.insert(runner, reservation);
        let detail = EventDetail::FoundRunner {
            runner,
            instance: listed.instance.name.clone(),
            worker: listed.worker.clone(),
        };
        self.record_event(events::ORPHANED_RUNNER_FOUND, detail);
        self.orphan_or_stop(listed_at, runner);
    }

    /// Handles runners that should be in the list by now but are missing: they have ended.
    fn detect_vanished_runners(
        &mut self,
        listed_at: MonotonicTime,
        listed_instances: &BTreeSet<&InstanceId>,
    ) {
        let list_lag = self.timing.list_lag;
        let vanished_runners: Vec<RunnerId> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| {
                let startup = self
                    .configuration
                    .table
                    .function_of(&reservation.function)
                    .map(|entry| entry.spec.startup);
                let must_be_listed_from = reservation.started_at
                    + startup.unwrap_or(UNKNOWN_STARTUP_TIME) * STARTUP_TIMES_UNTIL_LISTED
                    + list_lag;
                reservation
                    .instance
                    .as_ref()
                    .is_some_and(|instance| !listed_instances.contains(&instance.name))
                    && listed_at > must_be_listed_from
            })
            .map(|(runner, _)| *runner)
            .collect();
        for vanished_runner in vanished_runners {
            self.handle_runner_vanished(vanished_runner);
        }
    }
}
