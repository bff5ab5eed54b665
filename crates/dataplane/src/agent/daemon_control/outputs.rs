//! What the control side of a daemon has its drivers do.

use super::HeldFunction;
use crate::holder::HolderOutput;
use common::events::Event;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, SocketAddress};
use common::identity::{FunctionKey, Version};
use std::sync::Arc;
use std::time::Duration;

/// An action for the drivers, or an event for them. The agent's state is changed already.
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
    /// An acquisition has ended: notify who waits for it.
    Acquired {
        /// The function.
        function: FunctionKey,
        /// The leader's response; none if the acquisition has to be retried.
        result: Option<AcquireResult>,
        /// Time from the request to the response.
        round_trip: Duration,
    },
    /// The stream is lost: notify all who wait for an acquisition.
    AcquiresLost,
    /// Some state has changed that a request may wait for.
    Changed,
    /// Write an event to the log.
    LogEvent(Event, String),
    /// The spec of this version is in use.
    Installed(Version),
    /// The session lease has ended.
    LeaseEnded,
}
