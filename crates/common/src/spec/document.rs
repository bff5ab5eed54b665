use super::records::write_json;
use super::{ChangeFate, Spec, SpecRecords, TakenChanges};
use crate::frames::Place;
use crate::identity::{
    ChangeId, ControllerId, FunctionName, MemberName, Serial, Stamp, Term, Zone,
};
use crate::readers::{FaultList, FaultReason, PathFault, PathReader, read_place};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// About the length of a record's text, with its function's generation.
const RECORD_LENGTH: usize = 256;
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
    pub taken: TakenChanges,
    /// The daemons that may hold member grants; nobody in documents that were written without it.
    pub roster: BTreeSet<RosterMember>,
    /// How many of the last versions changed nothing that daemons see.
    pub unseen: u64,
}

/// Why bytes are no document.
#[derive(Debug)]
pub enum DocumentFault {
    /// They are not JSON.
    NotJson(serde_json::Error),
    /// A path is wrong.
    Path(PathFault),
    /// A change leads from another version than the one that is held.
    Base,
    /// The result has another digest than its sender's.
    Digest,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(fault) => write!(out, "not JSON: {fault}"),
            Self::Path(fault) => write!(out, "{fault}"),
            Self::Base => write!(out, "the change leads from another version"),
            Self::Digest => write!(out, "the changed document has another digest"),
        }
    }
}

impl std::error::Error for DocumentFault {}

impl From<serde_json::Error> for DocumentFault {
    fn from(fault: serde_json::Error) -> Self {
        Self::NotJson(fault)
    }
}

