use super::workers::Reservation;
use super::{Desk, GrantEntry, StreamId};
use serde_json::json;
use std::collections::BTreeSet;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{Claim, KnownMember, StreamDown};
use waymark::identity::{FunctionKey, RunnerId};

impl Desk {
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
            self.take_ending(claim);
        }
        for claim in claims {
            self.take_claim(now, stream, &claimant, claim);
        }
        for (function, entry) in &mut self.entries {
            let is_dropped = entry.holder == claimant && !claimed_functions.contains(function);
            if is_dropped && entry.fencing_since.is_none() {
                entry.fencing_since = Some(now);
            }
        }
        for (runner, reservation) in &mut self.reservations {
            let is_claimants = self
                .entries
                .get(&reservation.function)
                .is_some_and(|entry| entry.holder == claimant && entry.grant == runner.grant);
            if is_claimants && !claimed_runners.contains(runner) {
                reservation.stop_wanted = true;
            }
        }
        if let Some(record) = self.members.get_mut(&claimant) {
            record.claimed = true;
        }
        self.tell_again(&claimant);
    }

    /// What a holder was told on an earlier stream may be lost with it: drains and hand-overs that
    /// stand are told again.
    fn tell_again(&mut self, claimant: &KnownMember) {
        for entry in self.entries.values_mut().filter(|entry| entry.holder == *claimant) {
            entry.handing_over = false;
        }
        let entries = &self.entries;
        for (runner, reservation) in &mut self.reservations {
            let is_claimants = entries
                .get(&reservation.function)
                .is_some_and(|entry| entry.holder == *claimant && entry.grant == runner.grant);
            if is_claimants {
                reservation.draining = false;
            }
        }
        self.hand_over_evacuated();
    }

    /// Runners of a function given up stand in the way of its next grant until they are stopped.
    fn take_ending(&mut self, claim: Claim) {
        for listed in claim.runners.0 {
            let reservation = self.reservations.entry(listed.runner).or_insert(Reservation {
                function: claim.function.clone(),
                worker: listed.worker,
                memory_mb: listed.memory_mb,
                ready: true,
                draining: true,
                stop_wanted: true,
                stop_asked_at: None,
            });
            reservation.stop_wanted = true;
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
            if let Some(loser_stream) = loser_record.and_then(|record| record.stream) {
                let frame =
                    StreamDown::Revoke { function: claim.function.clone(), grant: entry.grant };
                self.down(loser_stream, frame);
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
                handing_over: false,
                steward: claim.steward.0.first().cloned(),
                whole: claim.whole.0,
            };
            self.entries.insert(claim.function.clone(), entry);
        }
        if let Some(record) = self.members.get_mut(claimant) {
            let claimed_bound = self.elected_at + self.timing.full_wait();
            record.grant_bound = record.grant_bound.max(claimed_bound);
            record.heard_at = now;
        }
        for listed in claim.runners.0 {
            self.reservations.entry(listed.runner).or_insert(Reservation {
                function: claim.function.clone(),
                worker: listed.worker,
                memory_mb: listed.memory_mb,
                ready: true,
                draining: false,
                stop_wanted: false,
                stop_asked_at: None,
            });
        }
    }
}
