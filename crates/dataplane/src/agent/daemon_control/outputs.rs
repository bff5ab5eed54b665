//! Outputs of a daemon's control plane client, to be carried out by its drivers.

use super::HeldFunction;
use crate::holder::HolderOutput;
use common::events::Event;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, SocketAddress};
use common::identity::{FunctionKey, Version};
use std::sync::Arc;
use std::time::Duration;

/// An action for the drivers, or an event reported to them. The agent's state is already updated.
pub enum DaemonControlOutput<W> {
    /// Open a stream to this address.
    Dial(SocketAddress),
    /// Close the stream.
    Hangup,
    /// Send a frame on the stream, if it is open.
    SendFrame(DaemonToLeader),
    /// Send a heartbeat to these addresses.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// Carry out a holder's outputs.
    Holder(Arc<HeldFunction<W>>, Vec<HolderOutput>),
    /// An acquisition has completed: notify its waiters.
    Acquired {
        /// The function.
        function: FunctionKey,
        /// The leader's response; `None` if the acquisition has to be retried.
        result: Option<AcquireResult>,
        /// Time from the request to the response.
        round_trip: Duration,
    },
    /// The stream is lost: notify the waiters of all acquisitions.
    AcquisitionsLost,
    /// State that requests may be waiting for has changed.
    Changed,
    /// Write an event to the log.
    LogEvent(Event, String),
    /// The spec of this version is installed.
    Installed(Version),
    /// The session lease has ended.
    LeaseEnded,
}
