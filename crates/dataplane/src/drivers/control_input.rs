//! The inputs of the control task. They are a module of their own so that the shared state can hold their sender
//! without knowing the control task.

use crate::holder::HolderMessage;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, LeaderToDaemon, SocketAddress};
use common::identity::{FencingToken, FunctionKey};
use tokio::sync::{mpsc, oneshot};

/// An input of the control task. Streams to the leader are numbered; inputs of an earlier stream are ignored.
pub(crate) enum ControlInput {
    /// The dialed stream is open; frames are sent by this sender.
    Connected(u64, mpsc::Sender<DaemonToLeader>),
    /// The stream failed or ended.
    Disconnected(u64),
    /// A frame of the leader was received.
    Received(u64, LeaderToDaemon),
    /// A part of a frame was received; the rest is under way.
    Receiving(u64),
    /// A heartbeat was received.
    HeartbeatDatagram(Heartbeat),
    /// A request needs an owner for a function; the result goes to this sender.
    Acquire(FunctionKey, oneshot::Sender<AcquireResult>),
    /// A holder has a message for the leader.
    HolderMessage(FunctionKey, FencingToken, HolderMessage),
    /// The set of functions that want an owner may have changed.
    DesiredFunctionsChanged,
    /// The seeds have changed.
    Seeds(Vec<SocketAddress>),
    /// The daemon begins to shut down.
    BeginShutdown,
    /// The daemon has nothing left to finish.
    ShutdownFinished,
}
