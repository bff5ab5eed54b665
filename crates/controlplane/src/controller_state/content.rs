//! The content of operators' changes, and the names of those that were given none.

use super::{ChangeKind, ItemChange, Numbering};
use common::identity::{ChangeId, Version};
use common::seal::{digest, hex};
use common::spec::SpecRecords;
use serde_json::{Value, json};

/// The canonical form of a change's content. Its digest names changes in committed documents, so it must not vary.
fn content_value(kind: &ChangeKind) -> Value {
    match kind {
        ChangeKind::FullSpec(spec) => json!({"spec": spec.to_value()}),
        ChangeKind::Patch(patch) => json!({"patch": patch}),
        ChangeKind::Items(items) => json!({
            "put_functions": items.put_functions,
            "remove_functions": items.remove_functions,
            "put_routes": items.put_routes,
            "remove_routes": items.remove_routes,
            "limits": items.limits,
            "labels": items.labels,
        }),
        ChangeKind::Evacuate { zone, .. } => json!({"evacuate": zone.as_str()}),
        ChangeKind::Restore { zone } => json!({"restore": zone.as_str()}),
    }
}

/// The name of a change that its operator did not name: a digest of its numbers, its base version and its
/// content, so that the same change sent again has the same name.
pub fn derive_change_id(
    base: Option<Version>,
    numbering: Option<Numbering>,
    kind: &ChangeKind,
) -> ChangeId {
    let named = json!({
        "base_serial": base.map(|base| base.0),
        "number": numbering.map(|numbering| numbering.number),
        "base_number": numbering.map(|numbering| numbering.base_number),
        "content": content_value(kind),
    });
    ChangeId::from(hex(&digest(named.to_string().as_bytes())))
}

/// A specification with named items put and removed.
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
