//! Events that a controller records, and their fields. The JSON keys are part of the operator interface and must not
//! change.

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
    /// The kind of the event.
    pub event: Event,
    /// The fields of the event.
    pub detail: EventDetail,
}

/// The fields of an event other than its kind, with one variant for each set of fields. Serializes to a JSON object
/// with the keys that operators read.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(untagged)]
pub enum EventDetail {
    /// An event without fields.
    NoFields {},
    /// An event about one term.
    Term {
        /// The term.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
    },
    /// A controller was elected leader.
    LeaderElected {
        /// Its term.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
        /// The leader.
        #[serde(serialize_with = "json_form::controller_id")]
        controller: ControllerId,
        /// The leader again, under the earlier name of the key.
        #[serde(rename = "surveyor", serialize_with = "json_form::controller_id")]
        controller_legacy_key: ControllerId,
        /// Number of known daemons that may hold a lease of an earlier leader.
        last_known: usize,
        /// Whether no other daemon can hold one.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// A version was committed.
    VersionCommitted {
        /// The term of the leader that committed it.
        #[serde(serialize_with = "json_form::number")]
        term: Term,
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
    },
    /// A change of the control quorum began or was completed.
    QuorumReconfiguring {
        /// Addresses of the new voters.
        #[serde(rename = "core", serialize_with = "json_form::texts")]
        voters: Vec<SocketAddress>,
        /// Whether the change is complete.
        settled: bool,
    },
    /// An event about one member.
    Member {
        /// The member.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
    },
    /// A member opened its stream and got a `Welcome` frame.
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
    /// The claims quorum was reached.
    ClaimsQuorum {
        /// Number of members that were expected to claim.
        last_known: usize,
        /// Number of them that have claimed.
        claimed: usize,
        /// Whether everything that may hold a lease has claimed.
        all_claimed: bool,
        /// Milliseconds since the election.
        waited_ms: u64,
        /// Number of leased functions.
        functions: usize,
    },
    /// A function lease that was released or fenced, or a claim that was rejected.
    Lease {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The holder, or the member that claims to be the holder.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// The lease's fencing token.
        #[serde(rename = "grant", serialize_with = "json_form::number")]
        fencing_token: FencingToken,
    },
    /// A function lease was granted.
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
        /// Milliseconds for which requests that may run only once have to wait.
        once_wait_ms: u64,
        /// Number of orphaned runners adopted with the lease.
        adopted: usize,
    },
    /// An event about one function.
    Function {
        /// The function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
    },
    /// An event about one runner of a known function.
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
    /// The platform lists a runner that no holder claimed.
    FoundRunner {
        /// The runner.
        #[serde(serialize_with = "json_form::text")]
        runner: RunnerId,
        /// The platform's name for it.
        #[serde(rename = "life", serialize_with = "json_form::text")]
        instance: InstanceId,
        /// Its worker.
        #[serde(serialize_with = "json_form::text")]
        worker: WorkerName,
    },
    /// A runner is reclaimed for a function that has none.
    ReclaimedRunner {
        /// The function that gives up the runner.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The runner.
        #[serde(serialize_with = "json_form::text")]
        runner: RunnerId,
        /// The function without a runner.
        #[serde(rename = "for", serialize_with = "json_form::text")]
        requester: FunctionKey,
    },
    /// No worker has enough free memory for a runner.
    MissingMemory {
        /// The runner's function.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The memory that the runner needs, in MiB.
        memory_mb: u32,
    },
    /// The reserved memory and the memory of the usable workers.
    Capacity {
        /// Reserved memory in MiB.
        needed_mb: u64,
        /// Total memory of the usable workers in MiB.
        #[serde(rename = "left_mb")]
        remaining_mb: u64,
    },
    /// An event about one worker.
    Worker {
        /// The worker.
        #[serde(serialize_with = "json_form::text")]
        worker: WorkerName,
    },
    /// An event about one version of the configuration.
    Version {
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
    },
    /// The routing table of a version could not be built.
    InstallFailure {
        /// The version.
        #[serde(rename = "serial", serialize_with = "json_form::number")]
        version: Version,
        /// Why the build failed.
        #[serde(rename = "fault")]
        error: String,
    },
    /// A member rejected requests.
    Rejections {
        /// The function that they called.
        #[serde(serialize_with = "json_form::text")]
        function: FunctionKey,
        /// The member.
        #[serde(serialize_with = "json_form::text")]
        member: MemberName,
        /// Number of rejected requests.
        count: u32,
        /// Why they were rejected.
        #[serde(serialize_with = "json_form::text")]
        reason: RequestFailureReason,
    },
}

impl EventDetail {
    /// Returns the fields as a JSON object with its keys in alphabetical order.
    pub fn to_json(&self) -> Value {
        json!(self)
    }
}

/// Formats the fields as the JSON text that operators read.
impl fmt::Display for EventDetail {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.to_json())
    }
}
