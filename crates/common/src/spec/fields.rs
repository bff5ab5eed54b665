//! Reads and writes the JSON fields that documents, views and deltas have in common.
//!
//! The keys that are read here must match those that the `Serialize` types of documents, views and deltas write.

use super::records::write_json;
use super::{ChangeRecord, DocumentError, ListedMember, SpecRecords, Voter};
use crate::frames::SocketAddress;
use crate::identity::{ControllerId, FunctionName, Version, Zone};
use crate::readers::{PathError, PathErrorList, PathErrorReason, PathReader, read_address};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The estimated length of one record's text in bytes, including the function's generation.
const ESTIMATED_RECORD_LENGTH: usize = 256;

/// Runs `read_parts` on a reader at the root of a value. Fails with the first error that it reported, or with
/// [`PathErrorReason::Missing`] if it returned nothing and reported no error.
pub(super) fn read_all<T>(
    value: &Value,
    read_parts: impl FnOnce(&PathReader<'_>) -> Option<T>,
) -> Result<T, DocumentError> {
    let errors = PathErrorList::default();
    let read_value = read_parts(&PathReader::new(value, &errors));
    let missing = PathError {
        path: String::new(),
        reason: PathErrorReason::Missing,
    };
    match (errors.into_inner().into_iter().next(), read_value) {
        (None, Some(value)) => Ok(value),
        (error, _) => Err(DocumentError::Path(error.unwrap_or(missing))),
    }
}

/// Reads the version in which each function was added to the catalogue, an object keyed by function name.
pub(super) fn read_generations(reader: &PathReader<'_>) -> BTreeMap<FunctionName, Version> {
    let generation_fields = reader.fields().into_iter();
    generation_fields
        .filter_map(|(name, field)| Some((name.into(), Version(field.number(0..=u64::MAX)?))))
        .collect()
}

/// Reads the evacuated zones, a list of names.
pub(super) fn read_evacuated(reader: &PathReader<'_>) -> BTreeSet<Zone> {
    reader
        .items()
        .iter()
        .filter_map(|item| item.text().map(Zone::from))
        .collect()
}

/// Reads a list of changes, oldest first.
pub(super) fn read_changes(reader: &PathReader<'_>) -> Vec<ChangeRecord> {
    let change_items = reader.items();
    change_items
        .iter()
        .filter_map(|item| {
            Some(ChangeRecord {
                id: item.field("id").text()?.into(),
                version: Version(item.field("serial").number(0..=u64::MAX)?),
                number: item.field("number").number_or(0..=u64::MAX, 0),
            })
        })
        .collect()
}

/// Reads the voters, whose identities are in hexadecimal.
pub(super) fn read_voters(reader: &PathReader<'_>) -> Vec<Voter> {
    let voter_items = reader.items();
    voter_items
        .iter()
        .filter_map(|item| {
            Some(Voter {
                id: ControllerId(u64::from_str_radix(item.field("id").text()?, 16).ok()?),
                address: read_address(&item.field("place"))?,
                zone: item.field("locality").text()?.into(),
            })
        })
        .collect()
}

/// Reads the daemons that may hold session leases; empty for documents written before the field existed.
pub(super) fn read_membership(reader: &PathReader<'_>) -> BTreeSet<ListedMember> {
    if !reader.is_present() {
        return BTreeSet::new();
    }
    let membership_items = reader.items();
    membership_items
        .iter()
        .filter_map(|item| {
            Some(ListedMember {
                member: item.field("member").text()?.into(),
                address: read_address(&item.field("place"))?,
            })
        })
        .collect()
}

/// Reads the addresses of the voters, as a view lists them.
pub(super) fn read_voter_addresses(reader: &PathReader<'_>) -> Vec<SocketAddress> {
    reader.items().iter().filter_map(read_address).collect()
}

/// Moves the spec out of the JSON of a document or view, without copying it.
pub(super) fn extract_spec(value: &mut Value) -> Result<SpecRecords, DocumentError> {
    let spec = value.get_mut("spec").map(Value::take).ok_or_else(|| {
        DocumentError::Path(PathError {
            path: "spec".to_owned(),
            reason: PathErrorReason::Missing,
        })
    })?;
    Ok(SpecRecords::new(spec))
}

/// Encodes an object as JSON text, with its keys in alphabetical order whatever the order of the type's fields.
pub(super) fn fields_text(fields: &impl Serialize) -> Vec<u8> {
    let mut text = Vec::new();
    write_json(&mut text, &json!(fields));
    text
}

/// Encodes an object as JSON text, with a spec as its first field.
pub(super) fn text_with_spec(spec: &SpecRecords, other_fields: &impl Serialize) -> Vec<u8> {
    let (function_count, route_count) = spec.counts();
    let mut text = Vec::with_capacity(ESTIMATED_RECORD_LENGTH * (2 + function_count + route_count));
    text.extend_from_slice(b"{\"spec\":");
    spec.write_to(&mut text);
    text.push(b',');
    append_fields(&mut text, other_fields);
    text
}

/// Appends the fields of an object and the closing brace to the text of an unfinished JSON object.
pub(super) fn append_fields(text: &mut Vec<u8>, fields: &impl Serialize) {
    let opening_brace = 1;
    text.extend_from_slice(&fields_text(fields)[opening_brace..]);
}
