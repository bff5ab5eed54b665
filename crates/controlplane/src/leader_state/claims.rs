//! Claims: after an election, and on each new stream, a member reports the leases and runners that it holds.

use super::reservations::Reservation;
use super::{EventDetail, LeaderState, LeaseRecord, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Claim, ClaimedRunner, KnownMember, LeaderToDaemon};
use common::identity::{FunctionKey, RunnerId};
use std::collections::BTreeSet;

/// How a claim relates to the recorded lease of its function.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClaimStatus {
    /// It matches the recorded lease.
    Held,
    /// No lease is recorded, and the claims quorum is still awaited.
    Free,
    /// Its fencing token is greater than the recorded one, and the claims quorum is still awaited.
    Newer,
    /// It conflicts with the recorded lease, or the claims quorum has been reached already.
    Rejected,
}

impl LeaderState {
    /// Handles the claims of a member, which list everything that it holds. Recorded leases and runners of the member
    /// that are not in the claims are ended.
    pub(super) fn handle_claims(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        claims: Vec<Claim>,
    ) {
        let Some(claimant) = self.members.on_stream(stream).cloned() else {
            return;
        };
        let (released_claims, claims): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|claim| claim.is_releasing.0);
        let claimed_functions: BTreeSet<FunctionKey> =
            claims.iter().map(|claim| claim.function.clone()).collect();
        let claimed_runners: BTreeSet<RunnerId> = claims
            .iter()
            .flat_map(|claim| claim.runners.0.iter().map(|listed| listed.runner))
            .collect();
        for claim in released_claims {
            self.accept_released_runners(now, claim.function, claim.runners.0);
        }
        for claim in claims {
            self.accept_claim(now, stream, &claimant, claim);
        }
        let dropped_functions: Vec<FunctionKey> = self
            .lease_records
            .functions_of(&claimant)
            .into_iter()
            .filter(|function| !claimed_functions.contains(function))
            .collect();
        for dropped_function in dropped_functions {
            self.begin_fencing(now, &dropped_function);
        }
        let unclaimed_runners: Vec<RunnerId> = self
            .runners_of(&claimant)
            .into_iter()
            .filter(|runner| !claimed_runners.contains(runner))
            .collect();
        for unclaimed_runner in unclaimed_runners {
            self.reservations.mark_stopping(unclaimed_runner);
        }
        if let Some(record) = self.members.get_mut(&claimant) {
            record.claimed = true;
        }
        self.renewals.schedule_check();
        self.resend_orders(&claimant);
    }

    /// Resends outstanding drain and hand-over orders, which may have been lost with the holder's earlier stream.
    fn resend_orders(&mut self, claimant: &KnownMember) {
        let held_functions = self.lease_records.functions_of(claimant);
        for function in &held_functions {
            if let Some(entry) = self.lease_records.get_mut(function) {
                entry.handing_over = false;
            }
        }
        let held_runners = self.runners_of(claimant);
        for runner in &held_runners {
            self.reservations
                .update(*runner, |reservation| reservation.draining = false);
        }
        self.hand_over_if_evacuated(held_functions);
        self.drain_if_worker_unusable(held_runners);
    }

    /// Returns the runners under the leases that a member holds.
    fn runners_of(&self, holder: &KnownMember) -> Vec<RunnerId> {
        self.lease_records
            .all_of(holder)
            .filter(|(_, entry)| entry.fencing_since.is_none())
            .flat_map(|(function, entry)| {
                let runners = self.reservations.all_of(function).map(|(runner, _)| runner);
                runners.filter(|runner| runner.fencing_token == entry.fencing_token)
            })
            .collect()
    }

    /// Records the runners that a member left when it released a function. They are orphaned, or block the next lease
    /// until they are stopped. Instances that belong to another runner by now are ignored.
    pub(super) fn accept_released_runners(
        &mut self,
        now: MonotonicTime,
        function: FunctionKey,
        listed_runners: Vec<ClaimedRunner>,
    ) {
        for listed in listed_runners {
            let instance = listed.instance.0.into_iter().next();
            let instance_id = instance.as_ref().map(|instance| &instance.name);
            let owner = instance_id.and_then(|name| self.reservations.runner_with_instance(name));
            let belongs_to_other = owner.is_some_and(|owner| owner != listed.runner);
            let is_renamed = self.reservations.current_name(listed.runner) != listed.runner;
            if belongs_to_other
                || is_renamed
                || self.reservations.has_ended(listed.runner, instance_id)
            {
                continue;
            }
            if self.reservations.get(listed.runner).is_none() {
                let memory_mb = listed.memory_mb;
                let mut reservation = Reservation::new(function.clone(), listed.worker, memory_mb);
                reservation.ready = listed.is_adoptable.0;
                self.reservations.insert(listed.runner, reservation);
                if let Some(instance) = instance {
                    self.reservations.note_started(listed.runner, instance, now);
                }
                self.orphan_or_stop(now, listed.runner);
                continue;
            }
            if let Some(instance) = instance {
                self.reservations.note_started(listed.runner, instance, now);
            }
            if listed.is_adoptable.0 {
                self.reservations
                    .update(listed.runner, |reservation| reservation.ready = true);
            } else {
                self.reservations.mark_stopping(listed.runner);
            }
        }
    }

    fn accept_claim(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        claimant: &KnownMember,
        claim: Claim,
    ) {
        let status = self.claim_status(claimant, &claim);
        match status {
            ClaimStatus::Rejected => {
                self.reject_claim(stream, claimant, claim);
                return;
            }
            ClaimStatus::Newer => self.supersede_lease(&claim.function),
            ClaimStatus::Held | ClaimStatus::Free => {}
        }
        if status != ClaimStatus::Held {
            let entry = LeaseRecord::new(
                claimant.clone(),
                claim.fencing_token,
                claim.replica.0.first().cloned(),
                claim.complete.0,
            );
            self.lease_records.insert(claim.function.clone(), entry);
        }
        if let Some(record) = self.members.get_mut(claimant) {
            let claimed_bound = self.elected_at + self.timing.full_lease_wait();
            record.lease_expiry_bound = record.lease_expiry_bound.max(claimed_bound);
            record.is_expiry_handled = false;
            record.last_contact_at = now;
        }
        self.fencing.schedule_sweep();
        for listed in claim.runners.0 {
            self.accept_claimed_runner(now, &claim.function, listed);
        }
    }

    fn claim_status(&self, claimant: &KnownMember, claim: &Claim) -> ClaimStatus {
        let is_awaiting = !self.claims.is_reached;
        match self.lease_records.get(&claim.function) {
            None if is_awaiting => ClaimStatus::Free,
            Some(entry)
                if entry.holder == *claimant
                    && entry.fencing_token == claim.fencing_token
                    && entry.fencing_since.is_none() =>
            {
                ClaimStatus::Held
            }
            Some(entry) if is_awaiting && entry.fencing_token < claim.fencing_token => {
                ClaimStatus::Newer
            }
            _ => ClaimStatus::Rejected,
        }
    }

    fn reject_claim(&mut self, stream: StreamId, claimant: &KnownMember, claim: Claim) {
        let detail = EventDetail::Lease {
            function: claim.function.clone(),
            member: claimant.member.clone(),
            fencing_token: claim.fencing_token,
        };
        self.record_event(events::CLAIM_REJECTED, detail);
        let frame = LeaderToDaemon::Revoke {
            function: claim.function,
            fencing_token: claim.fencing_token,
        };
        self.send_frame(stream, frame);
    }

    /// Revokes the recorded lease of a function for which a greater fencing token was claimed, and stops its runners.
    fn supersede_lease(&mut self, function: &FunctionKey) {
        let Some(entry) = self.lease_records.get(function) else {
            return;
        };
        let frame = LeaderToDaemon::Revoke {
            function: function.clone(),
            fencing_token: entry.fencing_token,
        };
        if let Some(superseded_stream) = self.members.stream_of(&entry.holder) {
            self.send_frame(superseded_stream, frame);
        }
        let superseded_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .map(|(runner, _)| runner)
            .collect();
        for superseded_runner in superseded_runners {
            self.reservations.mark_stopping(superseded_runner);
        }
    }

    fn accept_claimed_runner(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        listed: ClaimedRunner,
    ) {
        let is_new = self.reservations.get(listed.runner).is_none();
        if is_new && self.reservations.has_ended(listed.runner, None) {
            return;
        }
        if is_new {
            let reservation = Reservation::new(function.clone(), listed.worker, listed.memory_mb);
            self.reservations.insert(listed.runner, reservation);
        }
        if let Some(instance) = listed.instance.0.into_iter().next() {
            self.reservations.note_started(listed.runner, instance, now);
        }
        if is_new || listed.is_adoptable.0 {
            self.reservations.update(listed.runner, |reservation| {
                reservation.ready = listed.is_adoptable.0
            });
        }
    }
}
