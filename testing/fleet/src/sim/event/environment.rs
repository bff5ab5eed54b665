//! Events outside the fleet's processes: at the platform, operators and callers, and faults.

use crate::sim::network::{Node, Requester};
use crate::sim::runners::SimRun;
use crate::sim::script::Action;
use common::adapter::{ListedWorker, StopOrder};
use common::frames::SocketAddress;
use common::identity::{FunctionKey, IdempotencyKey, InstanceId, RunnerId, WorkerName, Zone};
use common::spec::FunctionSpec;
use controlplane::controller_state::{OperationReply, OperationTicket};

/// An event at the platform or at a runner.
pub(in crate::sim) enum PlatformEvent {
    /// A request to start a runner arrives.
    Start(Requester, FunctionKey, RunnerId, WorkerName, FunctionSpec),
    /// A request to stop a runner arrives.
    Stop(Requester, FunctionKey, RunnerId, Option<InstanceId>),
    /// A leader's request to stop a runner arrives.
    StopForLeader(Requester, StopOrder),
    /// A request arrives at the address of a runner.
    Run(SocketAddress, SimRun),
    /// A run ends; the last field is the code of the fault that its answer is subject to.
    RunFinished(RunnerId, SimRun, u8),
    /// The platform takes a snapshot of its lists.
    ListTick,
    /// The draining of all workers ends.
    EndWorkerDrains,
    /// A runner that announced that it is leaving stops.
    StopLeavingRunner(RunnerId),
    /// The workers of a lost zone are restored.
    RestoreWorkers(Vec<ListedWorker>),
}

impl PlatformEvent {
    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Start(..) => 19,
            Self::Stop(..) => 21,
            Self::StopForLeader(..) => 23,
            Self::Run(..) => 27,
            Self::RunFinished(..) => 28,
            Self::ListTick => 38,
            Self::EndWorkerDrains => 49,
            Self::StopLeavingRunner(..) => 50,
            Self::RestoreWorkers(..) => 51,
        }
    }
}

/// An event at an operator.
pub(in crate::sim) enum OperatorEvent {
    /// An operator's wait for a reply times out.
    ClientTimedOut(OperationTicket),
    /// An operator sends the command with this number again.
    Resend(u64),
    /// An operator reads the configuration.
    Read,
    /// A reply arrives at an operator.
    OperatorReply(OperationTicket, OperationReply),
    /// An operator sends a change.
    Change,
    /// An operator restores a zone.
    Restore(Zone),
}

impl OperatorEvent {
    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::ClientTimedOut(..) => 34,
            Self::Resend(..) => 35,
            Self::Read => 36,
            Self::OperatorReply(..) => 37,
            Self::Change => 42,
            Self::Restore(..) => 52,
        }
    }
}

/// An event at a caller.
pub(in crate::sim) enum CallerEvent {
    /// A caller sends a request.
    Call,
    /// A caller sends a request again with the same idempotency key, to the route with this name.
    DuplicateCall(IdempotencyKey, &'static str),
    /// A caller sends a refused request to this route again, with a new idempotency key.
    RetryRefused(String),
}

impl CallerEvent {
    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Call => 39,
            Self::DuplicateCall(..) => 40,
            Self::RetryRefused(..) => 41,
        }
    }
}

/// The start or end of a fault, or an action of the script.
pub(in crate::sim) enum FaultEvent {
    /// A random fault begins.
    RandomFault,
    /// An action of the plan's script is due.
    RunAction(Action),
    /// A machine restarts.
    RestartNode(Node),
    /// All partitions end.
    ClearPartitions,
    /// A frozen machine may resume.
    ResumeNode(Node),
    /// The faults of the platform and the runners end.
    EndPlatformFaults,
    /// All faults are undone.
    Heal,
}

impl FaultEvent {
    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::RandomFault => 43,
            Self::RunAction(..) => 44,
            Self::RestartNode(..) => 45,
            Self::ClearPartitions => 46,
            Self::ResumeNode(..) => 47,
            Self::EndPlatformFaults => 48,
            Self::Heal => 53,
        }
    }
}
