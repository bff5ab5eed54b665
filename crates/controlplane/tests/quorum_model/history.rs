//! What a control quorum did, judged against what must hold whatever happens.

use common::identity::{ControllerId, Stamp, Term, Zone};
use common::spec::Document;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Something that must never happen.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Breach {
    /// Two controllers were elected in one term.
    TwoLeaders(Term),
    /// Two different documents were committed under one stamp.
    TwoVersions(Stamp),
    /// A committed change is not in a version that was committed above it.
    Lost(Stamp, Stamp),
    /// A reader was served a version without a change that was committed before it asked.
    StaleRead(Stamp),
    /// The quorum bears what was lost, and yet took no order.
    NoProgress,
}

impl fmt::Display for Breach {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoLeaders(term) => write!(out, "two leaders in term {}", term.0),
            Self::TwoVersions(stamp) => write!(out, "two versions committed as {stamp}"),
            Self::Lost(lower, upper) => write!(out, "{upper} lacks what {lower} committed"),
            Self::StaleRead(stamp) => {
                write!(out, "a reader was served {stamp}, which is overtaken")
            }
            Self::NoProgress => write!(out, "no order is taken any more"),
        }
    }
}

/// The changes in a version: each change of these tests evacuates a zone of its own.
pub type Changes = BTreeSet<Zone>;

/// Elections and commits so far.
#[derive(Clone, Default)]
pub struct History {
    leaders: BTreeMap<Term, ControllerId>,
    committed: BTreeMap<Stamp, Changes>,
    newest: Changes,
}

impl History {
    /// Notes an election.
    pub fn elected(&mut self, term: Term, leader: ControllerId) -> Result<(), Breach> {
        let known_leader = *self.leaders.entry(term).or_insert(leader);
        if known_leader == leader { Ok(()) } else { Err(Breach::TwoLeaders(term)) }
    }

    /// Notes a commit.
    pub fn committed(&mut self, document: &Document) -> Result<(), Breach> {
        let stamp = document.stamp;
        let changes = &document.evacuated;
        if self.committed.get(&stamp).is_some_and(|known| known != changes) {
            return Err(Breach::TwoVersions(stamp));
        }
        let mut below = self.committed.range(..stamp);
        if let Some((lower, _)) = below.find(|(_, lower)| !lower.is_subset(changes)) {
            return Err(Breach::Lost(*lower, stamp));
        }
        let mut above = self.committed.range(stamp..);
        if let Some((upper, _)) = above.find(|(_, upper)| !changes.is_subset(upper)) {
            return Err(Breach::Lost(stamp, *upper));
        }
        self.newest.extend(changes.iter().cloned());
        self.committed.insert(stamp, changes.clone());
        Ok(())
    }

    /// Every change that was committed so far.
    pub fn newest(&self) -> &Changes {
        &self.newest
    }

    /// Judges what a reader is served that asked when these changes had been committed.
    pub fn served(&self, asked_at: &Changes, served: &Document) -> Result<(), Breach> {
        if asked_at.is_subset(&served.evacuated) {
            Ok(())
        } else {
            Err(Breach::StaleRead(served.stamp))
        }
    }
}
