//! The one document that the control quorum replicates.

use super::catalogue_change::{Catalogue, PutRecords, catalogue_change, read_catalogue_change};
use super::fields::{
    changes_json, core_json, evacuated_json, generations_json, read_all, read_changes, read_core,
    read_evacuated, read_generations, read_roster, roster_json, take_spec, text_with_spec,
};
use super::records::write_json;
use super::{ChangeFate, DocumentFault, Spec, SpecRecords, TakenChanges, View};
use crate::frames::Place;
use crate::identity::{
    ChangeId, ControllerId, FunctionName, MemberName, Serial, Stamp, Term, Zone,
};
use crate::readers::{FaultReason, PathReader};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many of the last changes the document names.
const KEPT_CHANGES: usize = 64;

/// A member of the core as the document names it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CoreMember {
    /// Its identity, kept on its disk.
    pub id: ControllerId,
    /// Where other processes reach it.
    pub place: Place,
    /// Its zone.
    pub zone: Zone,
}

/// A daemon that may hold a member grant: whatever life of it stands at its place.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RosterMember {
    /// Its name.
    pub member: MemberName,
    /// Where it listens; only one life can hold that port.
    pub place: Place,
}

/// What became of one change.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ChangeNote {
    /// The operator's name for it.
    pub id: ChangeId,
    /// The serial it made.
    pub serial: Serial,
    /// The operators' number that it brought; zero if they gave none.
    pub number: u64,
}

/// The one document that the core keeps.
#[derive(Clone, PartialEq, Debug)]
pub struct Document {
    /// Where it stands.
    pub stamp: Stamp,
    /// The operators' own number of the spec; zero until they give one.
    pub number: u64,
    /// The operators' spec, as they wrote it.
    pub spec: SpecRecords,
    /// The serial at which each function entered the catalogue.
    pub generations: BTreeMap<FunctionName, Serial>,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Zone>,
    /// The members of the core.
    pub core: Vec<CoreMember>,
    /// The members before, while a change of the core is not settled; else nobody.
    pub former: Vec<CoreMember>,
    /// The last changes, oldest first.
    pub changes: Vec<ChangeNote>,
    /// Which numbered changes were taken, much further back.
    pub taken: Arc<TakenChanges>,
    /// The daemons that may hold member grants; nobody in documents that were written without it.
    pub roster: BTreeSet<RosterMember>,
    /// How many of the last versions changed nothing that daemons see.
    pub unseen: u64,
}

/// Documents that were written without this memory know their last changes, and no earlier ones.
fn read_taken(
    reader: &PathReader<'_>,
    changes: &[ChangeNote],
    newest_number: u64,
) -> Option<TakenChanges> {
    if reader.is_there() {
        let forgotten_up_to = reader.field("forgotten").number(0..=u64::MAX)?;
        let kept_field = reader.field("kept");
        let kept_text = kept_field.value().and_then(Value::as_str).unwrap_or_default();
        let taken = TakenChanges::from_text(forgotten_up_to, kept_text);
        if taken.is_none() {
            kept_field.fault(FaultReason::Form("is no list of taken changes".to_owned()));
        }
        return taken;
    }
    let numbered_changes = || changes.iter().filter(|change| change.number > 0);
    let oldest_number = numbered_changes().next().map(|change| change.number);
    let forgotten_up_to = match oldest_number {
        _ if changes.len() < KEPT_CHANGES => 0,
        Some(oldest_number) => oldest_number - 1,
        None => newest_number,
    };
    let mut taken = TakenChanges::without(forgotten_up_to);
    for change in numbered_changes() {
        taken.note(change.number, change.serial, &change.id);
    }
    Some(taken)
}

impl Document {
    /// The first document, naming the core's founders.
    pub fn founding(core: Vec<CoreMember>) -> Self {
        Self {
            stamp: Stamp { term: Term(1), serial: Serial(1) },
            number: 0,
            spec: SpecRecords::new(json!({"functions": {}, "routes": {}})),
            generations: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            core,
            former: Vec::new(),
            changes: Vec::new(),
            taken: Arc::default(),
            roster: BTreeSet::new(),
            unseen: 0,
        }
    }

