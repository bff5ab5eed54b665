//! The events at controllers and daemons, and on the links between them.

use super::EventTarget;
use crate::sim::daemon::{ReplicaExchange, ReplyTarget};
use crate::sim::network::{Node, Requester};
use common::adapter::{ListedRunner, ListedWorker, StartOutcome};
use common::clock::MonotonicTime;
use common::frames::{
    ConsensusFrame, DaemonMessage, DaemonToLeader, Heartbeat, LeaderToDaemon, SocketAddress,
};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, RunnerId, Ticket};
use controlplane::consensus::{WriteJob, WriteResult};
use controlplane::controller_state::{Operation, OperationTicket};
use dataplane::agent::ForwardResult;
use dataplane::holder::{HolderMessage, SendResult};

/// An event at a controller.
pub(in crate::sim) enum ControllerEvent {
    /// A controller looks after the platform.
    Poll(Node, u64),
    /// A frame of another controller arrives.
    ConsensusFrame(Node, ConsensusFrame),
    /// Another controller's address turns out to be closed.
    ControllerGone(Node, SocketAddress),
    /// A write of this incarnation reaches the disk, also while the machine is frozen.
    Durable(Node, u64, WriteJob),
    /// A write ends, in this incarnation.
    Written(Node, u64, Ticket, WriteResult),
    /// The lists of workers and runners arrive, with the time of their content.
    Lists(
        Node,
        u64,
        Vec<ListedWorker>,
        MonotonicTime,
        Vec<ListedRunner>,
    ),
    /// An operator's request arrives.
    OperatorRequest(Node, OperationTicket, Operation),
    /// An operator closes its connection.
    OperatorDisconnected(Node, OperationTicket),
    /// The platform confirms to a leader that a runner is stopped.
    RunnerStopped(Requester, RunnerId),
}

impl ControllerEvent {
    /// Whether it arrives on an operator's connection.
    pub(super) fn is_from_operator(&self) -> bool {
        matches!(
            self,
            Self::OperatorRequest(..) | Self::OperatorDisconnected(..)
        )
    }

    /// The node whose process handles it, and the required incarnation if that matters; none for the disk.
    pub(super) fn target(&self) -> Option<EventTarget> {
        match self {
            Self::Poll(node, incarnation)
            | Self::Written(node, incarnation, ..)
            | Self::Lists(node, incarnation, ..) => Some((*node, Some(*incarnation))),
            Self::RunnerStopped(requester, _) => Some(requester.target()),
            Self::ConsensusFrame(node, _)
            | Self::ControllerGone(node, _)
            | Self::OperatorRequest(node, ..)
            | Self::OperatorDisconnected(node, _) => Some((*node, None)),
            Self::Durable(..) => None,
        }
    }

    /// The number of its kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Poll(..) => 2,
            Self::ConsensusFrame(..) => 3,
            Self::ControllerGone(..) => 4,
            Self::Durable(..) => 5,
            Self::Written(..) => 6,
            Self::Lists(..) => 7,
            Self::OperatorRequest(..) => 32,
            Self::OperatorDisconnected(..) => 33,
            Self::RunnerStopped(..) => 24,
        }
    }
}

/// An event on the link with the given number.
pub(in crate::sim) enum LinkEvent {
    /// A daemon learns that its link is open.
    Dialed(u64),
    /// A frame arrives at the controller.
    LinkUp(u64, DaemonToLeader),
    /// A frame arrives at the daemon.
    LinkDown(u64, LeaderToDaemon),
    /// An end notices that the link is lost.
    LinkLost(u64, Node),
}

impl LinkEvent {
    /// The number of its kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Dialed(..) => 8,
            Self::LinkUp(..) => 9,
            Self::LinkDown(..) => 10,
            Self::LinkLost(..) => 11,
        }
    }
}

/// An event at a daemon.
pub(in crate::sim) enum DaemonEvent {
    /// A heartbeat arrives.
    HeartbeatDatagram(Node, Heartbeat),
    /// A waiting request looks for a holder again: its number and the number of its wait.
    Lookup(Node, u64, u64, u64),
    /// A request's wait for the leader's reply ends.
    AcquireTimedOut(Node, u64, u64),
    /// A request arrives from another daemon.
    Hop(Node, u64, ReplyTarget, DaemonMessage),
    /// A forwarded request ends: its number, the result, and the hint about regional keys in tenths.
    Forwarded(Node, u64, u64, ForwardResult, u8),
    /// A lease holder reports to the leader.
    FromHolder(Node, u64, FunctionKey, FencingToken, HolderMessage),
    /// A process that stopped gracefully ends.
    ProcessGone(Node, u64),
    /// A lease holder's request arrives at a replica.
    ReplicaRequested(Node, ReplicaExchange, DaemonMessage),
    /// The reply of a replica arrives, or the wait for it ends.
    ReplicaReplied(ReplicaExchange, Option<DaemonMessage>),
}

impl DaemonEvent {
    /// The node whose process handles it, and the required incarnation if that matters.
    pub(super) fn target(&self) -> EventTarget {
        match self {
            Self::Lookup(node, incarnation, ..)
            | Self::AcquireTimedOut(node, incarnation, _)
            | Self::Hop(node, incarnation, ..)
            | Self::FromHolder(node, incarnation, ..)
            | Self::ProcessGone(node, incarnation)
            | Self::Forwarded(node, incarnation, ..) => (*node, Some(*incarnation)),
            Self::ReplicaReplied(exchange, _) => exchange.requester.target(),
            Self::HeartbeatDatagram(node, _) | Self::ReplicaRequested(node, ..) => (*node, None),
        }
    }

    /// The number of its kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::HeartbeatDatagram(..) => 12,
            Self::Lookup(..) => 13,
            Self::AcquireTimedOut(..) => 14,
            Self::Hop(..) => 15,
            Self::Forwarded(..) => 16,
            Self::FromHolder(..) => 17,
            Self::ProcessGone(..) => 18,
            Self::ReplicaRequested(..) => 30,
            Self::ReplicaReplied(..) => 31,
        }
    }
}

/// A reply of the platform or of a runner to a lease holder.
pub(in crate::sim) enum HolderEvent {
    /// The platform answers a start.
    Started(Requester, FunctionKey, RunnerId, StartOutcome),
    /// The platform confirms a stop.
    Stopped(Requester, FunctionKey, RunnerId),
    /// A probe ends: whether the runner is ready.
    Probed(Requester, FunctionKey, RunnerId, bool),
    /// A runner lists the requests that it still runs, if it answers.
    Settled(
        Requester,
        FunctionKey,
        RunnerId,
        Option<Vec<IdempotencyKey>>,
    ),
    /// A request to a runner ends.
    SendEnded(Requester, FunctionKey, Ticket, FencingToken, SendResult),
}

impl HolderEvent {
    /// The node whose process handles it, and the required incarnation if that matters.
    pub(super) fn target(&self) -> EventTarget {
        match self {
            Self::Started(requester, ..)
            | Self::Stopped(requester, ..)
            | Self::Probed(requester, ..)
            | Self::Settled(requester, ..)
            | Self::SendEnded(requester, ..) => requester.target(),
        }
    }

    /// The number of its kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Started(..) => 20,
            Self::Stopped(..) => 22,
            Self::Probed(..) => 25,
            Self::Settled(..) => 26,
            Self::SendEnded(..) => 29,
        }
    }
}
