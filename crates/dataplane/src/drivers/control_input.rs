//! The inputs of the control task. They are a module of their own so that the shared state can hold their sender
//! without knowing the control task.

use crate::holder::HolderMessage;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, LeaderToDaemon, SocketAddress};
use common::identity::{FencingToken, FunctionKey};
use tokio::sync::{mpsc, oneshot};

/// An input of the control task.
pub(crate) enum ControlInput {
    /// An event of a stream to the leader. Streams are numbered; events of an earlier one are ignored.
    Stream {
        /// The number of the stream.
        stream_id: u64,
        /// What happened on it.
        event: StreamEvent,
    },
    /// A heartbeat was received.
    HeartbeatDatagram(Heartbeat),
    /// A request needs an owner for a function; the result goes to this sender.
    Acquire(FunctionKey, oneshot::Sender<AcquireResult>),
    /// A holder has a message for the leader.
    HolderMessage {
        /// The held function.
        function: FunctionKey,
        /// The fencing token of the lease under which it is held.
        fencing_token: FencingToken,
        /// The message.
        message: HolderMessage,
    },
    /// The set of functions that want an owner may have changed.
    DesiredFunctionsChanged,
    /// The seeds have changed.
    Seeds(Vec<SocketAddress>),
    /// The daemon begins to shut down.
    BeginShutdown,
    /// The daemon has nothing left to finish.
    ShutdownFinished,
}

/// An event of a stream to the leader.
pub(crate) enum StreamEvent {
    /// The dialed stream is open; frames are sent by this sender.
    Connected(mpsc::Sender<DaemonToLeader>),
    /// The stream failed or ended.
    Disconnected,
    /// A frame of the leader was received.
    Received(LeaderToDaemon),
    /// A part of a frame was received; the rest is under way.
    Receiving,
}
