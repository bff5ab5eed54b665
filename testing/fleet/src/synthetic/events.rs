//! What happens in a synthetic fleet at a moment of virtual time.

use bytes::Bytes;
use common::frames::{Heartbeat, Life};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Ticket, TransactionId};
use controlplane::controller_state::{Operation, OperationTicket};
use dataplane::agent::{PassEnd, RunnerCall, Topic};
use dataplane::holder::{HolderMessage, SendEnd};
use std::rc::Rc;

/// A heartbeat on its way, with its bytes.
pub(super) struct Beat {
    pub heartbeat: Heartbeat,
    pub datagram: Bytes,
}

/// A held function at its daemon.
#[derive(Clone)]
pub(super) struct Spot {
    pub daemon: usize,
    pub function: FunctionKey,
    pub grant: GrantSerial,
}

/// Where an outcome goes back to.
#[derive(Clone, Copy)]
pub(super) enum Back {
    Caller,
    Hop { daemon: usize, number: u64 },
}

/// What happens at a moment.
pub(super) enum Event {
    Begin(usize),
    TickDaemon(usize),
    TickController(usize),
    Poll(usize),
    Core(usize, Bytes),
    Written(usize, Ticket),
    Dialed(usize),
    Up(usize, Bytes),
    Down(usize, Bytes),
    LinkLost { link: usize, at_controller: bool },
    Beat(usize, Rc<Beat>),
    Look { daemon: usize, number: u64, wake: u64 },
    AcquireTimedOut(usize, u64),
    Hop { daemon: usize, back: Back, frame: Bytes },
    HopDone { daemon: usize, number: u64, frame: Bytes },
    Passed(usize, u64, PassEnd),
    Word(Spot, HolderMessage),
    Started(Spot, RunnerId, Life),
    Stopped(Spot, RunnerId),
    LeaderStopped(usize, RunnerId),
    Probed(Spot, RunnerId, bool),
    Settled(Spot, RunnerId, Option<Vec<TransactionId>>),
    RunDone { spot: Spot, ticket: Ticket, runner: RunnerId, call: Box<RunnerCall> },
    SendEnded(Spot, Ticket, SendEnd),
    StewardAsked { steward: usize, spot: Spot, number: u64, topic: Topic, frame: Bytes },
    StewardSaid { spot: Spot, number: u64, topic: Topic, frame: Option<Bytes> },
    Operate(usize, OperationTicket, Box<Operation>),
    Fill,
    Call,
    Change,
    OpenMeter,
}
