//! What a caller is told of an outcome or a refusal.

use common::frames::{HopOutcome, HopReason};
use common::http::BodyFault;
use common::identity::FunctionKey;
use common::tongue::{NotRunKind, Said};
use std::time::Duration;

/// A refusal that no later try changes.
pub fn refused_for_good(kind: NotRunKind, reason: &'static str) -> Said {
    Said::NotRun { kind, reason, header: None, come_back: None }
}

/// Refused at the door, with a hint when to come back.
pub fn refused(reason: HopReason, come_back: Duration) -> Said {
    Said::NotRun {
        kind: kind_of(reason),
        reason: reason.as_str(),
        header: None,
        come_back: Some(come_back),
    }
}

/// What a caller is told of a body that was not read.
pub fn unread(fault: &BodyFault) -> Said {
    match fault {
        BodyFault::TooLarge => refused_for_good(NotRunKind::TooLarge, "body_too_large"),
        BodyFault::Broken | BodyFault::Slow => refused_for_good(NotRunKind::Bad, "bad_body"),
    }
}

/// What a caller is told of a transaction that has ended.
pub fn ended(function: FunctionKey, outcome: HopOutcome) -> Said {
    match outcome {
        HopOutcome::Answer { status, seal, runner, lines, body } => {
            Said::Answer { function, runner, status, seal: seal.0, lines: lines.0, body: body.0 }
        }
        HopOutcome::NotRun { reason, retry_ms } => Said::NotRun {
            kind: kind_of(reason),
            reason: reason.as_str(),
            header: None,
            come_back: Some(Duration::from_millis(u64::from(retry_ms))),
        },
        HopOutcome::Unknown { reason } => {
            Said::Unknown { reason, come_back: come_back_after(reason) }
        }
    }
}

/// When it makes sense to ask what became of a transaction, with its own identity, or to try another:
/// a silent holder is replaced when its grant has ended.
fn come_back_after(reason: HopReason) -> Duration {
    match reason {
        HopReason::HolderSilent => Duration::from_millis(3000),
        _ => Duration::from_millis(1000),
    }
}

/// That no route leads here is said only by the door, from a table in force; what a holder with another
/// table says is no more than a reason to come back.
fn kind_of(reason: HopReason) -> NotRunKind {
    match reason {
        HopReason::TriesSpent => NotRunKind::TooMany,
        HopReason::ShedBefore => NotRunKind::Conflict,
        _ => NotRunKind::Unavailable,
    }
}
