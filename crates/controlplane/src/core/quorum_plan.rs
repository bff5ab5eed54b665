//! Which controllers ought to vote: how many the settings ask for, spread over zones. Pure decisions.

use common::identity::{ControllerId, Zone};
use common::spec::CoreMember;
use std::collections::BTreeSet;

/// How many voters the control quorum has, unless the settings say otherwise.
pub const DEFAULT_VOTERS: usize = 3;

const DEFAULT_ZONE_LOSSES: usize = 1;

/// The voters that the control quorum is to have, and how many of them may stand in one zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuorumShape {
    voters: usize,
    zone_limit: usize,
}

impl QuorumShape {
    /// A quorum of so many voters, a majority of which is left when so many zones are lost.
    pub fn new(voters: usize, zone_losses: usize) -> Self {
        let spare_voters = voters.saturating_sub(1) / 2;
        let zone_limit = spare_voters.checked_div(zone_losses).map_or(voters, |limit| limit.max(1));
        Self { voters, zone_limit }
    }

    /// The smallest quorum a majority of which is left when so many machines, or so many zones, are
    /// lost at once.
    pub fn bearing(machine_losses: usize, zone_losses: usize) -> Self {
        let losses = machine_losses.max(zone_losses).max(1);
        Self::new(2 * losses + 1, zone_losses)
    }

    /// How many voters there are to be.
    pub fn voters(self) -> usize {
        self.voters
    }

    /// How many of them one zone may hold.
    pub fn zone_limit(self) -> usize {
        self.zone_limit
    }
}

impl Default for QuorumShape {
    fn default() -> Self {
        Self::new(DEFAULT_VOTERS, DEFAULT_ZONE_LOSSES)
    }
}

/// What the next set of voters is chosen from.
pub struct QuorumPlan<'a> {
    /// What the quorum is to look like.
    pub shape: QuorumShape,
    /// The voters now.
    pub voters: &'a [CoreMember],
    /// The voter that leads; it always stays.
    pub leader: ControllerId,
    /// Those of the voters that are lost.
    pub missing: &'a BTreeSet<ControllerId>,
    /// Controllers that do not vote, are alive, and hold the state.
    pub candidates: Vec<CoreMember>,
}

impl QuorumPlan<'_> {
    /// The next set of voters, if it is another one: lost voters are replaced, a quorum that is too
    /// small grows, and a zone that holds too many gives one up. No voter goes without a successor.
    pub fn next_voters(mut self) -> Option<Vec<CoreMember>> {
        let mut next_voters = self.voters.to_vec();
        self.replace_missing(&mut next_voters);
        self.grow(&mut next_voters);
        self.relieve_zones(&mut next_voters);
        let differs = next_voters.iter().any(|voter| !self.voters.contains(voter));
        differs.then_some(next_voters)
    }

    fn replace_missing(&mut self, next_voters: &mut [CoreMember]) {
        for index in 0..next_voters.len() {
            if self.missing.contains(&next_voters[index].id)
                && let Some(successor) = self.take_successor(next_voters, index)
            {
                next_voters[index] = successor;
            }
        }
    }

    /// A controller at the lost one's address, else in its zone, else in the emptiest other zone that
    /// has room.
    fn take_successor(&mut self, voters: &[CoreMember], index: usize) -> Option<CoreMember> {
        let missing = &voters[index];
        let at_its_place =
            self.candidates.iter().position(|candidate| candidate.place == missing.place);
        let in_its_zone =
            || self.candidates.iter().position(|candidate| candidate.zone == missing.zone);
        let found = at_its_place.or_else(in_its_zone).or_else(|| self.roomiest(voters))?;
        Some(self.candidates.swap_remove(found))
    }

    /// A quorum that can bear a loss grows from one odd number to the next: an even number bears no
    /// more machines than the odd one below it, and fewer zones.
    fn grow(&mut self, next_voters: &mut Vec<CoreMember>) {
        let mut wanted =
            self.shape.voters.saturating_sub(next_voters.len()).min(self.candidates.len());
        let reached = next_voters.len() + wanted;
        let is_even = reached.is_multiple_of(2) && reached != self.shape.voters;
        if reached > DEFAULT_VOTERS && is_even {
            wanted = wanted.saturating_sub(1);
        }
        for _ in 0..wanted {
            let found = self.roomiest(next_voters).or_else(|| self.emptiest(next_voters));
            let Some(found) = found else { return };
            next_voters.push(self.candidates.swap_remove(found));
        }
    }

    fn relieve_zones(&mut self, next_voters: &mut [CoreMember]) {
        for index in 0..next_voters.len() {
            let voter = &next_voters[index];
            let is_crowded = count_in(next_voters, &voter.zone) > self.shape.zone_limit;
            if !is_crowded || voter.id == self.leader {
                continue;
            }
            if let Some(found) = self.roomiest(next_voters) {
                next_voters[index] = self.candidates.swap_remove(found);
            }
        }
    }

    /// The candidate in the zone with the fewest voters, if that zone may hold one more.
    fn roomiest(&self, voters: &[CoreMember]) -> Option<usize> {
        self.emptiest(voters)
            .filter(|found| count_in(voters, &self.candidates[*found].zone) < self.shape.zone_limit)
    }

    fn emptiest(&self, voters: &[CoreMember]) -> Option<usize> {
        (0..self.candidates.len())
            .min_by_key(|index| count_in(voters, &self.candidates[*index].zone))
    }
}

fn count_in(voters: &[CoreMember], zone: &Zone) -> usize {
    voters.iter().filter(|voter| voter.zone == *zone).count()
}
