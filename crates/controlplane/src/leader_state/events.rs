//! The events that a controller records, and their fields. The keys are part of the operators' interface and
//! stay as they are.

use crate::json_form;
use common::events::Event;
use common::frames::{RequestFailureReason, SocketAddress};
use common::identity::{ControllerId, FencingToken, FunctionKey, Incarnation, InstanceId};
use common::identity::{MemberName, RunnerId, Term, Version, WorkerName, Zone};
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt;

/// An event for operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EventRecord {
    /// Its kind.
    pub event: Event,
    /// Its fields.
    pub detail: EventDetail,
}

/// The fields of an event beside its kind: one variant for each set of fields. As JSON it is an object with the
/// keys that operators read.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(untagged)]
pub enum EventDetail {
    /// An event without fields.
    NoFields {},
    /// What concerns one term.
    Term {
        /// The term.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
    },
    /// A controller is elected leader.
    LeaderElected {
        /// Its term.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
        /// The leader.
        #[serde(serialize_with = "json_form::controller_id")]
        controller: ControllerId,
        /// The leader, under the key's earlier name.
        #[serde(rename = "surveyor", serialize_with = "json_form::controller_id")]
        controller_legacy_key: ControllerId,
        /// How many daemons may hold a lease of an earlier leader.
        last_known: usize,
        /// Whether these are all that may hold one.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// A version is committed.
    VersionCommitted {
        /// The term of the leader that committed it.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
    },
    /// The control quorum changes.
    QuorumReconfiguring {
        /// Where the next voters are reached.
        #[serde(rename = "core", serialize_with = "json_form::texts")]
        voters: Vec<SocketAddress>,
        /// Whether the change is complete.
        settled: bool,
    },
    /// What concerns one member.
    Member {
        /// The member.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
    },
    /// A member opened its stream and was welcomed.
    MemberConnected {
        /// The member.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// Its incarnation.
        #[serde(serialize_with = "json_form::number")]
        incarnation: Incarnation,
        /// Its zone.
        #[serde(rename = "locality", serialize_with = "json_form::text")]
        zone: Zone,
    },
    /// The claims quorum stands.
    ClaimsQuorum {
        /// How many members were expected.
        last_known: usize,
        /// How many of them have claimed.
        claimed: usize,
        /// Whether these are all that may hold a lease.
        all_claimed: bool,
        /// Milliseconds since the election.
        waited_ms: u64,
        /// How many functions are leased.
        functions: usize,
    },
    /// A function lease that is rejected, released or fenced.
    Lease {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The holder, or who claims to be it.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// The lease's fencing token.
        #[serde(rename = "grant", serialize_with = "json_form::number")]
        fencing_token: FencingToken,
    },
    /// A function lease that is issued.
    LeaseGranted {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The holder.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// The lease's fencing token.
        #[serde(rename = "grant", serialize_with = "json_form::number")]
        fencing_token: FencingToken,
        /// Milliseconds that requests which may run only once have to wait.
        once_wait_ms: u64,
        /// How many orphaned runners go with the lease.
        adopted: usize,
    },
    /// What concerns one function.
    Function {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
    },
    /// What concerns one runner of a known function.
    Runner {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The runner.
        #[serde(serialize_with = "json_form::text")]
        runner: RunnerId,
        /// Its worker.
        #[serde(serialize_with = "json_form::text")]
        worker: WorkerName,
    },
    /// A runner that the platform lists and no holder claimed.
    FoundRunner {
        /// The runner.
        #[serde(serialize_with = "json_form::text")]
        runner: RunnerId,
        /// The platform's name of it.
        #[serde(rename = "life", serialize_with = "json_form::text")]
        instance: InstanceId,
        /// Its worker.
        #[serde(serialize_with = "json_form::text")]
        worker: WorkerName,
    },
    /// A runner that makes room for a function without one.
    ReclaimedRunner {
        /// The function whose runner it is.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The runner.
        #[serde(serialize_with = "json_form::text")]
        runner: RunnerId,
        /// The function that has none.
        #[serde(rename = "for", serialize_with = "json_form::text")]
        requester: FunctionKey,
    },
    /// The memory of a runner that fits on no worker.
    MissingMemory {
        /// The runner's function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The memory in MiB.
        memory_mb: u32,
    },
    /// The memory that is reserved, and that of the usable workers.
    Capacity {
        /// What is reserved, in MiB.
        needed_mb: u64,
        /// What the usable workers have, in MiB.
        #[serde(rename = "left_mb")]
        remaining_mb: u64,
    },
    /// What concerns one worker.
    Worker {
        /// The worker.
        #[serde(serialize_with = "json_form::text")]
        worker: WorkerName,
    },
    /// What concerns one version of the configuration.
    Version {
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
    },
    /// A version whose routing table could not be built.
    InstallFailure {
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
        /// Why.
        #[serde(rename = "fault")]
        error: String,
    },
    /// Requests that a member rejected.
    Rejections {
        /// Their function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The member.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// How many they are.
        count: u32,
        /// Why.
        #[serde(serialize_with = "json_form::text")]
        reason: RequestFailureReason,
    },
}

impl EventDetail {
    /// The fields as operators read them, the keys in alphabetical order.
    pub fn to_json(&self) -> Value {
        json!(self)
    }
}

/// The JSON text that operators read.
impl fmt::Display for EventDetail {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.to_json())
    }
}
