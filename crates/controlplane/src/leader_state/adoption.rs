//! Adoption of orphaned runners: the runners of a lost holder are handed to the function's next holder.

use super::LeaderState;
use common::frames::ClaimedRunner;
use common::identity::{FencingToken, FunctionKey, RunnerId};
use common::rules::Rule;

impl LeaderState {
    /// Stops the orphaned runners of a function that can no longer be adopted. Returns whether there were none; the
    /// function must not be leased before they have stopped.
    pub(super) fn stop_unadoptable_orphans(&mut self, function: &FunctionKey) -> bool {
        let unadoptable_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| reservation.is_orphaned())
            .filter(|(_, reservation)| {
                !reservation.is_adoptable()
                    || (self.workers.are_listed() && !self.is_worker_usable(&reservation.worker))
            })
            .map(|(runner, _)| runner)
            .collect();
        for unadoptable_runner in &unadoptable_runners {
            self.reservations.mark_stopping(*unadoptable_runner);
        }
        unadoptable_runners.is_empty() || !self.rules.enforces(Rule::FenceBeforeRegrant)
    }

    /// Stops the orphaned runners that may belong to an earlier holder of this regional key. Returns whether no such
    /// runner is left. If the platform does not report under which key a runner was started, the runner is recorded
    /// under the key of all regions, and is stopped before the key of one region is leased.
    pub(super) fn stop_orphans_with_unknown_key(&mut self, function: &FunctionKey) -> bool {
        let unknown_runners = self.reservations.with_unknown_key(function);
        let orphaned_runners = unknown_runners.iter().filter(|runner| {
            self.reservations
                .get(**runner)
                .is_some_and(|reservation| reservation.is_orphaned())
        });
        for orphaned_runner in orphaned_runners.copied().collect::<Vec<RunnerId>>() {
            self.reservations.mark_stopping(orphaned_runner);
        }
        unknown_runners.is_empty() || !self.rules.enforces(Rule::FenceBeforeRegrant)
    }

    /// Transfers the orphaned runners of a function to its next holder. Their new names contain the new fencing token.
    pub(super) fn adopt_orphans(
        &mut self,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Vec<ClaimedRunner> {
        let orphaned_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| reservation.is_orphaned())
            .map(|(runner, _)| runner)
            .collect();
        let is_once = self.rules.enforces(Rule::InstanceAdoptedOnce);
        let mut adopted = Vec::new();
        for orphaned_runner in orphaned_runners {
            let runner = RunnerId {
                fencing_token,
                ordinal: self.next_fencing_token().0,
            };
            if is_once {
                self.reservations.adopt(orphaned_runner, runner);
            } else {
                self.reservations
                    .adopt_without_transfer(orphaned_runner, runner);
            }
            if let Some(reservation) = self.reservations.get(runner) {
                adopted.push(reservation.as_claim(runner));
            }
        }
        adopted
    }
}
