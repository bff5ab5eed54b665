//! The runners of one held function.

use super::runners::{Phase, RunnerRecord};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Instance, SocketAddress};
use common::identity::RunnerId;
use std::collections::BTreeMap;

/// The runners of one held function, by id.
pub(super) struct RunnerSet {
    records: BTreeMap<RunnerId, RunnerRecord>,
    /// The largest number of slots per runner in any spec under this lease.
    max_slots: u32,
    has_adopted: bool,
}

impl RunnerSet {
    /// Adopts the runners of an earlier holder, except those without a known instance.
    pub(super) fn adopted(now: MonotonicTime, adopted: Vec<ClaimedRunner>, slots: u32) -> Self {
        let has_adopted = !adopted.is_empty();
        let records = adopted
            .into_iter()
            .filter_map(|listed| Some((listed.runner, RunnerRecord::adopted(now, listed, slots)?)))
            .collect();
        Self {
            records,
            max_slots: slots,
            has_adopted,
        }
    }

    /// Whether the lease began with adopted runners.
    pub(super) fn has_adopted(&self) -> bool {
        self.has_adopted
    }

    /// Returns the largest number of slots per runner in any spec under this lease.
    pub(super) fn max_slots(&self) -> u32 {
        self.max_slots
    }

    /// Raises the maximum to the number of slots per runner in a newer spec.
    pub(super) fn raise_max_slots(&mut self, slots: u32) {
        self.max_slots = self.max_slots.max(slots);
    }

    /// Disables the slow start of all runners. Only for runs that show what slow start prevents.
    pub(super) fn skip_slow_start(&mut self) {
        for record in self.records.values_mut() {
            record.limit = record.slots;
        }
    }

    pub(super) fn get(&self, runner: RunnerId) -> Option<&RunnerRecord> {
        self.records.get(&runner)
    }

    pub(super) fn get_mut(&mut self, runner: RunnerId) -> Option<&mut RunnerRecord> {
        self.records.get_mut(&runner)
    }

    pub(super) fn insert(&mut self, runner: RunnerId, record: RunnerRecord) {
        self.records.insert(runner, record);
    }

    pub(super) fn remove(&mut self, runner: RunnerId) -> Option<RunnerRecord> {
        self.records.remove(&runner)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn ids(&self) -> Vec<RunnerId> {
        self.records.keys().copied().collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (RunnerId, &RunnerRecord)> {
        self.records
            .iter()
            .map(|(runner, record)| (*runner, record))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (RunnerId, &mut RunnerRecord)> {
        self.records
            .iter_mut()
            .map(|(runner, record)| (*runner, record))
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &RunnerRecord> {
        self.records.values()
    }

    /// Returns the runners that accept requests.
    pub(super) fn ready(&self) -> impl Iterator<Item = &RunnerRecord> {
        self.records().filter(|record| record.phase == Phase::Ready)
    }

    pub(super) fn has_ready(&self) -> bool {
        self.ready().next().is_some()
    }

    /// Returns the runners that are starting up.
    pub(super) fn starting(&self) -> impl Iterator<Item = (RunnerId, &RunnerRecord)> {
        self.iter().filter(|(_, record)| record.is_starting())
    }

    /// Returns the number of runners that are ready or starting, and not to be replaced.
    pub(super) fn starting_or_ready_count(&self) -> usize {
        self.records()
            .filter(|record| record.is_starting_or_ready())
            .count()
    }

    /// Whether all runners are orphaned; also true if there is none.
    pub(super) fn are_all_orphaned(&self) -> bool {
        self.records().all(|record| record.phase == Phase::Orphaned)
    }

    /// Returns the orphaned runners in the form in which they are reported to the leader.
    pub(super) fn orphaned_claims(&self) -> Vec<ClaimedRunner> {
        self.iter()
            .filter(|(_, record)| record.phase == Phase::Orphaned)
            .map(|(runner, record)| record.to_claim(runner))
            .collect()
    }

    /// Returns all runners in the form in which they are claimed after a reconnection.
    pub(super) fn claims(&self) -> Vec<ClaimedRunner> {
        self.iter()
            .map(|(runner, record)| record.to_claim(runner))
            .collect()
    }

    /// Returns the known instances of the runners that are not orphaned.
    pub(super) fn instances(&self) -> Vec<Instance> {
        self.records()
            .filter(|record| record.phase != Phase::Orphaned)
            .filter_map(|record| record.instance.clone())
            .collect()
    }

    /// Returns the address of a runner, or `None` until the platform has reported its instance.
    pub(super) fn address_of(&self, runner: RunnerId) -> Option<SocketAddress> {
        self.get(runner).and_then(RunnerRecord::address)
    }

    /// Returns the runner with a free slot that has the fewest slots in use; ties go to the lowest id.
    pub(super) fn least_busy_free(&self, now: MonotonicTime) -> Option<RunnerId> {
        self.iter()
            .filter(|(_, record)| record.has_free_slot(now))
            .min_by_key(|(_, record)| record.busy_count())
            .map(|(runner, _)| runner)
    }
}
