//! The operations that operators can request of a controller.

use super::{OperationReply, Unavailable};
use common::identity::{ChangeId, ControllerId, Version, Zone};
use common::spec::SpecRecords;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an operation within this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationTicket(pub u64);

/// The numbers that operators themselves assign to a spec and to the one it is based on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Numbering {
    /// The number of the new spec, which must be higher than the current one.
    pub number: u64,
    /// The number of the spec that the change is based on, or zero if none has been numbered.
    pub base_number: u64,
}

/// A change of individual items by name. An item that is put replaces the existing one of that name completely.
/// Removing an item that does not exist is not an error.
#[derive(Clone, Debug, Default)]
pub struct ItemChange {
    /// The functions to put, by name, as the operator wrote them. They are validated as part of the resulting spec.
    pub put_functions: BTreeMap<String, Value>,
    /// The functions to remove.
    pub remove_functions: BTreeSet<String>,
    /// The routes to put, by name, as the operator wrote them.
    pub put_routes: BTreeMap<String, Value>,
    /// The routes to remove.
    pub remove_routes: BTreeSet<String>,
    /// The new limits for callers as the operator wrote them, if they change.
    pub limits: Option<Value>,
    /// The new labels, if they change: any JSON, stored with the spec and never interpreted.
    pub labels: Option<Value>,
}

/// The kind of a change, with its content.
#[derive(Clone, Debug)]
pub enum ChangeKind {
    /// Replaces the spec.
    FullSpec(SpecRecords),
    /// Applies a JSON merge patch (RFC 7396) to the spec. The patch may be any JSON; only the resulting spec is
    /// validated.
    Patch(Value),
    /// Puts and removes individual items of the spec.
    Items(Box<ItemChange>),
    /// Evacuates a zone.
    Evacuate {
        /// The zone to evacuate.
        zone: Zone,
        /// Whether to evacuate it even if it is unknown or the last one in use.
        force: bool,
    },
    /// Ends the evacuation of a zone.
    Restore {
        /// The zone to restore.
        zone: Zone,
    },
}

impl ChangeKind {
    /// Whether the change evacuates or restores a zone.
    pub fn is_zone_change(&self) -> bool {
        matches!(self, Self::Evacuate { .. } | Self::Restore { .. })
    }
}

/// The state of a change that its operator waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wait {
    /// The change is accepted.
    Accepted,
    /// The change is in force everywhere.
    InForce,
}

/// An operator's request for a change.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// The version that the change is based on.
    pub base: Option<Version>,
    /// The numbers that the operators assign, if any.
    pub numbering: Option<Numbering>,
    /// The ID that the operator gave the change. If it is absent, one is generated.
    pub change: Option<ChangeId>,
    /// The requested change.
    pub kind: ChangeKind,
    /// The state to wait for.
    pub wait: Wait,
}

/// An operation that an operator requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read the spec.
    ReadSpec,
    /// Change the spec, or evacuate or restore a zone.
    Change(ChangeRequest),
    /// Report the status of a change.
    ChangeStatus(ChangeId),
    /// List the daemons.
    Members,
    /// List the lease holders.
    Holders,
    /// List the workers.
    Workers,
    /// List the runners.
    Runners,
    /// Show the status of the control quorum.
    ShowQuorum,
    /// Bootstrap the control quorum.
    Bootstrap,
    /// Replace a voter (the first ID) with another controller (the second ID).
    Replace(ControllerId, ControllerId),
    /// Read the events starting at this number.
    Events(u64),
    /// Show how a version propagated, as far as this controller knows. Zero stands for the newest version.
    Trace(Version),
    /// Update the metrics.
    Metrics,
}

impl Operation {
    /// Returns the reply to this operation if no part of it has been carried out.
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
