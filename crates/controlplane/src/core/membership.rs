//! Membership changes of the control quorum: a joint configuration is committed by a majority of the
//! former and of the next voters, then the next voters alone go on.

use super::quorum_plan::QuorumPlan;
use super::{Core, CoreOutput, Other, Role};
use common::clock::Moment;
use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Serial, Stamp, Term};
use common::rules::Rule;
use common::spec::{CoreMember, Document};
use std::collections::BTreeSet;
use std::fmt;

/// How many versions a controller may be behind and still take a voter's place: while changes follow
/// each other closely, one that has the newest is rarely known to have it.
const CANDIDATE_LAG: u64 = 8;

/// Why a voter cannot be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MembershipFault {
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight, or an earlier membership change is not settled.
    Busy,
    /// The one to be replaced is no voter.
    NoSuchMember,
    /// The one to take its place is not there, or not level.
    NoSuchCandidate,
    /// Afterwards no majority of the voters would be alive.
    NoMajority,
}

impl fmt::Display for MembershipFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotReady => "no ready leader here",
            Self::Busy => "another change is in flight",
            Self::NoSuchMember => "no such member of the core",
            Self::NoSuchCandidate => "no such controller, or it is not level yet",
            Self::NoMajority => "afterwards no majority of the core would be alive",
        })
    }
}

impl std::error::Error for MembershipFault {}

impl Core {
    /// Whether a set is a majority under a document: of its voters, and of the former ones while a
    /// membership change is not settled.
    pub(super) fn is_majority_of(document: &Document, given: &BTreeSet<ControllerId>) -> bool {
        let is_most = |members: &[CoreMember]| {
            members.iter().filter(|member| given.contains(&member.id)).count() * 2 > members.len()
        };
        is_most(&document.core) && (document.former.is_empty() || is_most(&document.former))
    }

    fn is_alive(&self, now: Moment, id: ControllerId) -> bool {
        id == self.id
            || self
                .heard
                .get(&id)
                .is_some_and(|heard_at| now.since(*heard_at) < self.timing.election_longest * 2)
    }

    fn elected_at(&self) -> Moment {
        match &self.role {
            Role::Leader(rounds) => rounds.elected_at(),
            _ => Moment::ZERO,
        }
    }

    fn silence_began(&self, id: ControllerId) -> Moment {
        self.heard.get(&id).copied().unwrap_or_default().max(self.elected_at())
    }

    /// Controllers that do not vote, are alive, and follow this leader's versions.
    fn candidates(&self, now: Moment) -> Vec<CoreMember> {
        self.others
            .values()
            .filter(|other| {
                !self.is_voter(other.id) && self.is_alive(now, other.id) && self.is_level(other)
            })
            .map(|other| CoreMember {
                id: other.id,
                place: other.address.place,
                zone: other.zone.clone(),
            })
            .collect()
    }

    /// Whether another's disk took a version of this leader's lately; the change that makes it a
    /// voter brings it the whole newest one.
    fn is_level(&self, other: &Other) -> bool {
        let behind = self.committed.serial.0.saturating_sub(other.accepted.serial.0);
        other.accepted.term == self.term && behind <= CANDIDATE_LAG
    }

    /// The next step of a membership change, if one is due: settle one, or begin one towards the
    /// voters that the settings ask for.
    fn due_membership(&self, now: Moment) -> Option<Document> {
        if !self.is_ready() || self.proposed.is_some() {
            return None;
        }
        let document = self.accepted.as_ref().filter(|held| held.stamp == self.committed)?;
        if !document.former.is_empty() {
            let mut settled = document.with_core(document.core.clone(), membership_id(document));
            settled.former = Vec::new();
            return Some(settled);
        }
        let missing: BTreeSet<ControllerId> = document
            .core
            .iter()
            .filter(|member| self.is_missing(now, member))
            .map(|member| member.id)
            .collect();
        let plan = QuorumPlan {
            shape: self.shape,
            voters: &document.core,
            leader: self.id,
            missing: &missing,
            candidates: self.candidates(now),
        };
        let next_voters = plan.next_voters()?;
        self.joint(now, document, next_voters).ok()
    }

