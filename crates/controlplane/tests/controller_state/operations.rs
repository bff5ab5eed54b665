//! Constructors of changes with neither a change ID nor a base version.

use controlplane::controller_state::{ChangeKind, ChangeRequest, Numbering, Operation, Wait};
use serde_json::json;

/// Returns a change with the operator's own numbers.
pub fn numbered_change(numbering: Numbering, kind: ChangeKind) -> Operation {
    unnamed_change(Some(numbering), kind)
}

/// Returns a change to a spec without items, with the operator's own numbers. A label makes each spec distinct.
pub fn numbered(number: u64, base_number: u64) -> Operation {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": number}});
    let numbering = Numbering {
        number,
        base_number,
    };
    numbered_change(numbering, ChangeKind::FullSpec(spec.into()))
}

/// Returns a change of a zone, which needs no numbers.
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
