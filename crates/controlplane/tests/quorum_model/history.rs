//! The safety checker: checks the elections, commits and reads of a control quorum against the properties
//! that must hold in every run.

use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use common::spec::Document;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A violated property.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SafetyViolation {
    /// Two controllers were elected in one term.
    TwoLeaders(Term),
    /// Two different documents were committed under one version.
    TwoVersions(DocumentVersion),
    /// A change committed in the first version is missing in the second version, which is higher and also
    /// committed.
    LostChange(DocumentVersion, DocumentVersion),
    /// A read returned a version that lacks a change committed before the read was requested.
    StaleRead(DocumentVersion),
    /// No change was committed although the quorum tolerates the losses.
    NoProgress,
}

impl fmt::Display for SafetyViolation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoLeaders(term) => write!(out, "two leaders in term {}", term.0),
            Self::TwoVersions(document_version) => {
                write!(out, "two versions committed as {document_version}")
            }
            Self::LostChange(lower, upper) => {
                write!(out, "{upper} lacks changes committed in {lower}")
            }
            Self::StaleRead(document_version) => {
                write!(out, "a read returned {document_version}, which is stale")
            }
            Self::NoProgress => write!(out, "no change is committed any more"),
        }
    }
}

/// The changes contained in a version. Each change in these tests evacuates a different zone.
pub type Changes = BTreeSet<Zone>;

/// The elections and commits so far.
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
        let mut lower_versions = self.committed.range(..document_version);
        if let Some((lower, _)) = lower_versions.find(|(_, lower)| !lower.is_subset(changes)) {
            return Err(SafetyViolation::LostChange(*lower, document_version));
        }
        let mut higher_versions = self.committed.range(document_version..);
        if let Some((upper, _)) = higher_versions.find(|(_, upper)| !changes.is_subset(upper)) {
            return Err(SafetyViolation::LostChange(document_version, *upper));
        }
        self.newest.extend(changes.iter().cloned());
        self.committed.insert(document_version, changes.clone());
        Ok(())
    }

    /// Returns all changes committed so far.
    pub fn newest(&self) -> &Changes {
        &self.newest
    }

    /// Checks the result of a read that was requested after these changes had been committed.
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