    /// Reads a document from its bytes.
    pub fn from_bytes(document_bytes: &[u8]) -> Result<Self, DocumentFault> {
        let mut value: Value = serde_json::from_slice(document_bytes)?;
        let spec = take_spec(&mut value)?;
        read_all(&value, |root| {
            let changes = read_changes(&root.field("changes"));
            let number = root.field("number").number_or(0..=u64::MAX, 0);
            Some(Self {
                stamp: Stamp {
                    term: Term(root.field("term").number(0..=u64::MAX)?),
                    serial: Serial(root.field("serial").number(0..=u64::MAX)?),
                },
                number,
                spec,
                generations: read_generations(&root.field("generations")),
                evacuated: read_evacuated(&root.field("evacuated")),
                core: read_core(&root.field("core")),
                former: read_core(&root.field("former")),
                taken: Arc::new(read_taken(&root.field("taken"), &changes, number)?),
                changes,
                roster: read_roster(&root.field("roster")),
                unseen: root.field("unseen").number_or(0..=u64::MAX, 0),
            })
        })
    }

    /// The document as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        text_with_spec(&self.spec, &self.other_fields())
    }

    fn other_fields(&self) -> Value {
        json!({
            "term": self.stamp.term.0,
            "serial": self.stamp.serial.0,
            "number": self.number,
            "generations": generations_json(&self.generations),
            "evacuated": evacuated_json(&self.evacuated),
            "core": core_json(&self.core),
            "former": core_json(&self.former),
            "changes": changes_json(&self.changes),
            "taken": {
                "forgotten": self.taken.forgotten_up_to(),
                "kept": self.taken.to_text(),
            },
            "roster": roster_json(&self.roster),
            "unseen": self.unseen,
        })
    }

    /// The digest of the document: of its records, and of all else it says.
    pub fn digest(&self) -> [u8; 32] {
        let mut digested_text = self.spec.digest().to_vec();
        write_json(&mut digested_text, &self.other_fields());
        crate::seal::digest(&digested_text)
    }

    /// The change that leads from this version to a newer one, as JSON text: it grows with what differs,
    /// not with the document.
    pub fn change_to(&self, newer: &Document) -> Vec<u8> {
        let newest_noted = self.changes.last().map(|noted| noted.serial).unwrap_or_default();
        let is_new = |noted: &&ChangeNote| noted.serial > newest_noted;
        let noted: Vec<ChangeNote> = newer.changes.iter().filter(is_new).cloned().collect();
        let joined = newer.roster.difference(&self.roster).cloned().collect();
        let left = self.roster.difference(&newer.roster).cloned().collect();
        let fields = [
            ("term", json!(newer.stamp.term.0)),
            ("serial", json!(newer.stamp.serial.0)),
            ("number", json!(newer.number)),
            ("evacuated", evacuated_json(&newer.evacuated)),
            ("core", core_json(&newer.core)),
            ("former", core_json(&newer.former)),
            ("noted", changes_json(&noted)),
            ("joined", roster_json(&joined)),
            ("left", roster_json(&left)),
            ("unseen", json!(newer.unseen)),
        ];
        let other_fields = fields.map(|(field, value)| (field.to_owned(), value));
        let other_fields = Map::from_iter(other_fields);
        catalogue_change(self.catalogue(), newer.catalogue(), other_fields)
    }

    /// Applies a change that leads from this version, and believes the result only if its digest is the
    /// sender's.
    pub fn changed(&self, change_bytes: &[u8], digest: &[u8]) -> Result<Document, DocumentFault> {
        let changed_document = self.changed_unproven(change_bytes)?;
        if changed_document.digest() != digest {
            return Err(DocumentFault::Digest);
        }
        Ok(changed_document)
    }

    /// Applies a change without a look at the result's digest.
    pub fn changed_unproven(&self, change_bytes: &[u8]) -> Result<Document, DocumentFault> {
        let mut change: Value = serde_json::from_slice(change_bytes)?;
        let put = PutRecords::take(&mut change);
        read_all(&change, |root| self.read_change(root, put))
    }

    fn read_change(&self, root: &PathReader<'_>, put: PutRecords) -> Option<Document> {
        let (spec, generations) = read_catalogue_change(root, put, self.catalogue())?;
        let mut changed_document = Self {
            stamp: Stamp {
                term: Term(root.field("term").number(0..=u64::MAX)?),
                serial: Serial(root.field("serial").number(0..=u64::MAX)?),
            },
            number: root.field("number").number(0..=u64::MAX)?,
            spec,
            generations,
            evacuated: read_evacuated(&root.field("evacuated")),
            core: read_core(&root.field("core")),
            former: read_core(&root.field("former")),
            unseen: root.field("unseen").number(0..=u64::MAX)?,
            ..self.clone()
        };
        for noted in read_changes(&root.field("noted")) {
            if noted.number > 0 && !changed_document.taken.is_next(noted.number, noted.serial) {
                return None;
            }
            changed_document.note(noted);
        }
        for left in read_roster(&root.field("left")) {
            changed_document.roster.remove(&left);
        }
        changed_document.roster.extend(read_roster(&root.field("joined")));
        Some(changed_document)
    }

    fn catalogue(&self) -> Catalogue<'_> {
        Catalogue { spec: &self.spec, generations: &self.generations }
    }

    /// Names a change among the last ones, and remembers its number.
    fn note(&mut self, noted: ChangeNote) {
        if noted.number > 0 {
            Arc::make_mut(&mut self.taken).note(noted.number, noted.serial, &noted.id);
        }
        self.changes.push(noted);
        let extra_count = self.changes.len().saturating_sub(KEPT_CHANGES);
        self.changes.drain(..extra_count);
    }

    /// The next version, with another spec; functions keep their generation while they stay.
    pub fn with_spec(
        &self,
        new_spec: impl Into<SpecRecords>,
        checked_spec: &Spec,
        change: ChangeId,
    ) -> Self {
        let new_serial = self.stamp.serial.next();
        let generations = checked_spec
            .functions
            .keys()
            .map(|name| (name.clone(), self.generations.get(name).copied().unwrap_or(new_serial)))
            .collect();
        Self { spec: new_spec.into(), generations, ..self.noting(change) }
    }

    /// The same version, with the number that operators gave its spec.
    pub fn numbered(mut self, number: u64) -> Self {
        self.number = number;
        if let Some(newest_change) = self.changes.last_mut() {
            newest_change.number = number;
            let taken = Arc::make_mut(&mut self.taken);
            taken.note(number, newest_change.serial, &newest_change.id);
        }
        self
    }

    /// The next version, with a zone evacuated or restored.
    pub fn with_zone(&self, zone: Zone, evacuate: bool, change: ChangeId) -> Self {
        let mut next_document = self.noting(change);
        if evacuate {
            next_document.evacuated.insert(zone);
        } else {
            next_document.evacuated.remove(&zone);
        }
        next_document
    }

    /// The next version, with one member of the core in another's place.
    pub fn with_core(&self, core: Vec<CoreMember>, change: ChangeId) -> Self {
        Self { core, ..self.noting(change) }
    }

    /// The next version, with other daemons that may hold member grants: nothing that daemons see.
    pub fn with_roster(&self, roster: BTreeSet<RosterMember>) -> Self {
        let mut next_document = Self { roster, unseen: self.unseen + 1, ..self.clone() };
        next_document.stamp.serial = self.stamp.serial.next();
        next_document
    }

    /// The serial of the last version that changed what daemons see.
    pub fn view_serial(&self) -> Serial {
        Serial(self.stamp.serial.0.saturating_sub(self.unseen))
    }

    /// Whether changes were dropped from the last ones.
    pub fn has_forgotten_changes(&self) -> bool {
        self.changes.len() >= KEPT_CHANGES
    }

    /// What became of a change without a number, by its name. A change that was taken is the first
    /// one after its base, so it is forgotten only if that one is.
    pub fn fate_of_named(&self, base: Option<Serial>, change: &ChangeId) -> ChangeFate {
        if let Some(noted) = self.changes.iter().find(|noted| noted.id == *change) {
            return ChangeFate::Taken(noted.serial);
        }
        let oldest_serial = self.changes.first().map(|noted| noted.serial);
        let is_successor_known = !self.has_forgotten_changes()
            || base.is_none_or(|base| oldest_serial.is_some_and(|oldest| base >= oldest));
        if is_successor_known { ChangeFate::NotTaken } else { ChangeFate::Forgotten }
    }

    fn noting(&self, change: ChangeId) -> Self {
        let mut next_document = self.clone();
        next_document.unseen = 0;
        next_document.stamp.serial = self.stamp.serial.next();
        next_document.note(ChangeNote {
            id: change,
            serial: next_document.stamp.serial,
            number: 0,
        });
        next_document
    }

    /// The part that daemons need.
    pub fn view(&self) -> View {
        View {
            serial: self.view_serial(),
            spec: self.spec.clone(),
            generations: self.generations.clone(),
            evacuated: self.evacuated.clone(),
            core: self.core.iter().map(|member| member.place).collect(),
        }
    }
}
