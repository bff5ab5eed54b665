//! The inputs and outputs of a controller.

use super::{NumberedEvent, Operation, OperationReply, OperationTicket};
use crate::consensus::{WriteJob, WriteResult};
use crate::leader_state::StreamId;
use common::adapter::{ListedRunner, ListedWorker, StopOrder};
use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, DaemonToLeader, LeaderToDaemon, SocketAddress};
use common::identity::{RunnerId, Ticket};

/// An input of the controller.
#[derive(Debug)]
pub enum ControllerInput {
    /// A timer expired.
    Tick,
    /// A frame from another controller.
    Consensus(ConsensusFrame),
    /// A disk write has completed.
    WriteCompleted(Ticket, WriteResult),
    /// A frame from a daemon.
    DaemonFrame(StreamId, DaemonToLeader),
    /// The stream of a daemon has been closed.
    StreamLost(StreamId),
    /// The workers that the platform lists.
    Workers(Vec<ListedWorker>),
    /// The runners that the platform listed at this time.
    Runners(MonotonicTime, Vec<ListedRunner>),
    /// The platform confirmed that a runner has stopped.
    RunnerStopped(RunnerId),
    /// A request from an operator.
    OperatorRequest(OperationTicket, Operation),
    /// The caller of this operation has disconnected, so its reply is no longer needed.
    CallerDisconnected(OperationTicket),
    /// The controller process at this address has exited: connections to it are refused.
    ProcessExited(SocketAddress),
    /// The new seed addresses.
    Seeds(Vec<SocketAddress>),
    /// The process is about to exit.
    Stop,
}

/// An output of the controller, to be carried out by its driver.
#[derive(Debug)]
pub enum ControllerOutput {
    /// Send a frame to another controller.
    Send(SocketAddress, ConsensusFrame),
    /// Carry out a disk write.
    Write(Ticket, WriteJob),
    /// Send a frame on a daemon's stream.
    FrameToDaemon(StreamId, LeaderToDaemon),
    /// Close a daemon's stream.
    CloseStream(StreamId),
    /// Request the platform's lists immediately.
    RequestLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Reply to an operator.
    OperatorReply(OperationTicket, OperationReply),
    /// Publish an event that was recorded.
    EventRecorded(NumberedEvent),
}