    /// Whether a voter is lost to this leader: it has been silent for long, its disk takes nothing,
    /// or another controller stands at its address.
    fn is_missing(&self, now: Moment, member: &CoreMember) -> bool {
        if member.id == self.id {
            return false;
        }
        let at_its_place = self.others.get(&member.place);
        let is_superseded = at_its_place.is_some_and(|other| {
            let heard_at = self.heard.get(&member.id);
            other.id != member.id && heard_at.is_none_or(|heard_at| *heard_at < other.since)
        });
        let is_stuck = at_its_place.is_some_and(|other| {
            other.id == member.id
                && other.behind_since.is_some_and(|behind_since| {
                    now.since(behind_since.max(self.elected_at())) > self.timing.stuck_after
                })
        });
        let silence = now.since(self.silence_began(member.id));
        is_superseded || is_stuck || silence > self.timing.replace_after
    }

    /// The joint version for these next voters; refused when the voters alive are no majority of both.
    fn joint(
        &self,
        now: Moment,
        document: &Document,
        next_voters: Vec<CoreMember>,
    ) -> Result<Document, MembershipFault> {
        let mut next_document = document.with_core(next_voters, membership_id(document));
        if self.rules.keep(Rule::CoreInTwoSteps) {
            next_document.former = document.core.clone();
        }
        let alive: BTreeSet<ControllerId> = next_document
            .core
            .iter()
            .chain(&next_document.former)
            .map(|member| member.id)
            .filter(|id| self.is_alive(now, *id))
            .collect();
        if Self::is_majority_of(&next_document, &alive) {
            Ok(next_document)
        } else {
            Err(MembershipFault::NoMajority)
        }
    }

    /// An operator has a voter replaced at once.
    pub fn replace(
        &mut self,
        now: Moment,
        missing: ControllerId,
        successor: ControllerId,
    ) -> Result<(Serial, Vec<CoreOutput>), MembershipFault> {
        if !self.is_ready() {
            return Err(MembershipFault::NotReady);
        }
        let settled =
            self.accepted.as_ref().filter(|held| held.former.is_empty() && self.proposed.is_none());
        let document = settled.ok_or(MembershipFault::Busy)?;
        if !self.is_voter(missing) {
            return Err(MembershipFault::NoSuchMember);
        }
        let candidates = self.candidates(now);
        let found = candidates.iter().find(|candidate| candidate.id == successor);
        let successor = found.ok_or(MembershipFault::NoSuchCandidate)?;
        let kept_voters = document.core.iter().filter(|member| member.id != missing);
        let next_voters = kept_voters.chain([successor]).cloned().collect();
        let next_document = self.joint(now, document, next_voters)?;
        let serial = next_document.stamp.serial;
        self.put_forward(now, next_document);
        Ok((serial, std::mem::take(&mut self.outputs)))
    }

    pub(super) fn progress_membership(&mut self, now: Moment) {
        if let Some(mut document) = self.due_membership(now) {
            document.stamp.term = self.term;
            let places: Vec<Place> = document.core.iter().map(|member| member.place).collect();
            self.outputs
                .push(CoreOutput::MembershipChange { places, settled: document.former.is_empty() });
            self.put_forward(now, document);
        }
    }

    /// A leader that a settled change has left out leads no longer.
    pub(super) fn leave_if_removed(&mut self, now: Moment) {
        let is_removed = self.accepted.as_ref().is_some_and(|held| held.former.is_empty())
            && !self.is_voter(self.id);
        if is_removed {
            self.step_down(now, self.term);
        }
    }
}

fn membership_id(document: &Document) -> ChangeId {
    ChangeId::from(format!("core-{}", document.stamp.serial.next()))
}

/// A version in which only this member is left of the core, for operators who lost the majority for
/// good. What was committed without reaching this disk is lost.
pub fn left_alone(document: &Document, id: ControllerId) -> Option<Document> {
    let own_member = document.core.iter().chain(&document.former).find(|member| member.id == id)?;
    let mut alone = document.with_core(vec![own_member.clone()], membership_id(document));
    alone.former = Vec::new();
    alone.stamp = Stamp {
        term: Term(document.stamp.term.0 + (1 << 16)),
        serial: Serial(document.stamp.serial.0 + 1000),
    };
    Some(alone)
}
