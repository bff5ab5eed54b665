//! What operators can request of a controller.

use super::{OperationReply, Unavailable};
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::spec::SpecRecords;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies one operation in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationTicket(pub u64);

/// The operators' own number of a spec, and of the one it is built on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Numbering {
    /// The number it is to have; above the current one.
    pub number: u64,
    /// The number of the spec it is built on; zero before the first.
    pub base_number: u64,
}

/// A change of named items. An item that is put replaces the one of its name completely; removing an
/// item that does not exist is no error.
#[derive(Clone, Debug, Default)]
pub struct ItemChange {
    /// The functions put, by name: each as the operator wrote it. It is checked with the spec that results.
    pub put_functions: BTreeMap<String, Value>,
    /// The functions removed.
    pub remove_functions: BTreeSet<String>,
    /// The routes put, by name: each as the operator wrote it.
    pub put_routes: BTreeMap<String, Value>,
    /// The routes removed.
    pub remove_routes: BTreeSet<String>,
    /// The callers' limits as the operator wrote them, if they change.
    pub limits: Option<Value>,
    /// What is stored with the spec and never interpreted, if it changes: any JSON.
    pub labels: Option<Value>,
}

/// What a change does.
#[derive(Clone, Debug)]
pub enum ChangeKind {
    /// Replaces the spec.
    FullSpec(SpecRecords),
    /// Applies a JSON merge patch (RFC 7396) to the spec. A patch is any JSON: it need not have the form of a
    /// spec, and only what results from it is checked.
    Patch(Value),
    /// Puts and removes named items of the spec.
    Items(Box<ItemChange>),
    /// Evacuates a zone.
    Evacuate {
        /// Which one.
        zone: Zone,
        /// Even if it is the last one.
        force: bool,
    },
    /// Takes a zone into use again.
    Restore {
        /// Which one.
        zone: Zone,
    },
}

impl ChangeKind {
    /// Whether it evacuates or restores a zone.
    pub fn is_zone_change(&self) -> bool {
        matches!(self, Self::Evacuate { .. } | Self::Restore { .. })
    }
}

/// What an operator waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wait {
    /// Until the change is accepted.
    Accepted,
    /// Until it is in force everywhere.
    InForce,
}

/// A change as an operator requests it.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// The version it is built on.
    pub base: Option<Version>,
    /// The operators' own numbers, if they number it.
    pub numbering: Option<Numbering>,
    /// The operator's name for it; without one its content identifies it.
    pub change: Option<ChangeId>,
    /// What it does.
    pub kind: ChangeKind,
    /// What to wait for.
    pub wait: Wait,
}

/// What an operator requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read the spec.
    ReadSpec,
    /// Change it.
    Change(ChangeRequest),
    /// Report what is known of a change.
    ChangeStatus(ChangeId),
    /// List the daemons.
    Members,
    /// List the lease holders.
    Holders,
    /// List the workers.
    Workers,
    /// List the runners.
    Runners,
    /// Show the control quorum.
    ShowQuorum,
    /// Bootstrap the control quorum.
    Bootstrap,
    /// Replace a voter, the first, by another controller, the second.
    Replace(ControllerId, ControllerId),
    /// Read events from a number on.
    Events(u64),
    /// Show how a version propagated, as far as this controller knows; zero for the newest.
    Trace(Version),
    /// Update the metrics.
    Metrics,
}

impl Operation {
    /// The reply to an operation of which nothing has been carried out.
    pub fn not_handled(&self, reason: Unavailable) -> OperationReply {
        match self {
            Self::Change(request) => OperationReply::NotAccepted {
                reason,
                change: request.change.clone(),
            },
            Self::Bootstrap | Self::Replace(..) => OperationReply::NotAccepted {
                reason,
                change: None,
            },
            Self::ReadSpec
            | Self::ChangeStatus(_)
            | Self::Members
            | Self::Holders
            | Self::Workers
            | Self::Runners
            | Self::ShowQuorum
            | Self::Events(_)
            | Self::Trace(_)
            | Self::Metrics => OperationReply::TemporarilyUnavailable(reason),
        }
    }
}
