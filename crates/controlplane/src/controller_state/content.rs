//! The content of operators' changes, and the derivation of IDs for changes that were submitted without one.

use super::{ChangeKind, ItemChange, Numbering};
use common::identity::{ChangeId, Version};
use common::seal::{digest, hex};
use common::spec::SpecRecords;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The data from which the ID of a change is derived. IDs are stored in committed documents, so neither the keys nor
/// their alphabetical order may change.
#[derive(Serialize)]
struct DigestedContent<'a> {
    base_number: Option<u64>,
    #[serde(rename = "base_serial")]
    base_version: Option<u64>,
    content: ChangeContent<'a>,
    number: Option<u64>,
}

/// The canonical form of a change's content.
#[derive(Serialize)]
#[serde(untagged)]
enum ChangeContent<'a> {
    FullSpec {
        spec: Value,
    },
    Patch {
        patch: &'a Value,
    },
    Items {
        labels: &'a Option<Value>,
        limits: &'a Option<Value>,
        put_functions: &'a BTreeMap<String, Value>,
        put_routes: &'a BTreeMap<String, Value>,
        remove_functions: &'a BTreeSet<String>,
        remove_routes: &'a BTreeSet<String>,
    },
    Evacuate {
        evacuate: &'a str,
    },
    Restore {
        restore: &'a str,
    },
}

impl<'a> ChangeContent<'a> {
    fn of(kind: &'a ChangeKind) -> Self {
        match kind {
            ChangeKind::FullSpec(spec) => Self::FullSpec {
                spec: spec.to_value(),
            },
            ChangeKind::Patch(patch) => Self::Patch { patch },
            ChangeKind::Items(items) => Self::Items {
                labels: &items.labels,
                limits: &items.limits,
                put_functions: &items.put_functions,
                put_routes: &items.put_routes,
                remove_functions: &items.remove_functions,
                remove_routes: &items.remove_routes,
            },
            ChangeKind::Evacuate { zone, .. } => Self::Evacuate {
                evacuate: zone.as_str(),
            },
            ChangeKind::Restore { zone } => Self::Restore {
                restore: zone.as_str(),
            },
        }
    }
}

/// Derives the ID of a change that was submitted without one. The ID is a digest of the change's numbers, base version
/// and content, so the same change has the same ID when it is sent again.
pub fn derive_change_id(
    base: Option<Version>,
    numbering: Option<Numbering>,
    kind: &ChangeKind,
) -> ChangeId {
    let digested = DigestedContent {
        base_number: numbering.map(|numbering| numbering.base_number),
        base_version: base.map(|base| base.0),
        content: ChangeContent::of(kind),
        number: numbering.map(|numbering| numbering.number),
    };
    // A `Value` sorts its keys, so the order of the fields does not matter.
    let canonical = json!(digested).to_string();
    ChangeId::from(hex(&digest(canonical.as_bytes())))
}

/// Returns the spec with the change's items put and removed.
pub(super) fn with_items(spec: &SpecRecords, items: &ItemChange) -> SpecRecords {
    let mut changed_spec = spec.clone();
    for removed_name in &items.remove_functions {
        changed_spec.remove_function(removed_name);
    }
    for (put_name, put_function) in &items.put_functions {
        changed_spec.put_function(put_name, put_function.clone());
    }
    for removed_name in &items.remove_routes {
        changed_spec.remove_route(removed_name);
    }
    for (put_name, put_route) in &items.put_routes {
        changed_spec.put_route(put_name, put_route.clone());
    }
    for (name, replaced) in [("limits", &items.limits), ("labels", &items.labels)] {
        if let Some(replaced) = replaced {
            changed_spec.put_field(name, replaced.clone());
        }
    }
    changed_spec
}
