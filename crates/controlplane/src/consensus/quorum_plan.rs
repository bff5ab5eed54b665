//! The choice of the voters: as many as the settings ask for, spread over the zones.
//!
//! A pure function of the present voters, those of them that are lost, and the candidates.

use common::identity::{ControllerId, Zone};
use common::spec::Voter;
use std::collections::BTreeSet;

/// The default number of voters.
pub const DEFAULT_VOTERS: usize = 3;

/// How many zones may be lost by default without losing the majority.
const DEFAULT_ZONE_LOSSES: usize = 1;

/// How many voters the control quorum is to have, and how many of them one zone may hold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuorumPolicy {
    voters: usize,
    zone_limit: usize,
}

impl QuorumPolicy {
    /// A quorum of `voters` that keeps its majority when `zone_losses` zones are lost at once.
    pub fn new(voters: usize, zone_losses: usize) -> Self {
        let tolerated_losses = voters.saturating_sub(1) / 2;
        let zone_limit = tolerated_losses
            .checked_div(zone_losses)
            .map_or(voters, |limit| limit.max(1));
        Self { voters, zone_limit }
    }

    /// The smallest quorum that keeps its majority when `machine_losses` machines, or `zone_losses`
    /// zones, are lost at once.
    pub fn tolerating(machine_losses: usize, zone_losses: usize) -> Self {
        let losses = machine_losses.max(zone_losses).max(1);
        Self::new(2 * losses + 1, zone_losses)
    }

    /// The number of voters.
    pub fn voters(self) -> usize {
        self.voters
    }

    /// The maximal number of voters in one zone.
    pub fn zone_limit(self) -> usize {
        self.zone_limit
    }
}

impl Default for QuorumPolicy {
    fn default() -> Self {
        Self::new(DEFAULT_VOTERS, DEFAULT_ZONE_LOSSES)
    }
}

/// What the next voters are chosen from.
pub struct QuorumPlan<'a> {
    /// The number and spread of the voters to reach.
    pub quorum_policy: QuorumPolicy,
    /// The present voters.
    pub voters: &'a [Voter],
    /// The voter that leads; it always stays a voter.
    pub leader: ControllerId,
    /// The voters that are lost.
    pub missing: &'a BTreeSet<ControllerId>,
    /// Controllers that may become voters: they do not vote, are alive and nearly up to date.
    pub candidates: Vec<Voter>,
}

impl QuorumPlan<'_> {
    /// The next voters, or none if they are the present ones: lost voters are replaced, a quorum that
    /// is too small grows, and voters of a zone over its limit are replaced by others elsewhere. No
    /// voter is removed without a successor.
    pub fn next_voters(mut self) -> Option<Vec<Voter>> {
        let mut next_voters = self.voters.to_vec();
        self.replace_missing_voters(&mut next_voters);
        self.add_voters(&mut next_voters);
        self.rebalance_zones(&mut next_voters);
        let differs = next_voters.iter().any(|voter| !self.voters.contains(voter));
        differs.then_some(next_voters)
    }

    fn replace_missing_voters(&mut self, next_voters: &mut [Voter]) {
        for index in 0..next_voters.len() {
            if self.missing.contains(&next_voters[index].id)
                && let Some(successor) = self.take_replacement(next_voters, index)
            {
                next_voters[index] = successor;
            }
        }
    }

    /// The successor of a lost voter: a candidate at its address, else in its zone, else in the zone
    /// with the fewest voters, if that is below its limit.
    fn take_replacement(&mut self, voters: &[Voter], index: usize) -> Option<Voter> {
        let missing = &voters[index];
        let at_its_address = self
            .candidates
            .iter()
            .position(|candidate| candidate.address == missing.address);
        let in_its_zone = || {
            self.candidates
                .iter()
                .position(|candidate| candidate.zone == missing.zone)
        };
        let candidate_index = at_its_address
            .or_else(in_its_zone)
            .or_else(|| self.candidate_within_zone_limit(voters))?;
        Some(self.candidates.swap_remove(candidate_index))
    }

    /// Adds candidates up to the wanted number. Above three voters the quorum grows from one odd number
    /// to the next: an even number tolerates the loss of no more machines than the odd one below it,
    /// and of fewer zones.
    fn add_voters(&mut self, next_voters: &mut Vec<Voter>) {
        let mut additional_voters = self
            .quorum_policy
            .voters
            .saturating_sub(next_voters.len())
            .min(self.candidates.len());
        let target_voters = next_voters.len() + additional_voters;
        let is_even = target_voters.is_multiple_of(2) && target_voters != self.quorum_policy.voters;
        if target_voters > DEFAULT_VOTERS && is_even {
            additional_voters = additional_voters.saturating_sub(1);
        }
        for _ in 0..additional_voters {
            let candidate_index = self
                .candidate_within_zone_limit(next_voters)
                .or_else(|| self.candidate_in_least_loaded_zone(next_voters));
            let Some(candidate_index) = candidate_index else {
                return;
            };
            next_voters.push(self.candidates.swap_remove(candidate_index));
        }
    }

    fn rebalance_zones(&mut self, next_voters: &mut [Voter]) {
        for index in 0..next_voters.len() {
            let voter = &next_voters[index];
            let exceeds_zone_limit =
                voters_in_zone(next_voters, &voter.zone) > self.quorum_policy.zone_limit;
            if !exceeds_zone_limit || voter.id == self.leader {
                continue;
            }
            if let Some(candidate_index) = self.candidate_within_zone_limit(next_voters) {
                next_voters[index] = self.candidates.swap_remove(candidate_index);
            }
        }
    }

    /// The index of a candidate in the zone with the fewest voters, if that zone is below its limit.
    fn candidate_within_zone_limit(&self, voters: &[Voter]) -> Option<usize> {
        self.candidate_in_least_loaded_zone(voters)
            .filter(|candidate_index| {
                voters_in_zone(voters, &self.candidates[*candidate_index].zone)
                    < self.quorum_policy.zone_limit
            })
    }

    fn candidate_in_least_loaded_zone(&self, voters: &[Voter]) -> Option<usize> {
        (0..self.candidates.len())
            .min_by_key(|index| voters_in_zone(voters, &self.candidates[*index].zone))
    }
}

fn voters_in_zone(voters: &[Voter], zone: &Zone) -> usize {
    voters.iter().filter(|voter| voter.zone == *zone).count()
}
