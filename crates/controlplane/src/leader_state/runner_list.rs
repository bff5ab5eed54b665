//! The platform's list of runners: it shows what was orphaned under earlier leaders and what has vanished.

use super::reservations::Reservation;
use super::{EventDetail, LeaderState};
use common::adapter::ListedRunner;
use common::clock::MonotonicTime;
use common::events;
use common::identity::{FunctionKey, InstanceId, RunnerId, Version};
use std::collections::BTreeSet;
use std::time::Duration;

/// The platform's list of runners, and when it is requested.
#[derive(Default)]
pub(super) struct RunnerLists {
    /// The instant that the newest list shows.
    pub listed_at: MonotonicTime,
    /// A list that came before the claims quorum stood: its unknown runners may still be claimed.
    pending: Vec<ListedRunner>,
    pub requested_at: MonotonicTime,
    /// From which instant on a list shows everything that earlier incarnations left.
    pub complete_from: MonotonicTime,
}

impl LeaderState {
    /// Takes the platform's list of runners, which shows one instant. Runners are recognised by their
    /// instances; while the claims quorum is awaited, unknown ones may still be claimed.
    pub fn runners_listed(&mut self, listed_at: MonotonicTime, listed_runners: &[ListedRunner]) {
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

    /// The claims quorum stands: what is listed and not claimed is held by nobody.
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

    /// Whether the platform reports the key of the start, and that one's instance was not known yet.
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

    /// Whether a runner of the same function is being started on the same worker: this instance may be its.
    fn may_be_starting_here(&self, listed: &ListedRunner) -> bool {
        self.reservations.values().any(|reservation| {
            reservation.instance.is_none()
                && reservation.function.name == listed.function
                && reservation.worker == listed.worker
        })
    }

    /// Records a runner that nobody holds, under a name of this term. It waits for the next holder of its
    /// function if that function is surely the one in the specification.
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

    /// A runner that should be in the list by now and is not has ended.
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
                    + startup.unwrap_or(Duration::from_secs(5)) * 3
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
            self.runner_vanished(vanished_runner);
        }
    }
}
