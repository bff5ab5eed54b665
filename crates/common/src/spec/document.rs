//! The document that the controllers replicate by consensus.

use super::catalogue_delta::{Catalogue, PutRecords, apply_catalogue_delta, catalogue_delta};
use super::fields::{
    extract_spec, fields_text, read_all, read_changes, read_evacuated, read_generations,
    read_membership, read_voters, text_with_spec,
};
use super::{AppliedChanges, ChangeStatus, DaemonView, DocumentError, Spec, SpecRecords};
use crate::frames::SocketAddress;
use crate::identity::{
    ChangeId, ControllerId, DocumentVersion, FunctionName, MemberName, Term, Version, Zone,
};
use crate::readers::{PathErrorReason, PathReader};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The maximum number of recent changes that the document lists by name.
const MAX_NAMED_CHANGES: usize = 64;

/// A controller that votes in the control quorum.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Voter {
    /// The controller's identity, stored on its disk.
    pub id: ControllerId,
    /// The address at which other processes reach the controller.
    #[serde(rename = "place")]
    pub address: SocketAddress,
    /// The controller's zone.
    #[serde(rename = "locality")]
    pub zone: Zone,
}

/// A daemon, one of whose incarnations may hold a session lease.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
pub struct ListedMember {
    /// The daemon's name.
    pub member: MemberName,
    /// The address at which the daemon listens. Only one incarnation at a time can bind this port.
    #[serde(rename = "place")]
    pub address: SocketAddress,
}

/// A change that was applied to the document.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct ChangeRecord {
    /// The name that the operator gave the change.
    pub id: ChangeId,
    /// The version that the change created.
    #[serde(rename = "serial")]
    pub version: Version,
    /// The number that the operator gave the change; zero if none.
    pub number: u64,
}

/// The replicated document: the operators' spec, and the control plane's state that must survive a change of leader.
///
/// Some JSON keys differ from the field names (`serial`, `core`, `former`, `taken`, `roster`, `unseen`), because stored
/// documents use them.
#[derive(Clone, PartialEq, Debug)]
pub struct Document {
    /// The term and version number of the document.
    pub document_version: DocumentVersion,
    /// The number that the operators gave the spec; zero until they give one.
    pub number: u64,
    /// The spec as the operators wrote it.
    pub spec: SpecRecords,
    /// The version in which each function was added to the catalogue.
    pub generations: BTreeMap<FunctionName, Version>,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Zone>,
    /// The voters.
    pub voters: Vec<Voter>,
    /// The previous voters while the voters are being replaced (joint consensus); otherwise empty.
    pub previous_voters: Vec<Voter>,
    /// The most recent changes, oldest first.
    pub changes: Vec<ChangeRecord>,
    /// A compact record of the numbered changes that were applied. It covers many more changes than `changes`.
    pub applied_changes: Arc<AppliedChanges>,
    /// The daemons that may hold session leases; empty in documents written before this field existed.
    pub membership: BTreeSet<ListedMember>,
    /// How many of the most recent versions changed nothing in the daemons' view.
    pub hidden_versions: u64,
}

/// The JSON fields of a document, except the spec.
#[derive(Serialize)]
struct DocumentFields<'a> {
    term: Term,
    #[serde(rename = "serial")]
    version: Version,
    number: u64,
    generations: &'a BTreeMap<FunctionName, Version>,
    evacuated: &'a BTreeSet<Zone>,
    #[serde(rename = "core")]
    voters: &'a [Voter],
    #[serde(rename = "former")]
    previous_voters: &'a [Voter],
    changes: &'a [ChangeRecord],
    #[serde(rename = "taken")]
    applied_changes: AppliedChangesFields,
    #[serde(rename = "roster")]
    membership: &'a BTreeSet<ListedMember>,
    #[serde(rename = "unseen")]
    hidden_versions: u64,
}

/// The JSON fields of the record of applied changes.
#[derive(Serialize)]
struct AppliedChangesFields {
    #[serde(rename = "forgotten")]
    forgotten_up_to: u64,
    /// The remembered changes as [`AppliedChanges::to_text`] encodes them.
    #[serde(rename = "kept")]
    remembered: String,
}