fn read_all<T>(
    value: &Value,
    read_parts: impl FnOnce(&PathReader<'_>) -> Option<T>,
) -> Result<T, DocumentFault> {
    let faults = FaultList::default();
    let read_value = read_parts(&PathReader::new(value, &faults));
    let missing = PathFault { path: String::new(), reason: FaultReason::Missing };
    match (faults.into_inner().into_iter().next(), read_value) {
        (None, Some(value)) => Ok(value),
        (fault, _) => Err(DocumentFault::Path(fault.unwrap_or(missing))),
    }
}

fn read_generations(reader: &PathReader<'_>) -> BTreeMap<FunctionName, Serial> {
    let generation_fields = reader.fields().into_iter();
    generation_fields
        .filter_map(|(name, field)| Some((name.into(), Serial(field.number(0..=u64::MAX)?))))
        .collect()
}

fn read_evacuated(reader: &PathReader<'_>) -> BTreeSet<Zone> {
    reader.items().iter().filter_map(|item| item.text().map(Zone::from)).collect()
}

fn generations_json(generations: &BTreeMap<FunctionName, Serial>) -> Value {
    let pairs = generations.iter().map(|(name, serial)| (name.to_string(), json!(serial.0)));
    Value::Object(pairs.collect::<Map<_, _>>())
}

fn evacuated_json(evacuated: &BTreeSet<Zone>) -> Value {
    Value::Array(evacuated.iter().map(|zone| json!(zone.as_str())).collect())
}

fn read_changes(reader: &PathReader<'_>) -> Vec<ChangeNote> {
    let change_items = reader.items();
    change_items
        .iter()
        .filter_map(|item| {
            Some(ChangeNote {
                id: item.field("id").text()?.into(),
                serial: Serial(item.field("serial").number(0..=u64::MAX)?),
                number: item.field("number").number_or(0..=u64::MAX, 0),
            })
        })
        .collect()
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

fn read_core(reader: &PathReader<'_>) -> Vec<CoreMember> {
    let member_items = reader.items();
    member_items
        .iter()
        .filter_map(|item| {
            Some(CoreMember {
                id: ControllerId(u64::from_str_radix(item.field("id").text()?, 16).ok()?),
                place: read_place(&item.field("place"))?,
                zone: item.field("locality").text()?.into(),
            })
        })
        .collect()
}

fn read_roster(reader: &PathReader<'_>) -> BTreeSet<RosterMember> {
    if !reader.is_there() {
        return BTreeSet::new();
    }
    let roster_items = reader.items();
    roster_items
        .iter()
        .filter_map(|item| {
            Some(RosterMember {
                member: item.field("member").text()?.into(),
                place: read_place(&item.field("place"))?,
            })
        })
        .collect()
}

fn roster_json(roster: &BTreeSet<RosterMember>) -> Value {
    let rows = roster
        .iter()
        .map(|listed| json!({"member": listed.member.as_str(), "place": listed.place.to_string()}));
    Value::Array(rows.collect())
}

fn core_json(members: &[CoreMember]) -> Value {
    let rows = members.iter().map(|member| {
        json!({
            "id": format!("{:x}", member.id.0),
            "place": member.place.to_string(),
            "locality": member.zone.as_str(),
        })
    });
    Value::Array(rows.collect())
}

fn core_places_json(core: &[Place]) -> Value {
    Value::Array(core.iter().map(|place| json!(place.to_string())).collect())
}

fn read_core_places(reader: &PathReader<'_>) -> Vec<Place> {
    reader.items().iter().filter_map(read_place).collect()
}

/// Takes the spec out of a document or view, without copying it.
fn take_spec(value: &mut Value) -> Result<SpecRecords, DocumentFault> {
    let spec = value.get_mut("spec").map(Value::take).ok_or_else(|| {
        DocumentFault::Path(PathFault { path: "spec".to_owned(), reason: FaultReason::Missing })
    })?;
    Ok(SpecRecords::new(spec))
}

/// An object as JSON text, with a spec among its fields.
fn text_with_spec(spec: &SpecRecords, other_fields: &Value) -> Vec<u8> {
    let (function_count, route_count) = spec.counts();
    let mut text = Vec::with_capacity(RECORD_LENGTH * (2 + function_count + route_count));
    text.extend_from_slice(b"{\"spec\":");
    spec.write_to(&mut text);
    text.push(b',');
    let opening_brace = text.len();
    write_json(&mut text, other_fields);
    text.remove(opening_brace);
    text
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
            taken: TakenChanges::default(),
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
                taken: read_taken(&root.field("taken"), &changes, number)?,
                changes,
                roster: read_roster(&root.field("roster")),
                unseen: root.field("unseen").number_or(0..=u64::MAX, 0),
            })
        })
    }

    /// The document as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let noted_changes: Vec<Value> = self
            .changes
            .iter()
            .map(|change| {
                json!({
                    "id": change.id.as_str(),
                    "serial": change.serial.0,
                    "number": change.number,
                })
            })
            .collect();
        let other_fields = json!({
            "term": self.stamp.term.0,
            "serial": self.stamp.serial.0,
            "number": self.number,
            "generations": generations_json(&self.generations),
            "evacuated": evacuated_json(&self.evacuated),
            "core": core_json(&self.core),
            "former": core_json(&self.former),
            "changes": noted_changes,
            "taken": {
                "forgotten": self.taken.forgotten_up_to(),
                "kept": self.taken.to_text(),
            },
            "roster": roster_json(&self.roster),
            "unseen": self.unseen,
        });
        text_with_spec(&self.spec, &other_fields)
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
            self.taken.note(number, newest_change.serial, &newest_change.id);
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
        next_document.changes.push(ChangeNote {
            id: change,
            serial: next_document.stamp.serial,
            number: 0,
        });
        let extra_count = next_document.changes.len().saturating_sub(KEPT_CHANGES);
        next_document.changes.drain(..extra_count);
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

/// The part of the document that daemons need.
#[derive(Clone, PartialEq, Debug)]
pub struct View {
    /// Its serial.
    pub serial: Serial,
    /// The operators' spec.
    pub spec: SpecRecords,
    /// The serial at which each function entered the catalogue.
    pub generations: BTreeMap<FunctionName, Serial>,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Zone>,
    /// Where the members of the core stand.
    pub core: Vec<Place>,
}

impl View {
    fn other_fields(&self) -> Value {
        json!({
            "serial": self.serial.0,
            "generations": generations_json(&self.generations),
            "evacuated": evacuated_json(&self.evacuated),
            "core": core_places_json(&self.core),
        })
    }

    /// The view as JSON text.
    pub fn to_bytes(&self) -> Vec<u8> {
        text_with_spec(&self.spec, &self.other_fields())
    }

