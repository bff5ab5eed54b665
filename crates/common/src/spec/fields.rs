//! The fields that documents, views and changes have in common, read from JSON and written as JSON.

use super::records::write_json;
use super::{ChangeNote, CoreMember, DocumentFault, RosterMember, SpecRecords};
use crate::frames::Place;
use crate::identity::{ControllerId, FunctionName, Serial, Zone};
use crate::readers::{FaultList, FaultReason, PathFault, PathReader, read_place};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// About the length of a record's text, with its function's generation.
const RECORD_LENGTH: usize = 256;

pub(super) fn read_all<T>(
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

pub(super) fn read_generations(reader: &PathReader<'_>) -> BTreeMap<FunctionName, Serial> {
    let generation_fields = reader.fields().into_iter();
    generation_fields
        .filter_map(|(name, field)| Some((name.into(), Serial(field.number(0..=u64::MAX)?))))
        .collect()
}

pub(super) fn read_evacuated(reader: &PathReader<'_>) -> BTreeSet<Zone> {
    reader.items().iter().filter_map(|item| item.text().map(Zone::from)).collect()
}

pub(super) fn generations_json(generations: &BTreeMap<FunctionName, Serial>) -> Value {
    let pairs = generations.iter().map(|(name, serial)| (name.to_string(), json!(serial.0)));
    Value::Object(pairs.collect::<Map<_, _>>())
}

pub(super) fn evacuated_json(evacuated: &BTreeSet<Zone>) -> Value {
    Value::Array(evacuated.iter().map(|zone| json!(zone.as_str())).collect())
}

pub(super) fn read_changes(reader: &PathReader<'_>) -> Vec<ChangeNote> {
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

pub(super) fn changes_json(changes: &[ChangeNote]) -> Value {
    let rows = changes.iter().map(|noted| {
        json!({
            "id": noted.id.as_str(),
            "serial": noted.serial.0,
            "number": noted.number,
        })
    });
    Value::Array(rows.collect())
}

pub(super) fn read_core(reader: &PathReader<'_>) -> Vec<CoreMember> {
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

pub(super) fn read_roster(reader: &PathReader<'_>) -> BTreeSet<RosterMember> {
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

pub(super) fn roster_json(roster: &BTreeSet<RosterMember>) -> Value {
    let rows = roster
        .iter()
        .map(|listed| json!({"member": listed.member.as_str(), "place": listed.place.to_string()}));
    Value::Array(rows.collect())
}

pub(super) fn core_json(members: &[CoreMember]) -> Value {
    let rows = members.iter().map(|member| {
        json!({
            "id": format!("{:x}", member.id.0),
            "place": member.place.to_string(),
            "locality": member.zone.as_str(),
        })
    });
    Value::Array(rows.collect())
}

pub(super) fn core_places_json(core: &[Place]) -> Value {
    Value::Array(core.iter().map(|place| json!(place.to_string())).collect())
}

pub(super) fn read_core_places(reader: &PathReader<'_>) -> Vec<Place> {
    reader.items().iter().filter_map(read_place).collect()
}

/// Takes the spec out of a document or view, without copying it.
pub(super) fn take_spec(value: &mut Value) -> Result<SpecRecords, DocumentFault> {
    let spec = value.get_mut("spec").map(Value::take).ok_or_else(|| {
        DocumentFault::Path(PathFault { path: "spec".to_owned(), reason: FaultReason::Missing })
    })?;
    Ok(SpecRecords::new(spec))
}

/// An object as JSON text, with a spec among its fields.
pub(super) fn text_with_spec(spec: &SpecRecords, other_fields: &Value) -> Vec<u8> {
    let (function_count, route_count) = spec.counts();
    let mut text = Vec::with_capacity(RECORD_LENGTH * (2 + function_count + route_count));
    text.extend_from_slice(b"{\"spec\":");
    spec.write_to(&mut text);
    text.push(b',');
    append_fields(&mut text, other_fields);
    text
}

/// Appends the fields of an object, and the brace that closes it, to an object that is being written.
pub(super) fn append_fields(text: &mut Vec<u8>, fields: &Value) {
    let mut fields_text = Vec::new();
    write_json(&mut fields_text, fields);
    text.extend_from_slice(&fields_text[1..]);
}
