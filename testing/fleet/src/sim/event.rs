//! The events of a simulated fleet.

use super::daemon::{ReplicaExchange, ReplyTarget};
use super::network::{Node, Requester};
use super::runners::SimRun;
use super::script::Action;
use common::adapter::{ListedRunner, ListedWorker, StartOutcome, StopOrder};
use common::clock::MonotonicTime;
use common::frames::{
    ConsensusFrame, DaemonMessage, DaemonToLeader, Heartbeat, LeaderToDaemon, SocketAddress,
};
use common::identity::{
    FencingToken, FunctionKey, IdempotencyKey, InstanceId, RunnerId, Ticket, WorkerName, Zone,
};
use common::spec::FunctionSpec;
use controlplane::consensus::{WriteJob, WriteResult};
use controlplane::controller_state::{Operation, OperationReply, OperationTicket};
use dataplane::agent::ForwardResult;
use dataplane::holder::{HolderMessage, SendResult};

pub(super) enum Event {
    Tick(Node, u64),
    Poll(Node, u64),
    ConsensusFrame(Node, ConsensusFrame),
    ControllerGone(Node, SocketAddress),
    Durable(Node, u64, WriteJob),
    Written(Node, u64, Ticket, WriteResult),
    Lists(
        Node,
        u64,
        Vec<ListedWorker>,
        MonotonicTime,
        Vec<ListedRunner>,
    ),
    Dialed(u64),
    LinkUp(u64, DaemonToLeader),
    LinkDown(u64, LeaderToDaemon),
    LinkLost(u64, Node),
    HeartbeatDatagram(Node, Heartbeat),
    Lookup(Node, u64, u64, u64),
    AcquireTimedOut(Node, u64, u64),
    Hop(Node, u64, ReplyTarget, DaemonMessage),
    Forwarded(Node, u64, u64, ForwardResult, u8),
    FromHolder(Node, u64, FunctionKey, FencingToken, HolderMessage),
    ProcessGone(Node, u64),
    Start(Requester, FunctionKey, RunnerId, WorkerName, FunctionSpec),
    Started(Requester, FunctionKey, RunnerId, StartOutcome),
    Stop(Requester, FunctionKey, RunnerId, Option<InstanceId>),
    Stopped(Requester, FunctionKey, RunnerId),
    LeaderStop(Requester, StopOrder),
    LeaderStopped(Requester, RunnerId),
    Probed(Requester, FunctionKey, RunnerId, bool),
    Settled(
        Requester,
        FunctionKey,
        RunnerId,
        Option<Vec<IdempotencyKey>>,
    ),
    Run(SocketAddress, SimRun),
    RunDone(RunnerId, SimRun, u8),
    SendEnded(Requester, FunctionKey, Ticket, FencingToken, SendResult),
    ReplicaRequested(Node, ReplicaExchange, DaemonMessage),
    ReplicaReplied(ReplicaExchange, Option<DaemonMessage>),
    Operate(Node, OperationTicket, Operation),
    Withdraw(Node, OperationTicket),
    ClientTimedOut(OperationTicket),
    Resend(u64),
    ReadBack,
    OperatorReply(OperationTicket, OperationReply),
    ListTick,
    Call,
    DuplicateCall(IdempotencyKey, &'static str),
    Repeat(String),
    Change,
    Fault,
    RunAction(Action),
    RestartNode(Node),
    ClearPartitions,
    ResumeNode(Node),
    EndPlatformFaults,
    RestoreWorkers,
    StopLeavingRunner(RunnerId),
    WorkersReturn(Vec<ListedWorker>),
    Restore(Zone),
    Heal,
}

impl Event {
    /// Whether it arrives on an operator's connection.
    pub(super) fn is_from_operator(&self) -> bool {
        matches!(self, Self::Operate(..) | Self::Withdraw(..))
    }

    /// The number of its kind for the digest; it must not change when the kind is renamed.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Tick(..) => 1,
            Self::Poll(..) => 2,
            Self::ConsensusFrame(..) => 3,
            Self::ControllerGone(..) => 4,
            Self::Durable(..) => 5,
            Self::Written(..) => 6,
            Self::Lists(..) => 7,
            Self::Dialed(..) => 8,
            Self::LinkUp(..) => 9,
            Self::LinkDown(..) => 10,
            Self::LinkLost(..) => 11,
            Self::HeartbeatDatagram(..) => 12,
            Self::Lookup(..) => 13,
            Self::AcquireTimedOut(..) => 14,
            Self::Hop(..) => 15,
            Self::Forwarded(..) => 16,
            Self::FromHolder(..) => 17,
            Self::ProcessGone(..) => 18,
            Self::Start(..) => 19,
            Self::Started(..) => 20,
            Self::Stop(..) => 21,
            Self::Stopped(..) => 22,
            Self::LeaderStop(..) => 23,
            Self::LeaderStopped(..) => 24,
            Self::Probed(..) => 25,
            Self::Settled(..) => 26,
            Self::Run(..) => 27,
            Self::RunDone(..) => 28,
            Self::SendEnded(..) => 29,
            Self::ReplicaRequested(..) => 30,
            Self::ReplicaReplied(..) => 31,
            Self::Operate(..) => 32,
            Self::Withdraw(..) => 33,
            Self::ClientTimedOut(..) => 34,
            Self::Resend(..) => 35,
            Self::ReadBack => 36,
            Self::OperatorReply(..) => 37,
            Self::ListTick => 38,
            Self::Call => 39,
            Self::DuplicateCall(..) => 40,
            Self::Repeat(..) => 41,
            Self::Change => 42,
            Self::Fault => 43,
            Self::RunAction(..) => 44,
            Self::RestartNode(..) => 45,
            Self::ClearPartitions => 46,
            Self::ResumeNode(..) => 47,
            Self::EndPlatformFaults => 48,
            Self::RestoreWorkers => 49,
            Self::StopLeavingRunner(..) => 50,
            Self::WorkersReturn(..) => 51,
            Self::Restore(..) => 52,
            Self::Heal => 53,
        }
    }

    /// The node whose process handles it, and the required incarnation if that matters. It is deferred while the node is
    /// frozen.
    pub(super) fn target(&self) -> Option<(Node, Option<u64>)> {
        match self {
            Self::Tick(node, instance)
            | Self::Poll(node, instance)
            | Self::Written(node, instance, ..)
            | Self::Lists(node, instance, ..)
            | Self::Lookup(node, instance, ..)
            | Self::AcquireTimedOut(node, instance, _)
            | Self::Hop(node, instance, ..)
            | Self::FromHolder(node, instance, ..)
            | Self::ProcessGone(node, instance)
            | Self::Forwarded(node, instance, ..) => Some((*node, Some(*instance))),
            Self::Started(requester, ..)
            | Self::Stopped(requester, ..)
            | Self::LeaderStopped(requester, _)
            | Self::Probed(requester, ..)
            | Self::Settled(requester, ..)
            | Self::SendEnded(requester, ..) => Some((requester.node, Some(requester.instance))),
            Self::ReplicaReplied(exchange, _) => {
                Some((exchange.requester.node, Some(exchange.requester.instance)))
            }
            Self::ConsensusFrame(node, _)
            | Self::ControllerGone(node, _)
            | Self::HeartbeatDatagram(node, _)
            | Self::ReplicaRequested(node, ..)
            | Self::Operate(node, ..)
            | Self::Withdraw(node, _) => Some((*node, None)),
            _ => None,
        }
    }
}
