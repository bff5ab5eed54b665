//! What operators' changes contain, and the names of those that were given none.

use super::{ChangeKind, ItemChange, Numbering};
use common::identity::{ChangeId, Serial};
use common::seal::{digest, hex};
use serde_json::{Map, Value, json};

fn content_value(kind: &ChangeKind) -> Value {
    match kind {
        ChangeKind::Whole(spec) => json!({"spec": spec}),
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

/// The name of a change that its operator gave none: a digest of its numbers, its base and its
/// content, so that the same change sent again has the same name.
pub fn change_name(
    base: Option<Serial>,
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
pub(super) fn with_items(spec: &Value, items: &ItemChange) -> Value {
    let mut changed_spec = spec.clone();
    let Some(root) = changed_spec.as_object_mut() else { return changed_spec };
    let parts = [
        ("functions", &items.put_functions, &items.remove_functions),
        ("routes", &items.put_routes, &items.remove_routes),
    ];
    for (part_name, put_items, removed_names) in parts {
        let part = root.entry(part_name).or_insert_with(|| Value::Object(Map::new()));
        let Some(part_items) = part.as_object_mut() else { continue };
        for removed_name in removed_names {
            part_items.remove(removed_name);
        }
        for (put_name, put_item) in put_items {
            part_items.insert(put_name.clone(), put_item.clone());
        }
    }
    for (key, replaced) in [("limits", &items.limits), ("labels", &items.labels)] {
        if let Some(replaced) = replaced {
            root.insert(key.to_owned(), replaced.clone());
        }
    }
    changed_spec
}
