//! The inputs of the control task. They are separate from the control task so that the shared state can hold the sender
//! without depending on the task.

use crate::holder::HolderMessage;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, LeaderToDaemon, SocketAddress};
use common::identity::{FencingToken, FunctionKey};
use tokio::sync::{mpsc, oneshot};

/// An input of the control task.
pub(crate) enum ControlInput {
    /// An event of a stream to the leader. Events of any stream but the current one are ignored.
    Stream {
        /// The number of the stream; each dialed stream gets a new one.
        stream_id: u64,
        /// The event.
        event: StreamEvent,
    },
    /// A heartbeat was received.
    HeartbeatDatagram(Heartbeat),
    /// A request needs an owner for a function. The result is sent to the given sender.
    Acquire(FunctionKey, oneshot::Sender<AcquireResult>),
    /// A holder has a message for the leader.
    HolderMessage {
        /// The held function.
        function: FunctionKey,
        /// The fencing token of the function's lease.
        fencing_token: FencingToken,
        /// The message.
        message: HolderMessage,
    },
    /// The set of functions that need an owner may have changed.
    DesiredFunctionsChanged,
    /// The controllers' seed addresses have changed.
    Seeds(Vec<SocketAddress>),
    /// The daemon starts to shut down.
    BeginShutdown,
    /// The daemon has finished its shutdown, or the grace period has ended.
    ShutdownFinished,
}

/// An event of a stream to the leader.
pub(crate) enum StreamEvent {
    /// The dialed stream is open. Frames to the leader go to the given sender.
    Connected(mpsc::Sender<DaemonToLeader>),
    /// The stream failed or ended.
    Disconnected,
    /// A complete frame was received from the leader.
    Received(LeaderToDaemon),
    /// Part of a frame was received; the rest has not arrived yet.
    ReceivedPart,
}
