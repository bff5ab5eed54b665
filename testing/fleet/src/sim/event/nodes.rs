//! Events at controllers and daemons, and on the links between them.

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
    /// A controller's periodic poll of the platform is due.
    Poll(Node, u64),
    /// A frame from another controller arrives.
    ConsensusFrame(Node, ConsensusFrame),
    /// A controller notices that the process at another controller's address has exited.
    ControllerExited(Node, SocketAddress),
    /// A write by this incarnation becomes durable, even while the machine is frozen.
    Durable(Node, u64, WriteJob),
    /// The result of a write is returned to this incarnation.
    Written(Node, u64, Ticket, WriteResult),
    /// The platform's lists of workers and runners arrive, with the time of their snapshot on the controller's clock.
    Lists(
        Node,
        u64,
        Vec<ListedWorker>,
        MonotonicTime,
        Vec<ListedRunner>,
    ),
    /// An operator's request arrives at a controller.
    OperatorRequest(Node, OperationTicket, Operation),
    /// An operator closes its connection.
    OperatorDisconnected(Node, OperationTicket),
    /// The platform confirms to a leader that a runner is stopped.
    RunnerStopped(Requester, RunnerId),
}

impl ControllerEvent {
    /// Whether the event arrives on an operator's connection.
    pub(super) fn is_from_operator(&self) -> bool {
        matches!(
            self,
            Self::OperatorRequest(..) | Self::OperatorDisconnected(..)
        )
    }

    /// Returns the process that handles the event; none for the disk, which works even while the machine is frozen.
    pub(super) fn target(&self) -> Option<EventTarget> {
        match self {
            Self::Poll(node, incarnation)
            | Self::Written(node, incarnation, ..)
            | Self::Lists(node, incarnation, ..) => Some((*node, Some(*incarnation))),
            Self::RunnerStopped(requester, _) => Some(requester.target()),
            Self::ConsensusFrame(node, _)
            | Self::ControllerExited(node, _)
            | Self::OperatorRequest(node, ..)
            | Self::OperatorDisconnected(node, _) => Some((*node, None)),
            Self::Durable(..) => None,
        }
    }

    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Poll(..) => 2,
            Self::ConsensusFrame(..) => 3,
            Self::ControllerExited(..) => 4,
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
    /// A daemon is notified that the link that it dialed is open.
    Dialed(u64),
    /// A frame arrives at the controller.
    FrameToController(u64, DaemonToLeader),
    /// A frame arrives at the daemon.
    FrameToDaemon(u64, LeaderToDaemon),
    /// One end notices that the link is lost.
    LinkLost(u64, Node),
}

impl LinkEvent {
    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Dialed(..) => 8,
            Self::FrameToController(..) => 9,
            Self::FrameToDaemon(..) => 10,
            Self::LinkLost(..) => 11,
        }
    }
}

/// An event at a daemon.
pub(in crate::sim) enum DaemonEvent {
    /// A heartbeat from another daemon arrives.
    HeartbeatDatagram(Node, Heartbeat),
    /// A waiting request repeats the lookup of its lease holder: the number of the request, and of its lookup timer.
    Lookup(Node, u64, u64, u64),
    /// A request's wait for the leader's reply to an acquire times out.
    AcquireTimedOut(Node, u64, u64),
    /// A forwarded request, or a notice about one, arrives from another daemon.
    PeerMessage(Node, u64, ReplyTarget, DaemonMessage),
    /// The result of a forwarded request is known: the request's number, the result, and the hint about the regional
    /// key in tenths of a second.
    ForwardEnded(Node, u64, u64, ForwardResult, u8),
    /// A lease holder passes a message for the leader to its daemon.
    FromHolder(Node, u64, FunctionKey, FencingToken, HolderMessage),
    /// The process of a daemon that was stopped gracefully exits.
    ProcessExited(Node, u64),
    /// A lease holder's request arrives at a replica of its ledger.
    ReplicaRequested(Node, ReplicaExchange, DaemonMessage),
    /// A replica's reply arrives, or the request times out.
    ReplicaReplied(ReplicaExchange, Option<DaemonMessage>),
}

impl DaemonEvent {
    /// Returns the process that handles the event.
    pub(super) fn target(&self) -> EventTarget {
        match self {
            Self::Lookup(node, incarnation, ..)
            | Self::AcquireTimedOut(node, incarnation, _)
            | Self::PeerMessage(node, incarnation, ..)
            | Self::FromHolder(node, incarnation, ..)
            | Self::ProcessExited(node, incarnation)
            | Self::ForwardEnded(node, incarnation, ..) => (*node, Some(*incarnation)),
            Self::ReplicaReplied(exchange, _) => exchange.requester.target(),
            Self::HeartbeatDatagram(node, _) | Self::ReplicaRequested(node, ..) => (*node, None),
        }
    }

    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::HeartbeatDatagram(..) => 12,
            Self::Lookup(..) => 13,
            Self::AcquireTimedOut(..) => 14,
            Self::PeerMessage(..) => 15,
            Self::ForwardEnded(..) => 16,
            Self::FromHolder(..) => 17,
            Self::ProcessExited(..) => 18,
            Self::ReplicaRequested(..) => 30,
            Self::ReplicaReplied(..) => 31,
        }
    }
}

/// A reply of the platform or of a runner to a lease holder.
pub(in crate::sim) enum HolderEvent {
    /// The platform's reply to a request to start a runner arrives.
    Started(Requester, FunctionKey, RunnerId, StartOutcome),
    /// The platform confirms that a runner is stopped.
    Stopped(Requester, FunctionKey, RunnerId),
    /// A readiness probe ends: whether the runner is ready.
    Probed(Requester, FunctionKey, RunnerId, bool),
    /// A runner's list of the requests that it still runs arrives; none if it does not respond.
    RunningListed(
        Requester,
        FunctionKey,
        RunnerId,
        Option<Vec<IdempotencyKey>>,
    ),
    /// The result of a request that was sent to a runner is known.
    SendEnded(Requester, FunctionKey, Ticket, FencingToken, SendResult),
}

impl HolderEvent {
    /// Returns the process that handles the event.
    pub(super) fn target(&self) -> EventTarget {
        match self {
            Self::Started(requester, ..)
            | Self::Stopped(requester, ..)
            | Self::Probed(requester, ..)
            | Self::RunningListed(requester, ..)
            | Self::SendEnded(requester, ..) => requester.target(),
        }
    }

    /// Returns the number of the event's kind for the digest.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Started(..) => 20,
            Self::Stopped(..) => 22,
            Self::Probed(..) => 25,
            Self::RunningListed(..) => 26,
            Self::SendEnded(..) => 29,
        }
    }
}
