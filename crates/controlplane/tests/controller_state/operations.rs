//! Changes as operators submit them who name neither the change nor the version that it is based on.

use controlplane::controller_state::{ChangeKind, ChangeRequest, Numbering, Operation, Wait};
use serde_json::json;

/// A change with the operator's own numbers.
pub fn numbered_change(numbering: Numbering, kind: ChangeKind) -> Operation {
    unnamed_change(Some(numbering), kind)
}

/// A whole spec without items under the operator's own numbers; its label tells it from others.
pub fn numbered(number: u64, base_number: u64) -> Operation {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": number}});
    let numbering = Numbering {
        number,
        base_number,
    };
    numbered_change(numbering, ChangeKind::FullSpec(spec.into()))
}

/// A change to a zone, which needs no numbers.
pub fn zone_change(kind: ChangeKind) -> Operation {
    unnamed_change(None, kind)
}

fn unnamed_change(numbering: Option<Numbering>, kind: ChangeKind) -> Operation {
    Operation::Change(ChangeRequest {
        base: None,
        numbering,
        change: None,
        kind,
        wait: Wait::Accepted,
    })
}
