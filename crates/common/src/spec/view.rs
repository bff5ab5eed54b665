//! The part of the document that daemons need, and the changes by which they are told of a newer one.

use super::catalogue_change::{Catalogue, PutRecords, catalogue_change, read_catalogue_change};
use super::fields::{
    core_places_json, evacuated_json, generations_json, read_all, read_core_places, read_evacuated,
    read_generations, take_spec, text_with_spec,
};
use super::records::write_json;
use super::{DocumentFault, Spec, SpecRecords};
use crate::frames::Place;
use crate::identity::{FunctionName, Serial, Zone};
use crate::readers::{FaultReason, PathFault, PathReader};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

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
        let fields = [
            ("base", json!(self.serial.0)),
            ("serial", json!(newer_view.serial.0)),
            ("evacuated", evacuated_json(&newer_view.evacuated)),
            ("core", core_places_json(&newer_view.core)),
        ];
        let other_fields = fields.map(|(field, value)| (field.to_owned(), value));
        let other_fields = Map::from_iter(other_fields);
        catalogue_change(self.catalogue(), newer_view.catalogue(), other_fields)
    }

    fn catalogue(&self) -> Catalogue<'_> {
        Catalogue { spec: &self.spec, generations: &self.generations }
    }

    /// Applies a change, and believes the result only if its digest is the sender's.
    pub fn changed(&self, change_bytes: &[u8], digest: &[u8]) -> Result<View, DocumentFault> {
        let mut change: Value = serde_json::from_slice(change_bytes)?;
        if change["base"] != json!(self.serial.0) {
            return Err(DocumentFault::Base);
        }
        let put = PutRecords::take(&mut change);
        let changed_view = read_all(&change, |root| self.read_change(root, put))?;
        if changed_view.digest() != digest {
            return Err(DocumentFault::Digest);
        }
        Ok(changed_view)
    }

    fn read_change(&self, root: &PathReader<'_>, put: PutRecords) -> Option<View> {
        let (spec, generations) = read_catalogue_change(root, put, self.catalogue())?;
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
