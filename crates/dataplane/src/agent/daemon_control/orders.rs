//! What the control side of a daemon orders from its drivers.

use super::Held;
use crate::holder::HolderOutput;
use common::events::Event;
use common::frames::{AcquireResult, Heartbeat, Place, StreamUp};
use common::identity::{FunctionKey, Serial};
use std::sync::Arc;
use std::time::Duration;

/// What the controller orders; the agent is changed already.
pub enum DaemonOrder<W> {
    /// Open a stream there.
    Dial(Place),
    /// End the stream.
    Hangup,
    /// Say something on the stream, if it is open.
    Say(StreamUp),
    /// Send a heartbeat to these places.
    Beat(Heartbeat, Vec<Place>),
    /// Do what a holder orders.
    Holder(Arc<Held<W>>, Vec<HolderOutput>),
    /// Tell those who wait for an acquisition; none when it must be tried again.
    Acquired(FunctionKey, Option<AcquireResult>, Duration),
    /// Tell those who wait for acquisitions that the stream is lost.
    AcquiresLost,
    /// Something changed that a transaction may wait for.
    Changed,
    /// Write an event to the log.
    Tell(Event, String),
    /// A spec is in use.
    Installed(Serial),
    /// The member grant has ended.
    GrantEnded,
}