/// The JSON fields of a delta, except those of the catalogue.
#[derive(Serialize)]
struct DocumentDeltaFields<'a> {
    term: Term,
    #[serde(rename = "serial")]
    version: Version,
    number: u64,
    evacuated: &'a BTreeSet<Zone>,
    #[serde(rename = "core")]
    voters: &'a [Voter],
    #[serde(rename = "former")]
    previous_voters: &'a [Voter],
    /// The changes recorded since the base version, oldest first.
    #[serde(rename = "noted")]
    new_changes: Vec<&'a ChangeRecord>,
    #[serde(rename = "joined")]
    added_members: Vec<&'a ListedMember>,
    #[serde(rename = "left")]
    removed_members: Vec<&'a ListedMember>,
    #[serde(rename = "unseen")]
    hidden_versions: u64,
}

/// Reads the record of applied changes. For a document written before this field existed, the record is built from the
/// listed changes, and all earlier changes count as forgotten.
fn read_applied_changes(
    reader: &PathReader<'_>,
    changes: &[ChangeRecord],
    newest_number: u64,
) -> Option<AppliedChanges> {
    if reader.is_present() {
        let forgotten_up_to = reader.field("forgotten").number(0..=u64::MAX)?;
        let remembered_field = reader.field("kept");
        let remembered_text = remembered_field
            .value()
            .and_then(Value::as_str)
            .unwrap_or_default();
        let applied_changes = AppliedChanges::from_text(forgotten_up_to, remembered_text);
        if applied_changes.is_none() {
            remembered_field.add_error(PathErrorReason::Malformed(
                "is not a list of applied changes".to_owned(),
            ));
        }
        return applied_changes;
    }
    let numbered_changes = || changes.iter().filter(|change| change.number > 0);
    let oldest_number = numbered_changes().next().map(|change| change.number);
    let forgotten_up_to = match oldest_number {
        _ if changes.len() < MAX_NAMED_CHANGES => 0,
        Some(oldest_number) => oldest_number - 1,
        None => newest_number,
    };
    let mut applied_changes = AppliedChanges::starting_after(forgotten_up_to);
    for change in numbered_changes() {
        applied_changes.record_change(change.number, change.version, &change.id);
    }
    Some(applied_changes)
}

impl Document {
    /// Creates the initial document of a new control quorum.
    pub fn initial(voters: Vec<Voter>) -> Self {
        Self {
            document_version: DocumentVersion {
                term: Term(1),
                version: Version(1),
            },
            number: 0,
            spec: SpecRecords::new(json!({"functions": {}, "routes": {}})),
            generations: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            voters,
            previous_voters: Vec::new(),
            changes: Vec::new(),
            applied_changes: Arc::default(),
            membership: BTreeSet::new(),
            hidden_versions: 0,
        }
    }

    /// Reads a document from its JSON text.
    ///
    /// # Errors
    /// [`DocumentError::NotJson`] or [`DocumentError::Path`]. The spec itself is not validated.
    pub fn from_bytes(document_bytes: &[u8]) -> Result<Self, DocumentError> {
        let mut value: Value = serde_json::from_slice(document_bytes)?;
        let spec = extract_spec(&mut value)?;
        read_all(&value, |root| {
            let changes = read_changes(&root.field("changes"));
            let number = root.field("number").number_or(0..=u64::MAX, 0);
            Some(Self {
                document_version: DocumentVersion {
                    term: Term(root.field("term").number(0..=u64::MAX)?),
                    version: Version(root.field("serial").number(0..=u64::MAX)?),
                },
                number,
                spec,
                generations: read_generations(&root.field("generations")),
                evacuated: read_evacuated(&root.field("evacuated")),
                voters: read_voters(&root.field("core")),
                previous_voters: read_voters(&root.field("former")),
                applied_changes: Arc::new(read_applied_changes(
                    &root.field("taken"),
                    &changes,
                    number,
                )?),
                changes,
                membership: read_membership(&root.field("roster")),
                hidden_versions: root.field("unseen").number_or(0..=u64::MAX, 0),
            })
        })
    }

    /// Encodes the document as JSON text.
    pub fn to_bytes(&self) -> Vec<u8> {
        text_with_spec(&self.spec, &self.other_fields())
    }

