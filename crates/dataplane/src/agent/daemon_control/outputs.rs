//! What the control side of a daemon orders from its drivers.

use super::HeldFunction;
use crate::holder::HolderOutput;
use common::events::Event;
use common::frames::{AcquireResult, DaemonToLeader, Heartbeat, SocketAddress};
use common::identity::{FunctionKey, Version};
use std::sync::Arc;
use std::time::Duration;

/// What the controller orders; the agent is changed already.
pub enum DaemonControlOutput<W> {
    /// Open a stream there.
    Dial(SocketAddress),
    /// End the stream.
    Hangup,
    /// Say something on the stream, if it is open.
    SendFrame(DaemonToLeader),
    /// Send a heartbeat to these places.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// Do what a holder orders.
    Holder(Arc<HeldFunction<W>>, Vec<HolderOutput>),
    /// Tell those who wait for an acquisition; none when it must be tried again.
    Acquired(FunctionKey, Option<AcquireResult>, Duration),
    /// Tell those who wait for acquisitions that the stream is lost.
    AcquiresLost,
    /// Something changed that a transaction may wait for.
    Changed,
    /// Write an event to the log.
    LogEvent(Event, String),
    /// A spec is in use.
    Installed(Version),
    /// The member grant has ended.
    LeaseEnded,
}
