use super::members::MemberRecord;
use super::{LeaderState, Proof};
use common::clock::Moment;
use common::frames::{KnownMember, Place};
use common::identity::FunctionKey;
use common::spec::RosterMember;
use std::collections::BTreeSet;
use std::time::Duration;

/// Names are gathered so long before they are committed together.
const GATHER_FOR: Duration = Duration::from_millis(30);
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// A clock may run so many tenths slower than another.
const SLOWEST_TENTHS: u32 = 9;

/// A daemon that the roster names and that has no record here.
pub(super) struct Absence {
    since: Moment,
    /// Whether it said that it was leaving.
    is_in_order: bool,
}

/// Whether a life proves that whatever else stood at a listed place is gone: it holds the port.
fn proves(known: &KnownMember, listed: &RosterMember) -> bool {
    known.place == listed.place && (known.member == listed.member || known.place != Place::NOWHERE)
}

fn listed_as(known: &KnownMember) -> RosterMember {
    RosterMember { member: known.member.clone(), place: known.place }
}

/// The moment from which a life has run, by this clock, at the latest.
pub(super) fn born_at(now: Moment, age_ms: u32) -> Moment {
    now - Duration::from_millis(u64::from(age_ms)) * SLOWEST_TENTHS / 10
}

impl LeaderState {
    fn roster(&self) -> Option<&BTreeSet<RosterMember>> {
        self.document.as_ref().map(|document| &document.roster)
    }

    /// Whether a daemon may get its member grant: the committed roster names it, and so does the one in
    /// flight; and a majority followed this leader after it joined. Where no roster is committed yet, a
    /// round must have named it.
    pub(super) fn may_be_granted(&self, known: &KnownMember, proof: &Proof<'_>) -> bool {
        let joined_at = self.members.get(known).map(|record| record.joined_at);
        if joined_at.is_none_or(|joined_at| proof.quorum_moment < joined_at) {
            return false;
        }
        let listed = listed_as(known);
        match self.roster() {
            Some(roster) if !roster.is_empty() => {
                roster.contains(&listed)
                    && proof.in_flight.is_none_or(|coming| coming.contains(&listed))
            }
            _ => proof.in_flight.is_none_or(BTreeSet::is_empty) && (proof.confirmed)(known),
        }
    }

    /// Whether every place of the awaited roster has been claimed from by the life that stands there.
    pub(super) fn has_whole_roster_claimed(&self) -> bool {
        self.awaited.iter().all(|listed| self.claimant_at(listed).is_some())
    }

    /// How many of the awaited roster have claimed, by name.
    pub(super) fn claimed_names(&self) -> usize {
        let has_claimed = |listed: &&RosterMember| {
            let known = self.current.get(&listed.member);
            known.is_some_and(|known| self.members.get(known).is_some_and(|held| held.claimed))
        };
        self.awaited.iter().filter(has_claimed).count()
    }

    fn claimant_at(&self, listed: &RosterMember) -> Option<&MemberRecord> {
        self.members
            .iter()
            .find(|(known, record)| record.claimed && proves(known, listed))
            .map(|(_, record)| record)
    }

    /// From when on a list of the platform shows whatever the lives before the present ones, and what
    /// they gave up under earlier leaders, have left.
    pub(super) fn whole_list_from(&self) -> Moment {
        let claimants = self.awaited.iter().filter_map(|listed| self.claimant_at(listed));
        claimants
            .map(|record| {
                let settled_at = record.born_at + self.timing.start_settle;
                if record.was_granted { settled_at.max(self.elected_at) } else { settled_at }
            })
            .max()
            .unwrap_or(self.elected_at)
    }

    /// Whether everything that runs and that nobody claimed is known.
    pub(super) fn is_list_whole(&self) -> bool {
        self.runners_listed_at >= self.listed_from
    }

