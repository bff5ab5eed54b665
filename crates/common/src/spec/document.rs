//! The document that the control quorum replicates.

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

/// How many of the last changes the document lists by name.
const MAX_NAMED_CHANGES: usize = 64;

/// A controller whose vote counts.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Voter {
    /// Its identity, stored on its disk.
    pub id: ControllerId,
    /// The address at which other processes reach it.
    #[serde(rename = "place")]
    pub address: SocketAddress,
    /// Its zone.
    #[serde(rename = "locality")]
    pub zone: Zone,
}

/// A daemon that may have a session lease, in whichever incarnation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
pub struct ListedMember {
    /// Its name.
    pub member: MemberName,
    /// The address at which it listens; only one incarnation can hold the port.
    #[serde(rename = "place")]
    pub address: SocketAddress,
}

/// One applied change.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct ChangeRecord {
    /// The operator's name for it.
    pub id: ChangeId,
    /// The version that it created.
    #[serde(rename = "serial")]
    pub version: Version,
    /// The number that operators gave it; zero if they gave none.
    pub number: u64,
}

/// The replicated document: the operators' spec, and the control plane's own records that must survive a change of
/// leader.
///
/// Its JSON keys keep their earlier names (`serial`, `core`, `former`, `taken`, `roster`, `unseen`), since disks hold
/// them.
#[derive(Clone, PartialEq, Debug)]
pub struct Document {
    /// Its full version.
    pub document_version: DocumentVersion,
    /// The operators' own number of the spec; zero until they give one.
    pub number: u64,
    /// The spec as operators wrote it.
    pub spec: SpecRecords,
    /// The version in which each function entered the catalogue.
    pub generations: BTreeMap<FunctionName, Version>,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Zone>,
    /// The voters.
    pub voters: Vec<Voter>,
    /// The earlier voters while a replacement of voters is in progress (joint consensus); else empty.
    pub previous_voters: Vec<Voter>,
    /// The last changes, oldest first.
    pub changes: Vec<ChangeRecord>,
    /// Which numbered changes were applied, reaching much further back than `changes`.
    pub applied_changes: Arc<AppliedChanges>,
    /// The daemons that may have session leases; empty in documents written before this field existed.
    pub membership: BTreeSet<ListedMember>,
    /// How many of the last versions changed nothing that daemons see.
    pub hidden_versions: u64,
}

/// A document's fields in JSON, but for the spec.
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

/// The record of applied changes in JSON.
#[derive(Serialize)]
struct AppliedChangesFields {
    #[serde(rename = "forgotten")]
    forgotten_up_to: u64,
    /// The text of [`AppliedChanges::to_text`].
    #[serde(rename = "kept")]
    remembered: String,
}

/// A delta's fields in JSON, but for those of the catalogue.
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
    /// The changes since the base, oldest first.
    #[serde(rename = "noted")]
    new_changes: Vec<&'a ChangeRecord>,
    #[serde(rename = "joined")]
    added_members: Vec<&'a ListedMember>,
    #[serde(rename = "left")]
    removed_members: Vec<&'a ListedMember>,
    #[serde(rename = "unseen")]
    hidden_versions: u64,
}

/// Reads the record of applied changes. Documents written before it existed have only their last changes, and forget
/// all earlier ones.
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
                "is no list of taken changes".to_owned(),
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
    let mut applied_changes = AppliedChanges::without(forgotten_up_to);
    for change in numbered_changes() {
        applied_changes.record_change(change.number, change.version, &change.id);
    }
    Some(applied_changes)
}

impl Document {
    /// Creates the first document of a new control quorum.
    pub fn founding(voters: Vec<Voter>) -> Self {
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

    /// Reads a document.
    ///
    /// # Errors
    /// [`DocumentError::NotJson`] or [`DocumentError::Path`]. The spec itself is not checked.
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

    /// The SHA-256 digest of the document: of its records' digests and of all other fields.
    pub fn digest(&self) -> [u8; 32] {
        let mut digested_text = self.spec.digest().to_vec();
        digested_text.extend(fields_text(&self.other_fields()));
        crate::seal::digest(&digested_text)
    }

    /// Encodes the delta from this version to a newer one as JSON text. Its length grows with what differs, not with
    /// the document.
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
    /// [`DocumentError::WrongDigest`] if the result is not the sender's; else as [`from_bytes`](Self::from_bytes).
    pub fn apply_delta(
        &self,
        change_bytes: &[u8],
        digest: &[u8],
    ) -> Result<Document, DocumentError> {
        let changed_document = self.apply_delta_unverified(change_bytes)?;
        if changed_document.digest() != digest {
            return Err(DocumentError::WrongDigest);
        }
        Ok(changed_document)
    }

    /// Applies a delta without checking the result's digest. Apart from [`apply_delta`](Self::apply_delta) it is only
    /// for the planted flaw without [`DeltaOnItsBase`](crate::rules::Rule::DeltaOnItsBase).
    pub fn apply_delta_unverified(&self, change_bytes: &[u8]) -> Result<Document, DocumentError> {
        let mut change: Value = serde_json::from_slice(change_bytes)?;
        let put = PutRecords::take(&mut change);
        read_all(&change, |root| self.read_delta(root, put))
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
        for removed_members in read_membership(&root.field("left")) {
            changed_document.membership.remove(&removed_members);
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

    /// Records a change among the last ones, and its number.
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

    /// Creates the next version with another spec. Functions that were in the spec keep their generation.
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

    /// Gives this version, which must have been created by a change, the number that operators gave its spec.
    pub fn numbered(mut self, number: u64) -> Self {
        self.number = number;
        if let Some(newest_change) = self.changes.last_mut() {
            newest_change.number = number;
            let applied_changes = Arc::make_mut(&mut self.applied_changes);
            applied_changes.record_change(number, newest_change.version, &newest_change.id);
        }
        self
    }

    /// Creates the next version with a zone evacuated or restored.
    pub fn with_zone(&self, zone: Zone, evacuate: bool, change: ChangeId) -> Self {
        let mut next_document = self.recording_change(change);
        if evacuate {
            next_document.evacuated.insert(zone);
        } else {
            next_document.evacuated.remove(&zone);
        }
        next_document
    }

    /// Creates the next version with other voters.
    pub fn with_voters(&self, voters: Vec<Voter>, change: ChangeId) -> Self {
        Self {
            voters,
            ..self.recording_change(change)
        }
    }

    /// Creates the next version with other daemons that may have session leases, which changes nothing that daemons
    /// see.
    pub fn with_membership(&self, membership: BTreeSet<ListedMember>) -> Self {
        let mut next_document = Self {
            membership,
            hidden_versions: self.hidden_versions + 1,
            ..self.clone()
        };
        next_document.document_version.version = self.document_version.version.next();
        next_document
    }

    /// The last version that changed what daemons see.
    pub fn view_version(&self) -> Version {
        Version(
            self.document_version
                .version
                .0
                .saturating_sub(self.hidden_versions),
        )
    }

    /// Whether the oldest changes may have been dropped from the list of the last ones.
    pub fn has_forgotten_changes(&self) -> bool {
        self.changes.len() >= MAX_NAMED_CHANGES
    }

    /// Returns the status of a change without a number, by its name. An applied change is the first one after its base,
    /// so it is forgotten only if that one is.
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

    /// Returns the part that daemons need.
    pub fn view(&self) -> DaemonView {
        DaemonView {
            version: self.view_version(),
            spec: self.spec.clone(),
            generations: self.generations.clone(),
            evacuated: self.evacuated.clone(),
            voters: self.voters.iter().map(|member| member.address).collect(),
        }
    }
}
