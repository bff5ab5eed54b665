//! What goes into a controller and what comes out of it.

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
    /// Time passes.
    Tick,
    /// Another controller's frame.
    Consensus(ConsensusFrame),
    /// A disk write has completed.
    WriteCompleted(Ticket, WriteResult),
    /// A daemon's frame.
    DaemonFrame(StreamId, DaemonToLeader),
    /// A daemon's stream has ended.
    StreamLost(StreamId),
    /// The platform's workers.
    Workers(Vec<ListedWorker>),
    /// The platform's runners as of an instant.
    Runners(MonotonicTime, Vec<ListedRunner>),
    /// The platform confirmed that a runner has stopped.
    RunnerStopped(RunnerId),
    /// An operator's request.
    OperatorRequest(OperationTicket, Operation),
    /// The connection of the operation's caller has ended; nobody reads its reply any more.
    CallerDisconnected(OperationTicket),
    /// Connections to this address are refused: the process there has ended.
    ProcessExited(SocketAddress),
    /// The seed addresses have changed.
    Seeds(Vec<SocketAddress>),
    /// The process is about to end.
    Stop,
}

/// An output of the controller, to be carried out by its driver.
#[derive(Debug)]
pub enum ControllerOutput {
    /// Send a frame to another controller.
    Send(SocketAddress, ConsensusFrame),
    /// Write to disk.
    Write(Ticket, WriteJob),
    /// Send a frame on a daemon's stream.
    FrameToDaemon(StreamId, LeaderToDaemon),
    /// End a daemon's stream.
    CloseStream(StreamId),
    /// Read the platform's lists at once.
    RequestLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Reply to an operator.
    OperatorReply(OperationTicket, OperationReply),
    /// An event was recorded.
    EventRecorded(NumberedEvent),
}