    /// From when on a list's unclaimed lives are nobody's: the election, or earlier if every earlier life
    /// was gone earlier.
    pub(super) fn unclaimed_from(&self) -> Moment {
        if self.listed_from == Moment::ZERO {
            self.elected_at
        } else {
            self.listed_from.min(self.elected_at)
        }
    }

    /// Whether runners of a function may be there that are not known yet.
    pub(super) fn may_have_unlisted(&self, function: &FunctionKey) -> bool {
        !self.is_list_whole() && function.generation <= self.inherited_serial
    }

    /// Forgets for the quorum whom nobody heard of for long.
    pub(super) fn strike_awaited(&mut self) -> Vec<RosterMember> {
        let current = &self.current;
        let is_back = |listed: &RosterMember| current.contains_key(&listed.member);
        let (kept, struck): (BTreeSet<RosterMember>, BTreeSet<RosterMember>) =
            std::mem::take(&mut self.awaited).into_iter().partition(is_back);
        self.awaited = kept;
        struck.into_iter().collect()
    }

    /// Notes who of the roster has no record here any more, and since when.
    fn note_gone(&mut self, now: Moment) {
        let present: BTreeSet<RosterMember> = self.members.keys().map(listed_as).collect();
        let roster = self.roster().cloned().unwrap_or_default();
        self.absences.retain(|gone, _| roster.contains(gone) && !present.contains(gone));
        for gone in roster.difference(&present) {
            let is_in_order = false;
            self.absences.entry(gone.clone()).or_insert(Absence { since: now, is_in_order });
        }
    }

    /// A daemon that said it was leaving is gone: it holds nothing any more.
    pub(super) fn note_left(&mut self, now: Moment, left: &KnownMember) {
        self.absences.insert(listed_as(left), Absence { since: now, is_in_order: true });
    }

    /// The roster as it should be: with whoever joined, without those that have been gone long and
    /// whose grants have surely ended, whatever they said as they left. None while it is not known who may hold grants.
    pub fn wanted_roster(&self, now: Moment) -> Option<BTreeSet<RosterMember>> {
        let roster = self.roster()?;
        let is_past_doubt = self.all_claimed || now >= self.elected_at + self.timing.full_wait();
        if roster.is_empty() && !(self.opened && is_past_doubt) {
            return None;
        }
        let full_wait = self.timing.full_wait();
        let left_after = self.timing.restart_span.max(full_wait);
        let lost_after = self.timing.strike_after.max(full_wait);
        let is_gone = |listed: &&RosterMember| {
            self.absences.get(*listed).is_some_and(|absence| {
                let span = if absence.is_in_order { left_after } else { lost_after };
                now.since(absence.since) > span
            })
        };
        let kept = roster.iter().filter(|listed| !is_gone(listed)).cloned();
        Some(kept.chain(self.members.keys().map(listed_as)).collect())
    }

    /// The roster to be committed, when it has been wanted for a moment.
    pub fn due_roster(&mut self, now: Moment) -> Option<BTreeSet<RosterMember>> {
        if !std::mem::take(&mut self.roster_changed)
            && now < self.roster_look_at
            && self.roster_wanted_since.is_none()
        {
            return None;
        }
        self.roster_look_at = now + LOOK_EVERY;
        self.note_gone(now);
        let wanted = self.wanted_roster(now).filter(|wanted| self.roster() != Some(wanted));
        if wanted.is_none() {
            self.roster_wanted_since = None;
            return None;
        }
        let since = *self.roster_wanted_since.get_or_insert(now);
        wanted.filter(|_| now.since(since) >= GATHER_FOR)
    }

    /// Whether a daemon waits for a newer proof of the majority.
    pub fn wants_round(&self) -> bool {
        self.renewals.wants_proof()
    }

    /// Whether something here is waited for that comes about within milliseconds.
    pub fn is_hurried(&self) -> bool {
        self.roster_wanted_since.is_some() || !self.renewals.is_empty()
    }
}
