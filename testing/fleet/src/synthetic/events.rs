//! The events of a synthetic fleet, grouped by the layer that handles them.

use bytes::Bytes;
use common::frames::{Heartbeat, Instance};
use common::identity::{FencingToken, FunctionKey, RunnerId, Ticket};
use controlplane::controller_state::{Operation, OperationTicket};
use dataplane::agent::{ForwardResult, ReplicaRequestKind, RunnerAttempt};
use dataplane::holder::{HolderMessage, SendResult};
use std::rc::Rc;

/// A heartbeat in flight, with its encoded bytes.
pub(super) struct HeartbeatDatagram {
    pub heartbeat: Heartbeat,
    pub datagram: Bytes,
}

/// Identifies a held function and its daemon.
#[derive(Clone)]
pub(super) struct HolderKey {
    pub daemon: usize,
    pub function: FunctionKey,
    pub fencing_token: FencingToken,
}

/// Identifies a pending request and its daemon.
#[derive(Clone, Copy)]
pub(super) struct RequestKey {
    pub daemon: usize,
    pub number: u64,
}

/// The recipient of the outcome of a request.
#[derive(Clone, Copy)]
pub(super) enum ReplyTarget {
    Caller,
    /// The request in the daemon that forwarded this one.
    Peer(RequestKey),
}

/// An event at a virtual time.
pub(super) enum Event {
    /// An event at the controller with this number.
    Controller(usize, ControllerEvent),
    /// An event at the controller's end of the link with this number.
    ControllerLink(usize, ControllerLinkEvent),
    /// An operator sends a change of one function.
    Change,
    /// An event at the daemon with this number.
    Daemon(usize, DaemonEvent),
    /// An event at the daemon's end of the link with this number.
    DaemonLink(usize, DaemonLinkEvent),
    /// An event of a pending request in a daemon.
    Request(RequestKey, RequestEvent),
    /// An event at a held function.
    Holder(HolderKey, HolderEvent),
    /// An event of a request to a ledger replica.
    Replica(ReplicaRequestKey, ReplicaEvent),
    /// The next functions are called for the first time.
    FirstCalls,
    /// A caller calls a random function.
    Call,
    /// The measurement starts.
    OpenMeter,
}

/// An event at a controller.
pub(super) enum ControllerEvent {
    Tick,
    /// The platform's lists are due.
    Poll,
    Consensus(Bytes),
    Written(Ticket),
    RunnerStopped(RunnerId),
    Operate(OperationTicket, Box<Operation>),
}

/// An event at a controller's end of a link.
pub(super) enum ControllerLinkEvent {
    Frame(Bytes),
    Lost,
}

/// An event at a daemon.
pub(super) enum DaemonEvent {
    Start,
    Tick,
    Heartbeat(Rc<HeartbeatDatagram>),
    /// A request arrives from another daemon.
    PeerRequest {
        reply_target: ReplyTarget,
        frame: Bytes,
    },
}

/// An event at a daemon's end of a link.
pub(super) enum DaemonLinkEvent {
    Dialed,
    Frame(Bytes),
    Lost,
}

/// An event of a pending request in a daemon.
pub(super) enum RequestEvent {
    /// The request repeats its lookup, unless its timer generation is no longer this one.
    Lookup(u64),
    /// The wait for the leader's reply to an acquire times out.
    AcquireTimedOut,
    /// The reply of the daemon to which the request was forwarded arrives.
    ForwardReply(Bytes),
    /// Forwarding the request ends without a reply.
    Forwarded(ForwardResult),
}

/// An event at a held function.
pub(super) enum HolderEvent {
    /// A message from its state machine to its daemon.
    Message(HolderMessage),
    /// A runner has finished a run.
    RunFinished {
        ticket: Ticket,
        runner: RunnerId,
        runner_attempt: Box<RunnerAttempt>,
    },
    /// An input for its state machine.
    Input(HolderInput),
}

/// An input for a held function's state machine.
pub(super) enum HolderInput {
    Started(RunnerId, Instance),
    Stopped(RunnerId),
    Probed(RunnerId, bool),
    /// The runner's list of running requests, which is empty.
    NothingRunning(RunnerId),
    SendEnded(Ticket, SendResult),
}

/// Identifies a request of a lease holder to a ledger replica.
#[derive(Clone)]
pub(super) struct ReplicaRequestKey {
    pub holder: HolderKey,
    pub number: u64,
    pub request_kind: ReplicaRequestKind,
}

/// An event of a request to a ledger replica.
pub(super) enum ReplicaEvent {
    /// The request arrives at the replica in the daemon with this number.
    Requested { replica: usize, frame: Bytes },
    /// The reply arrives at the holder, or without a frame, the request times out.
    Replied(Option<Bytes>),
}
