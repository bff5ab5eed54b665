//! Changes as operators submit them who name neither the change nor the version that it is based on.

use controlplane::controller_state::{ChangeKind, ChangeRequest, Numbering, Operation, Wait};

/// A change with the operator's own numbers.
pub fn numbered_change(numbering: Numbering, kind: ChangeKind) -> Operation {
    unnamed_change(Some(numbering), kind)
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