    /// Reads a view.
    pub fn from_bytes(view_bytes: &[u8]) -> Result<Self, DocumentFault> {
        let mut value: Value = serde_json::from_slice(view_bytes)?;
        let spec = take_spec(&mut value)?;
        read_all(&value, |root| {
            Some(Self {
                serial: Serial(root.field("serial").number(0..=u64::MAX)?),
                spec,
                generations: read_generations(&root.field("generations")),
                evacuated: read_evacuated(&root.field("evacuated")),
                core: read_core_places(&root.field("core")),
            })
        })
    }

    /// The digest of the view: of its records, and of all else it says.
    pub fn digest(&self) -> [u8; 32] {
        let mut digested_text = self.spec.digest().to_vec();
        write_json(&mut digested_text, &self.other_fields());
        crate::seal::digest(&digested_text)
    }

    /// The change that leads from this view to a newer one, as JSON text: the records that are new or
    /// different, the names of those that are gone, and what else a view says.
    pub fn change_to(&self, newer_view: &View) -> Vec<u8> {
        let functions = self.spec.function_change(&newer_view.spec);
        let routes = self.spec.route_change(&newer_view.spec);
        let new_generations: BTreeMap<FunctionName, Serial> = newer_view
            .generations
            .iter()
            .filter(|(name, serial)| self.generations.get(*name) != Some(serial))
            .map(|(name, serial)| (name.clone(), *serial))
            .collect();
        let gone_generations =
            self.generations.keys().filter(|name| !newer_view.generations.contains_key(*name));
        let gone_generations: Vec<&str> = gone_generations.map(FunctionName::as_str).collect();
        let is_rest_same = self.spec.rest() == newer_view.spec.rest();
        let rest = (!is_rest_same).then(|| newer_view.spec.rest());
        let (has_functions, has_routes) = newer_view.spec.has_parts();
        let change = json!({
            "base": self.serial.0,
            "serial": newer_view.serial.0,
            "has_functions": has_functions,
            "has_routes": has_routes,
            "put_functions": functions.put,
            "removed_functions": functions.removed,
            "put_routes": routes.put,
            "removed_routes": routes.removed,
            "rest": rest,
            "put_generations": generations_json(&new_generations),
            "removed_generations": gone_generations,
            "evacuated": evacuated_json(&newer_view.evacuated),
            "core": core_places_json(&newer_view.core),
        });
        change.to_string().into_bytes()
    }

    /// Applies a change, and believes the result only if its digest is the sender's.
    pub fn changed(&self, change_bytes: &[u8], digest: &[u8]) -> Result<View, DocumentFault> {
        let change: Value = serde_json::from_slice(change_bytes)?;
        if change["base"] != json!(self.serial.0) {
            return Err(DocumentFault::Base);
        }
        let changed_view = read_all(&change, |root| self.read_change(root))?;
        if changed_view.digest() != digest {
            return Err(DocumentFault::Digest);
        }
        Ok(changed_view)
    }

    fn read_change(&self, root: &PathReader<'_>) -> Option<View> {
        let mut spec = self.spec.clone();
        for (name, reader) in root.field("put_functions").fields() {
            spec.put_function(name, reader.value()?.clone());
        }
        for removed_name in root.field("removed_functions").items() {
            spec.remove_function(removed_name.text()?);
        }
        for (name, reader) in root.field("put_routes").fields() {
            spec.put_route(name, reader.value()?.clone());
        }
        for removed_name in root.field("removed_routes").items() {
            spec.remove_route(removed_name.text()?);
        }
        if root.field("rest").is_there() {
            spec.replace_rest(root.field("rest").value()?.clone());
        }
        let has_functions = root.field("has_functions").flag_or(true);
        spec.settle_parts((has_functions, root.field("has_routes").flag_or(true)));
        let mut generations = self.generations.clone();
        generations.extend(read_generations(&root.field("put_generations")));
        for removed_name in root.field("removed_generations").items() {
            generations.remove(removed_name.text()?);
        }
        Some(Self {
            serial: Serial(root.field("serial").number(0..=u64::MAX)?),
            spec,
            generations,
            evacuated: read_evacuated(&root.field("evacuated")),
            core: read_core_places(&root.field("core")),
        })
    }

    /// The checked spec.
    pub fn checked(&self) -> Result<Spec, DocumentFault> {
        self.spec.check().map_err(|faults| {
            let missing = PathFault { path: String::new(), reason: FaultReason::Missing };
            DocumentFault::Path(faults.into_iter().next().unwrap_or(missing))
        })
    }
}
