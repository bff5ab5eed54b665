use super::reservations::Reservation;
use super::{GrantEntry, LeaderState, StreamId};
use common::clock::Moment;
use common::events;
use common::frames::{Claim, ClaimRunner, KnownMember, StreamDown};
use common::identity::{FunctionKey, RunnerId};
use serde_json::json;
use std::collections::BTreeSet;

impl LeaderState {
    pub(super) fn hear_claims(&mut self, now: Moment, stream: StreamId, claims: Vec<Claim>) {
        let Some(claimant) = self.streams.get(&stream).cloned() else { return };
        let (ending_claims, claims): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|claim| claim.ending.0);
        let claimed_functions: BTreeSet<FunctionKey> =
            claims.iter().map(|claim| claim.function.clone()).collect();
        let claimed_runners: BTreeSet<RunnerId> = claims
            .iter()
            .flat_map(|claim| claim.runners.0.iter().map(|listed| listed.runner))
            .collect();
        for claim in ending_claims {
            self.take_ending(now, claim.function, claim.runners.0);
        }
        for claim in claims {
            self.take_claim(now, stream, &claimant, claim);
        }
        let dropped_functions: Vec<FunctionKey> = self
            .entries
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
            self.reservations.want_stop(unclaimed_runner);
        }
        if let Some(record) = self.members.get_mut(&claimant) {
            record.claimed = true;
        }
        self.renewals.look_again();
        self.tell_again(&claimant);
    }

    /// What a holder was told on an earlier stream may be lost with it: drains and hand-overs that
    /// stand are told again.
    fn tell_again(&mut self, claimant: &KnownMember) {
        let held_functions = self.entries.functions_of(claimant);
        for function in &held_functions {
            if let Some(entry) = self.entries.get_mut(function) {
                entry.handing_over = false;
            }
        }
        let held_runners = self.runners_of(claimant);
        for runner in &held_runners {
            self.reservations.note(*runner, |held| held.draining = false);
        }
        self.hand_over_if_evacuated(held_functions);
        self.drain_if_unfit(held_runners);
    }

    /// The runners under the grants that a daemon holds.
    fn runners_of(&self, holder: &KnownMember) -> Vec<RunnerId> {
        self.entries
            .of(holder)
            .filter(|(_, entry)| entry.fencing_since.is_none())
            .flat_map(|(function, entry)| {
                let runners = self.reservations.of(function).map(|(runner, _)| runner);
                runners.filter(|runner| runner.grant == entry.grant)
            })
            .collect()
    }

    /// Runners of a function given up are left for its next holder, or stand in the way of its next
    /// grant until they are stopped. A life that somebody else has by now is no longer theirs.
    pub(super) fn take_ending(
        &mut self,
        now: Moment,
        function: FunctionKey,
        listed_runners: Vec<ClaimRunner>,
    ) {
        for listed in listed_runners {
            let life = listed.life.0.into_iter().next();
            let life_name = life.as_ref().map(|life| &life.name);
            let owner = life_name.and_then(|name| self.reservations.with_life(name));
            let is_anothers = owner.is_some_and(|owner| owner != listed.runner);
            let is_renamed = self.reservations.name_now(listed.runner) != listed.runner;
            if is_anothers || is_renamed || self.reservations.has_ended(listed.runner, life_name) {
                continue;
            }
            if self.reservations.get(listed.runner).is_none() {
                let memory_mb = listed.memory_mb;
                let mut reservation = Reservation::new(function.clone(), listed.worker, memory_mb);
                reservation.ready = listed.fit.0;
                self.reservations.insert(listed.runner, reservation);
                if let Some(life) = life {
                    self.reservations.begun(listed.runner, life, now);
                }
                self.leave_or_stop(now, listed.runner);
                continue;
            }
            if let Some(life) = life {
                self.reservations.begun(listed.runner, life, now);
            }
            if listed.fit.0 {
                self.reservations.note(listed.runner, |held| held.ready = true);
            } else {
                self.reservations.want_stop(listed.runner);
            }
        }
    }

    fn take_claim(&mut self, now: Moment, stream: StreamId, claimant: &KnownMember, claim: Claim) {
        let standing = self.entries.get(&claim.function);
        let is_same = standing.is_some_and(|entry| {
            entry.holder == *claimant && entry.grant == claim.grant && entry.fencing_since.is_none()
        });
        let is_free = standing.is_none() && !self.opened;
        let is_older = standing.is_some_and(|entry| entry.grant < claim.grant) && !self.opened;
        if is_older && let Some(entry) = standing {
            let loser_record = self.members.get(&entry.holder);
            let frame = StreamDown::Revoke { function: claim.function.clone(), grant: entry.grant };
            if let Some(loser_stream) = loser_record.and_then(|record| record.stream) {
                self.down(loser_stream, frame);
            }
            let losing_runners: Vec<RunnerId> =
                self.reservations.of(&claim.function).map(|(runner, _)| runner).collect();
            for losing_runner in losing_runners {
                self.reservations.want_stop(losing_runner);
            }
        }
        if !(is_same || is_free || is_older) {
            self.tell(
                events::CLAIM_REJECTED,
                json!({
                    "function": claim.function.to_string(),
                    "member": claimant.member.as_str(),
                    "grant": claim.grant.0,
                }),
            );
            let frame = StreamDown::Revoke { function: claim.function, grant: claim.grant };
            self.down(stream, frame);
            return;
        }
        if !is_same {
            let entry = GrantEntry {
                holder: claimant.clone(),
                grant: claim.grant,
                fencing_since: None,
                lost_lease_end: None,
                handing_over: false,
                steward: claim.steward.0.first().cloned(),
                whole: claim.whole.0,
            };
            self.entries.insert(claim.function.clone(), entry);
        }
        if let Some(record) = self.members.get_mut(claimant) {
            let claimed_bound = self.elected_at + self.timing.full_wait();
            record.grant_bound = record.grant_bound.max(claimed_bound);
            record.swept = false;
            record.heard_at = now;
        }
        self.sweep_anew();
        for listed in claim.runners.0 {
            let is_new = self.reservations.get(listed.runner).is_none();
            if is_new && self.reservations.has_ended(listed.runner, None) {
                continue;
            }
            if is_new {
                let (function, memory_mb) = (claim.function.clone(), listed.memory_mb);
                let reservation = Reservation::new(function, listed.worker, memory_mb);
                self.reservations.insert(listed.runner, reservation);
            }
            if let Some(life) = listed.life.0.into_iter().next() {
                self.reservations.begun(listed.runner, life, now);
            }
            if is_new || listed.fit.0 {
                self.reservations.note(listed.runner, |held| held.ready = listed.fit.0);
            }
        }
    }
}
