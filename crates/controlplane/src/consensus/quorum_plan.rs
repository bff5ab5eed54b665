//! Chooses the voters: as many as the settings ask for, spread over the zones.
//!
//! The choice is a pure function of the settings, the current voters, the lost ones among them, and the
//! candidates.

use common::identity::{ControllerId, Zone};
use common::spec::Voter;
use std::collections::BTreeSet;

/// The default number of voters.
pub const DEFAULT_VOTERS: usize = 3;

/// The default number of zones that may be lost without losing the majority.
const DEFAULT_ZONE_LOSSES: usize = 1;

/// How many voters the control quorum should have, and how many of them may be in one zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuorumPolicy {
    voters: usize,
    zone_limit: usize,
}

impl QuorumPolicy {
    /// Creates the policy of a quorum of `voters` that keeps its majority when `zone_losses` zones are
    /// lost at once.
    pub fn new(voters: usize, zone_losses: usize) -> Self {
        let tolerated_losses = voters.saturating_sub(1) / 2;
        let zone_limit = tolerated_losses
            .checked_div(zone_losses)
            .map_or(voters, |limit| limit.max(1));
        Self { voters, zone_limit }
    }

    /// Creates the policy of the smallest quorum that keeps its majority when `machine_losses` machines
    /// or `zone_losses` zones are lost at once.
    pub fn tolerating(machine_losses: usize, zone_losses: usize) -> Self {
        let losses = machine_losses.max(zone_losses).max(1);
        Self::new(2 * losses + 1, zone_losses)
    }

    /// Returns the number of voters.
    pub fn voters(self) -> usize {
        self.voters
    }

    /// Returns the maximal number of voters in one zone.
    pub fn zone_limit(self) -> usize {
        self.zone_limit
    }
}

impl Default for QuorumPolicy {
    fn default() -> Self {
        Self::new(DEFAULT_VOTERS, DEFAULT_ZONE_LOSSES)
    }
}

/// The inputs from which the next voters are chosen.
pub struct QuorumPlan<'a> {
    /// The intended number of voters and their spread.
    pub quorum_policy: QuorumPolicy,
    /// The current voters.
    pub voters: &'a [Voter],
    /// The leader; it always remains a voter.
    pub leader: ControllerId,
    /// The voters that are lost.
    pub missing: &'a BTreeSet<ControllerId>,
    /// Controllers that may become voters: they are not voters, are alive and nearly up to date.
    pub candidates: Vec<Voter>,
}

impl QuorumPlan<'_> {
    /// Returns the next voters, or `None` if no voter is to be added or replaced. Lost voters are
    /// replaced, a quorum that is too small grows, and voters in a zone over its limit are replaced by
    /// candidates in other zones. No voter is removed without a successor.
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

    /// Removes and returns the successor of a lost voter from the candidates: one at its address, else
    /// one in its zone, else one in the zone with the fewest voters if that zone is below its limit.
    fn take_replacement(&mut self, voters: &[Voter], index: usize) -> Option<Voter> {
        let missing = &voters[index];
        let at_same_address = self
            .candidates
            .iter()
            .position(|candidate| candidate.address == missing.address);
        let in_same_zone = || {
            self.candidates
                .iter()
                .position(|candidate| candidate.zone == missing.zone)
        };
        let candidate_index = at_same_address
            .or_else(in_same_zone)
            .or_else(|| self.candidate_within_zone_limit(voters))?;
        Some(self.candidates.swap_remove(candidate_index))
    }

    /// Adds candidates up to the intended number of voters. Above three voters the quorum grows only to
    /// odd numbers, unless the intended number itself is even: an even number of voters tolerates the
    /// loss of no more machines than the odd number below it, and of fewer zones.
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

    /// Returns the index of a candidate in the zone with the fewest voters, if that zone is below its
    /// limit.
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
