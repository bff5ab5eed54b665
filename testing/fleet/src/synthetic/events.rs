//! The events of a synthetic fleet.

use bytes::Bytes;
use common::frames::{Heartbeat, Instance};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, RunnerId, Ticket};
use controlplane::controller_state::{Operation, OperationTicket};
use dataplane::agent::{ForwardResult, ReplicaRequestKind, RunnerAttempt};
use dataplane::holder::{HolderMessage, SendResult};
use std::rc::Rc;

/// A heartbeat in flight with its encoded bytes.
pub(super) struct HeartbeatDatagram {
    pub heartbeat: Heartbeat,
    pub datagram: Bytes,
}

/// A held function at its daemon.
#[derive(Clone)]
pub(super) struct HolderKey {
    pub daemon: usize,
    pub function: FunctionKey,
    pub fencing_token: FencingToken,
}

/// Where an outcome is returned to.
#[derive(Clone, Copy)]
pub(super) enum ReplyTarget {
    Caller,
    Hop { daemon: usize, number: u64 },
}

/// An event at a virtual time.
pub(super) enum Event {
    StartDaemon(usize),
    TickDaemon(usize),
    TickController(usize),
    Poll(usize),
    Consensus(usize, Bytes),
    Written(usize, Ticket),
    Dialed(usize),
    Up(usize, Bytes),
    FrameToDaemon(usize, Bytes),
    LinkLost {
        link: usize,
        at_controller: bool,
    },
    HeartbeatDatagram(usize, Rc<HeartbeatDatagram>),
    Lookup {
        daemon: usize,
        number: u64,
        wake: u64,
    },
    AcquireTimedOut(usize, u64),
    Hop {
        daemon: usize,
        reply_target: ReplyTarget,
        frame: Bytes,
    },
    HopDone {
        daemon: usize,
        number: u64,
        frame: Bytes,
    },
    Forwarded(usize, u64, ForwardResult),
    FromHolder(HolderKey, HolderMessage),
    Started(HolderKey, RunnerId, Instance),
    Stopped(HolderKey, RunnerId),
    LeaderStopped(usize, RunnerId),
    Probed(HolderKey, RunnerId, bool),
    Settled(HolderKey, RunnerId, Option<Vec<IdempotencyKey>>),
    RunDone {
        holder_key: HolderKey,
        ticket: Ticket,
        runner: RunnerId,
        call: Box<RunnerAttempt>,
    },
    SendEnded(HolderKey, Ticket, SendResult),
    ReplicaRequested {
        replica: usize,
        holder_key: HolderKey,
        number: u64,
        request_kind: ReplicaRequestKind,
        frame: Bytes,
    },
    ReplicaReplied {
        holder_key: HolderKey,
        number: u64,
        request_kind: ReplicaRequestKind,
        frame: Option<Bytes>,
    },
    Operate(usize, OperationTicket, Box<Operation>),
    Fill,
    Call,
    Change,
    OpenMeter,
}