    fn other_fields(&self) -> DocumentFields<'_> {
        DocumentFields {
            term: self.document_version.term,
            version: self.document_version.version,
            number: self.number,
            generations: &self.generations,
            evacuated: &self.evacuated,
            voters: &self.voters,
            previous_voters: &self.previous_voters,
            changes: &self.changes,
            applied_changes: AppliedChangesFields {
                forgotten_up_to: self.applied_changes.forgotten_up_to(),
                remembered: self.applied_changes.to_text(),
            },
            membership: &self.membership,
            hidden_versions: self.hidden_versions,
        }
    }

    /// Returns the SHA-256 digest of the document, computed from the spec's digest and all other fields.
    pub fn digest(&self) -> [u8; 32] {
        let mut digest_input = self.spec.digest().to_vec();
        digest_input.extend(fields_text(&self.other_fields()));
        crate::seal::digest(&digest_input)
    }

    /// Encodes the delta from this version to a newer one as JSON text. Its length depends on the number of
    /// differences, not on the size of the document.
    pub fn delta_to(&self, newer: &Document) -> Vec<u8> {
        let newest_recorded = self
            .changes
            .last()
            .map(|recorded| recorded.version)
            .unwrap_or_default();
        let is_new = |recorded: &&ChangeRecord| recorded.version > newest_recorded;
        let other_fields = DocumentDeltaFields {
            term: newer.document_version.term,
            version: newer.document_version.version,
            number: newer.number,
            evacuated: &newer.evacuated,
            voters: &newer.voters,
            previous_voters: &newer.previous_voters,
            new_changes: newer.changes.iter().filter(is_new).collect(),
            added_members: newer.membership.difference(&self.membership).collect(),
            removed_members: self.membership.difference(&newer.membership).collect(),
            hidden_versions: newer.hidden_versions,
        };
        catalogue_delta(self.catalogue(), newer.catalogue(), &other_fields)
    }

    /// Applies a delta to this version.
    ///
    /// # Errors
    /// [`DocumentError::WrongDigest`] if the resulting document does not have the given digest; otherwise as
    /// [`from_bytes`](Self::from_bytes).
    pub fn apply_delta(
        &self,
        delta_bytes: &[u8],
        digest: &[u8],
    ) -> Result<Document, DocumentError> {
        let changed_document = self.apply_delta_unverified(delta_bytes)?;
        if changed_document.digest() != digest {
            return Err(DocumentError::WrongDigest);
        }
        Ok(changed_document)
    }

    /// Applies a delta without checking the digest of the result. Used by [`apply_delta`](Self::apply_delta), and by
    /// tests that disable the rule [`DeltaOnItsBase`](crate::rules::Rule::DeltaOnItsBase).
    pub fn apply_delta_unverified(&self, delta_bytes: &[u8]) -> Result<Document, DocumentError> {
        let mut delta: Value = serde_json::from_slice(delta_bytes)?;
        let put = PutRecords::take(&mut delta);
        read_all(&delta, |root| self.read_delta(root, put))
    }

    fn read_delta(&self, root: &PathReader<'_>, put: PutRecords) -> Option<Document> {
        let (spec, generations) = apply_catalogue_delta(root, put, self.catalogue())?;
        let mut changed_document = Self {
            document_version: DocumentVersion {
                term: Term(root.field("term").number(0..=u64::MAX)?),
                version: Version(root.field("serial").number(0..=u64::MAX)?),
            },
            number: root.field("number").number(0..=u64::MAX)?,
            spec,
            generations,
            evacuated: read_evacuated(&root.field("evacuated")),
            voters: read_voters(&root.field("core")),
            previous_voters: read_voters(&root.field("former")),
            hidden_versions: root.field("unseen").number(0..=u64::MAX)?,
            ..self.clone()
        };
        for recorded in read_changes(&root.field("noted")) {
            if recorded.number > 0
                && !changed_document
                    .applied_changes
                    .is_next(recorded.number, recorded.version)
            {
                return None;
            }
            changed_document.record_change(recorded);
        }
        for removed_member in read_membership(&root.field("left")) {
            changed_document.membership.remove(&removed_member);
        }
        changed_document
            .membership
            .extend(read_membership(&root.field("joined")));
        Some(changed_document)
    }

    fn catalogue(&self) -> Catalogue<'_> {
        Catalogue {
            spec: &self.spec,
            generations: &self.generations,
        }
    }

    /// Adds a change to the list of recent changes, and to the record of applied changes if it has a number.
    fn record_change(&mut self, recorded: ChangeRecord) {
        if recorded.number > 0 {
            Arc::make_mut(&mut self.applied_changes).record_change(
                recorded.number,
                recorded.version,
                &recorded.id,
            );
        }
        self.changes.push(recorded);
        let extra_count = self.changes.len().saturating_sub(MAX_NAMED_CHANGES);
        self.changes.drain(..extra_count);
    }

    /// Creates the next version, with a new spec. Functions that were already in the catalogue keep their generation.
    pub fn with_spec(
        &self,
        new_spec: impl Into<SpecRecords>,
        checked_spec: &Spec,
        change: ChangeId,
    ) -> Self {
        let new_version = self.document_version.version.next();
        let generations = checked_spec
            .functions
            .keys()
            .map(|name| {
                (
                    name.clone(),
                    self.generations.get(name).copied().unwrap_or(new_version),
                )
            })
            .collect();
        Self {
            spec: new_spec.into(),
            generations,
            ..self.recording_change(change)
        }
    }

    /// Sets the operators' number of the spec, and records it for the change that created this version. The version
    /// must have been created by a change.
    pub fn numbered(mut self, number: u64) -> Self {
        self.number = number;
        if let Some(newest_change) = self.changes.last_mut() {
            newest_change.number = number;
            let applied_changes = Arc::make_mut(&mut self.applied_changes);
            applied_changes.record_change(number, newest_change.version, &newest_change.id);
        }
        self
    }

    /// Creates the next version, with a zone evacuated or restored.
    pub fn with_zone(&self, zone: Zone, evacuate: bool, change: ChangeId) -> Self {
        let mut next_document = self.recording_change(change);
        if evacuate {
            next_document.evacuated.insert(zone);
        } else {
            next_document.evacuated.remove(&zone);
        }
        next_document
    }

    /// Creates the next version, with a new set of voters.
    pub fn with_voters(&self, voters: Vec<Voter>, change: ChangeId) -> Self {
        Self {
            voters,
            ..self.recording_change(change)
        }
    }

    /// Creates the next version, with a new set of daemons that may hold session leases. The daemons' view does not
    /// change.
    pub fn with_membership(&self, membership: BTreeSet<ListedMember>) -> Self {
        let mut next_document = Self {
            membership,
            hidden_versions: self.hidden_versions + 1,
            ..self.clone()
        };
        next_document.document_version.version = self.document_version.version.next();
        next_document
    }

    /// Returns the most recent version that changed the daemons' view.
    pub fn view_version(&self) -> Version {
        Version(
            self.document_version
                .version
                .0
                .saturating_sub(self.hidden_versions),
        )
    }

    /// Whether changes may have been dropped from the list of recent changes.
    pub fn has_forgotten_changes(&self) -> bool {
        self.changes.len() >= MAX_NAMED_CHANGES
    }

    /// Returns the status of a change without a number, looked up by its name. An applied change directly follows its
    /// base, so it can only have been forgotten if the list no longer reaches back to the base.
    pub fn status_of_named(&self, base: Option<Version>, change: &ChangeId) -> ChangeStatus {
        if let Some(recorded) = self.changes.iter().find(|recorded| recorded.id == *change) {
            return ChangeStatus::Applied(recorded.version);
        }
        let oldest_version = self.changes.first().map(|recorded| recorded.version);
        let is_successor_known = !self.has_forgotten_changes()
            || base.is_none_or(|base| oldest_version.is_some_and(|oldest| base >= oldest));
        if is_successor_known {
            ChangeStatus::NotApplied
        } else {
            ChangeStatus::Forgotten
        }
    }

    /// Creates the next version, with a change recorded.
    fn recording_change(&self, change: ChangeId) -> Self {
        let mut next_document = self.clone();
        next_document.hidden_versions = 0;
        next_document.document_version.version = self.document_version.version.next();
        next_document.record_change(ChangeRecord {
            id: change,
            version: next_document.document_version.version,
            number: 0,
        });
        next_document
    }

    /// Returns the part of the document that daemons need.
    pub fn view(&self) -> DaemonView {
        DaemonView {
            version: self.view_version(),
            spec: self.spec.clone(),
            generations: self.generations.clone(),
            evacuated: self.evacuated.clone(),
            voters: self.voters.iter().map(|voter| voter.address).collect(),
        }
    }
}
