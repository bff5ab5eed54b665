use super::{Core, CoreOutput, Role};
use common::clock::Moment;
use common::frames::Place;
use common::identity::{ChangeId, ControllerId, Serial, Stamp, Term};
use common::rules::Rule;
use common::spec::{CoreMember, Document};
use std::collections::BTreeSet;
use std::fmt;

/// How many members a core is to have.
pub const FULL_CORE: usize = 3;

/// Why a member of the core cannot be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SuccessionFault {
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight, or an earlier succession is not settled.
    Busy,
    /// The one to be replaced is no member.
    NoSuchMember,
    /// The one to take its place is not there, or not level.
    NoSuchCandidate,
    /// Afterwards no majority of the core would be alive.
    NoMajority,
}

impl fmt::Display for SuccessionFault {
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

impl std::error::Error for SuccessionFault {}

impl Core {
    /// Whether a set is a majority under a document: of its core, and of the former one while a
    /// succession is not settled.
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

    fn silence_began(&self, id: ControllerId) -> Moment {
        let elected_at = match &self.role {
            Role::Leader(rounds) => rounds.elected_at(),
            _ => Moment::ZERO,
        };
        self.heard.get(&id).copied().unwrap_or_default().max(elected_at)
    }

    /// Controllers that are no members, are alive, and have the newest committed version.
    fn candidates(&self, now: Moment) -> Vec<CoreMember> {
        self.others
            .values()
            .filter(|other| {
                !self.is_voter(other.id)
                    && self.is_alive(now, other.id)
                    && other.accepted == self.committed
            })
            .map(|other| CoreMember {
                id: other.id,
                place: other.address.place,
                zone: other.zone.clone(),
            })
            .collect()
    }

    /// The next step of a succession, if one is due: settle one, replace a member that has been
    /// silent for long, or fill a core that has too few.
    pub(super) fn due_succession(&self, now: Moment) -> Option<Document> {
        if !self.is_ready() || self.proposed.is_some() {
            return None;
        }
        let document = self.accepted.as_ref().filter(|held| held.stamp == self.committed)?;
        if !document.former.is_empty() {
            let mut settled = document.with_core(document.core.clone(), succession_id(document));
            settled.former = Vec::new();
            return Some(settled);
        }
        let candidates = self.candidates(now);
        let successions = document.core.iter().filter(|member| self.is_missing(now, member));
        let mut next_documents = successions.filter_map(|missing| {
            let at_its_place = candidates.iter().find(|candidate| candidate.place == missing.place);
            let successor = at_its_place
                .or_else(|| candidates.iter().find(|candidate| candidate.zone == missing.zone))?;
            self.with_successor(now, document, missing.id, successor).ok()
        });
        if let Some(next_document) = next_documents.next() {
            return Some(next_document);
        }
        if document.core.len() < self.size {
            let added = candidates
                .iter()
                .find(|candidate| document.core.iter().all(|member| member.zone != candidate.zone))
                .or(candidates.first())?;
            let mut wider_core = document.core.clone();
            wider_core.push(added.clone());
            return Some(self.joint(document, wider_core));
        }
        None
    }

    /// Whether a member has been silent for long, or another controller stands at its place: then its
    /// disk or its machine is lost.
    fn is_missing(&self, now: Moment, member: &CoreMember) -> bool {
        if member.id == self.id {
            return false;
        }
        let is_replaced = self.others.get(&member.place).is_some_and(|other| {
            let heard_at = self.heard.get(&member.id);
            other.id != member.id && heard_at.is_none_or(|heard_at| *heard_at < other.since)
        });
        is_replaced || now.since(self.silence_began(member.id)) > self.timing.replace_after
    }

    fn with_successor(
        &self,
        now: Moment,
        document: &Document,
        missing: ControllerId,
        successor: &CoreMember,
    ) -> Result<Document, SuccessionFault> {
        let mut next_core: Vec<CoreMember> =
            document.core.iter().filter(|member| member.id != missing).cloned().collect();
        next_core.push(successor.clone());
        let next_document = self.joint(document, next_core);
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
            Err(SuccessionFault::NoMajority)
        }
    }

    fn joint(&self, document: &Document, next_core: Vec<CoreMember>) -> Document {
        let mut next_document = document.with_core(next_core, succession_id(document));
        if self.rules.keep(Rule::CoreInTwoSteps) {
            next_document.former = document.core.clone();
        }
        next_document
    }

    /// An operator has a member replaced at once.
    pub fn replace(
        &mut self,
        now: Moment,
        missing: ControllerId,
        successor: ControllerId,
    ) -> Result<(Serial, Vec<CoreOutput>), SuccessionFault> {
        if !self.is_ready() {
            return Err(SuccessionFault::NotReady);
        }
        let settled =
            self.accepted.as_ref().filter(|held| held.former.is_empty() && self.proposed.is_none());
        let document = settled.ok_or(SuccessionFault::Busy)?;
        if !self.is_voter(missing) {
            return Err(SuccessionFault::NoSuchMember);
        }
        let candidates = self.candidates(now);
        let found = candidates.iter().find(|candidate| candidate.id == successor);
        let successor = found.ok_or(SuccessionFault::NoSuchCandidate)?;
        let next_document = self.with_successor(now, document, missing, successor)?;
        let serial = next_document.stamp.serial;
        self.put_forward(now, next_document);
        Ok((serial, std::mem::take(&mut self.outputs)))
    }

    pub(super) fn progress_succession(&mut self, now: Moment) {
        if let Some(mut document) = self.due_succession(now) {
            document.stamp.term = self.term;
            let places: Vec<Place> = document.core.iter().map(|member| member.place).collect();
            self.outputs
                .push(CoreOutput::Succession { places, settled: document.former.is_empty() });
            self.put_forward(now, document);
        }
    }
}

fn succession_id(document: &Document) -> ChangeId {
    ChangeId::from(format!("core-{}", document.stamp.serial.next()))
}

/// A version in which only this member is left of the core, for operators who lost the majority for
/// good. What was committed without reaching this disk is lost.
pub fn left_alone(document: &Document, id: ControllerId) -> Option<Document> {
    let own_member = document.core.iter().chain(&document.former).find(|member| member.id == id)?;
    let mut alone = document.with_core(vec![own_member.clone()], succession_id(document));
    alone.former = Vec::new();
    alone.stamp = Stamp {
        term: Term(document.stamp.term.0 + (1 << 16)),
        serial: Serial(document.stamp.serial.0 + 1000),
    };
    Some(alone)
}
