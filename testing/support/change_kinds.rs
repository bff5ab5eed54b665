//! What a change to the configuration was read as. Included by the tests that hold it.

use controlplane::controller_state::ChangeKind;
use serde_json::{Value, json};

/// A change with all that was read of it, as JSON.
pub(crate) fn to_json(kind: &ChangeKind) -> Value {
    match kind {
        ChangeKind::FullSpec(spec) => json!({"spec": spec.to_value()}),
        ChangeKind::Patch(patch) => json!({"patch": patch}),
        ChangeKind::Items(items) => json!({
            "put": {
                "functions": items.put_functions, "routes": items.put_routes,
                "limits": items.limits, "labels": items.labels,
            },
            "remove": {"functions": items.remove_functions, "routes": items.remove_routes},
        }),
        ChangeKind::Evacuate { zone, force } => json!({"evacuate": zone.as_str(), "force": force}),
        ChangeKind::Restore { zone } => json!({"restore": zone.as_str()}),
    }
}
