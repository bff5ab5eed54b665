//! The safety checker: the elections, commits and reads of a control quorum, checked against the properties
//! that hold in every run.

use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use common::spec::Document;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A violated property.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SafetyViolation {
    /// Two controllers were elected in one term.
    TwoLeaders(Term),
    /// Two different documents were committed as one version.
    TwoVersions(DocumentVersion),
    /// A committed change (of the first version) is missing in a higher committed version (the second).
    LostChange(DocumentVersion, DocumentVersion),
    /// A read returned a version without a change that was committed before the read was requested.
    StaleRead(DocumentVersion),
    /// No change was committed although the losses are within what the quorum tolerates.
    NoProgress,
}

impl fmt::Display for SafetyViolation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoLeaders(term) => write!(out, "two leaders in term {}", term.0),
            Self::TwoVersions(document_version) => {
                write!(out, "two versions committed as {document_version}")
            }
            Self::LostChange(lower, upper) => write!(out, "{upper} lacks what {lower} committed"),
            Self::StaleRead(document_version) => {
                write!(
                    out,
                    "a reader was served {document_version}, which is overtaken"
                )
            }
            Self::NoProgress => write!(out, "no order is taken any more"),
        }
    }
}

/// The changes contained in a version: each change of these tests evacuates a zone of its own.
pub type Changes = BTreeSet<Zone>;

/// Elections and commits so far.
#[derive(Clone, Default)]
pub struct History {
    leaders: BTreeMap<Term, ControllerId>,
    committed: BTreeMap<DocumentVersion, Changes>,
    newest: Changes,
}

impl History {
    /// Records an election.
    pub fn elected(&mut self, term: Term, leader: ControllerId) -> Result<(), SafetyViolation> {
        let known_leader = *self.leaders.entry(term).or_insert(leader);
        if known_leader == leader {
            Ok(())
        } else {
            Err(SafetyViolation::TwoLeaders(term))
        }
    }

    /// Records a commit.
    pub fn committed(&mut self, document: &Document) -> Result<(), SafetyViolation> {
        let document_version = document.document_version;
        let changes = &document.evacuated;
        if self
            .committed
            .get(&document_version)
            .is_some_and(|known_changes| known_changes != changes)
        {
            return Err(SafetyViolation::TwoVersions(document_version));
        }
        let mut below = self.committed.range(..document_version);
        if let Some((lower, _)) = below.find(|(_, lower)| !lower.is_subset(changes)) {
            return Err(SafetyViolation::LostChange(*lower, document_version));
        }
        let mut above = self.committed.range(document_version..);
        if let Some((upper, _)) = above.find(|(_, upper)| !changes.is_subset(upper)) {
            return Err(SafetyViolation::LostChange(document_version, *upper));
        }
        self.newest.extend(changes.iter().cloned());
        self.committed.insert(document_version, changes.clone());
        Ok(())
    }

    /// All changes committed so far.
    pub fn newest(&self) -> &Changes {
        &self.newest
    }

    /// Checks a read that was requested when these changes had been committed.
    pub fn served(
        &self,
        changes_at_read: &Changes,
        served: &Document,
    ) -> Result<(), SafetyViolation> {
        if changes_at_read.is_subset(&served.evacuated) {
            Ok(())
        } else {
            Err(SafetyViolation::StaleRead(served.document_version))
        }
    }
}
