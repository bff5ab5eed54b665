use bytes::Bytes;
use std::rc::Rc;
use survey::plane::{Operation, OperationTicket};
use trail::holder::{HolderWord, SendEnd};
use trail::lodge::{PassEnd, RunnerCall, Topic};
use waymark::frames::{Heartbeat, Life};
use waymark::identity::{FunctionKey, GrantSerial, RunnerId, Ticket, TransactionId};

/// A heartbeat on its way, with its bytes.
pub(super) struct Beat {
    pub heartbeat: Heartbeat,
    pub datagram: Bytes,
}

/// A held function at its daemon.
#[derive(Clone)]
pub(super) struct Spot {
    pub trailhead: usize,
    pub function: FunctionKey,
    pub grant: GrantSerial,
}

/// Where an outcome goes back to.
#[derive(Clone, Copy)]
pub(super) enum Back {
    Caller,
    Hop { trailhead: usize, number: u64 },
}

/// What happens at a moment.
pub(super) enum Event {
    Begin(usize),
    TickTrailhead(usize),
    TickSurveyor(usize),
    Poll(usize),
    Core(usize, Bytes),
    Written(usize, Ticket),
    Dialed(usize),
    Up(usize, Bytes),
    Down(usize, Bytes),
    LinkLost { link: usize, at_surveyor: bool },
    Beat(usize, Rc<Beat>),
    Look { trailhead: usize, number: u64, wake: u64 },
    AcquireTimedOut(usize, u64),
    Hop { trailhead: usize, back: Back, frame: Bytes },
    HopDone { trailhead: usize, number: u64, frame: Bytes },
    Passed(usize, u64, PassEnd),
    Word(Spot, HolderWord),
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
