//! Converts parsed changes of the configuration to JSON, for comparison with fixtures.

use controlplane::controller_state::ChangeKind;
use serde_json::{Value, json};

/// Returns a parsed change as JSON, with all its fields.
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
