//! The fields of the events that the leader records, one struct for each set of fields. They become JSON
//! in this module alone; the keys are part of the operators' interface and stay as they are.

use super::EventRecord;
use common::events::Event;
use common::frames::RequestFailureReason;
use common::identity::{FencingToken, FunctionKey, InstanceId, MemberName, RunnerId, Version};
use common::identity::{WorkerName, Zone};
use serde_json::{Value, json};
use std::fmt::Display;

/// The fields of an event beside its kind. They are borrowed: an event costs no copies of names.
pub(super) trait EventFields {
    /// The fields as operators read them.
    fn to_json(&self) -> Value;

    /// The event with these fields.
    fn record(&self, event: Event) -> EventRecord {
        EventRecord {
            event,
            detail: self.to_json(),
        }
    }
}

/// What concerns one member.
pub(super) struct MemberFields<'a> {
    pub member: &'a MemberName,
}

impl EventFields for MemberFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "member": self.member.as_str(),
        })
    }
}

/// A member opened its stream and was welcomed.
pub(super) struct MemberConnectedFields<'a> {
    pub member: &'a MemberName,
    pub incarnation: u64,
    pub zone: &'a Zone,
}

impl EventFields for MemberConnectedFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "member": self.member.as_str(),
            "incarnation": self.incarnation,
            "locality": self.zone.as_str(),
        })
    }
}

/// The claims quorum stands.
pub(super) struct ClaimsQuorumFields {
    pub last_known: usize,
    pub claimed: usize,
    pub all_claimed: bool,
    pub waited_ms: u64,
    pub functions: usize,
}

impl EventFields for ClaimsQuorumFields {
    fn to_json(&self) -> Value {
        json!({
            "last_known": self.last_known,
            "claimed": self.claimed,
            "all_claimed": self.all_claimed,
            "waited_ms": self.waited_ms,
            "functions": self.functions,
        })
    }
}

/// A function lease that is rejected, released or fenced.
pub(super) struct LeaseFields<'a> {
    pub function: &'a FunctionKey,
    pub member: &'a MemberName,
    pub fencing_token: FencingToken,
}

impl EventFields for LeaseFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "member": self.member.as_str(),
            "grant": self.fencing_token.0,
        })
    }
}

/// A function lease that is issued; `adopted` counts the orphaned runners that go with it.
pub(super) struct LeaseGrantedFields<'a> {
    pub function: &'a FunctionKey,
    pub member: &'a MemberName,
    pub fencing_token: FencingToken,
    pub once_wait_ms: u64,
    pub adopted: usize,
}

impl EventFields for LeaseGrantedFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "member": self.member.as_str(),
            "grant": self.fencing_token.0,
            "once_wait_ms": self.once_wait_ms,
            "adopted": self.adopted,
        })
    }
}

/// What concerns one function.
pub(super) struct FunctionFields<'a> {
    pub function: &'a FunctionKey,
}

impl EventFields for FunctionFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
        })
    }
}

/// What concerns one runner of a known function.
pub(super) struct RunnerFields<'a> {
    pub function: &'a FunctionKey,
    pub runner: RunnerId,
    pub worker: &'a WorkerName,
}

impl EventFields for RunnerFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "runner": self.runner.to_string(),
            "worker": self.worker.as_str(),
        })
    }
}

/// A runner that the platform lists and no holder claimed.
pub(super) struct FoundRunnerFields<'a> {
    pub runner: RunnerId,
    pub instance: &'a InstanceId,
    pub worker: &'a WorkerName,
}

impl EventFields for FoundRunnerFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "runner": self.runner.to_string(),
            "life": self.instance.as_str(),
            "worker": self.worker.as_str(),
        })
    }
}

/// A runner that makes room for a function without one.
pub(super) struct ReclaimedRunnerFields<'a> {
    pub function: &'a FunctionKey,
    pub runner: RunnerId,
    pub requester: &'a FunctionKey,
}

impl EventFields for ReclaimedRunnerFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "runner": self.runner.to_string(),
            "for": self.requester.to_string(),
        })
    }
}

/// The memory of a runner that fits on no worker.
pub(super) struct MissingMemoryFields<'a> {
    pub function: &'a FunctionKey,
    pub memory_mb: u32,
}

impl EventFields for MissingMemoryFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "memory_mb": self.memory_mb,
        })
    }
}

/// The memory that is reserved, and that of the usable workers.
pub(super) struct CapacityFields {
    pub needed_mb: u64,
    pub remaining_mb: u64,
}

impl EventFields for CapacityFields {
    fn to_json(&self) -> Value {
        json!({
            "needed_mb": self.needed_mb,
            "left_mb": self.remaining_mb,
        })
    }
}

/// What concerns one worker.
pub(super) struct WorkerFields<'a> {
    pub worker: &'a WorkerName,
}

impl EventFields for WorkerFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "worker": self.worker.as_str(),
        })
    }
}

/// What concerns one version of the configuration.
pub(super) struct VersionFields {
    pub version: Version,
}

impl EventFields for VersionFields {
    fn to_json(&self) -> Value {
        json!({
            "serial": self.version.0,
        })
    }
}

/// A version whose routing table could not be built.
pub(super) struct InstallFailureFields<'a> {
    pub version: Version,
    pub error: &'a dyn Display,
}

impl EventFields for InstallFailureFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "serial": self.version.0,
            "fault": self.error.to_string(),
        })
    }
}

/// Requests that a member rejected.
pub(super) struct RejectionsFields<'a> {
    pub function: &'a FunctionKey,
    pub member: &'a MemberName,
    pub count: u32,
    pub reason: RequestFailureReason,
}

impl EventFields for RejectionsFields<'_> {
    fn to_json(&self) -> Value {
        json!({
            "function": self.function.to_string(),
            "member": self.member.as_str(),
            "count": self.count,
            "reason": self.reason.as_str(),
        })
    }
}
