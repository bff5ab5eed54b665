//! The events of a simulated fleet, grouped by the component that handles them.

mod environment;
mod nodes;

pub(super) use environment::{CallerEvent, FaultEvent, OperatorEvent, PlatformEvent};
pub(super) use nodes::{ControllerEvent, DaemonEvent, HolderEvent, LinkEvent};

use super::network::Node;

/// The node whose process handles an event, and the incarnation that the process must have, if any.
pub(super) type EventTarget = (Node, Option<u64>);

/// An event of a simulated fleet.
pub(super) enum Event {
    /// A periodic tick of this incarnation of a process.
    Tick(Node, u64),
    Controller(ControllerEvent),
    Link(LinkEvent),
    Daemon(DaemonEvent),
    Holder(HolderEvent),
    Platform(PlatformEvent),
    Operator(OperatorEvent),
    Caller(CallerEvent),
    Fault(FaultEvent),
}

impl Event {
    /// Whether the event arrives on an operator's connection.
    pub(super) fn is_from_operator(&self) -> bool {
        matches!(self, Self::Controller(event) if event.is_from_operator())
    }

    /// Returns the number of the event's kind for the digest. It must not change when the kind is renamed.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Tick(..) => 1,
            Self::Controller(event) => event.kind_number(),
            Self::Link(event) => event.kind_number(),
            Self::Daemon(event) => event.kind_number(),
            Self::Holder(event) => event.kind_number(),
            Self::Platform(event) => event.kind_number(),
            Self::Operator(event) => event.kind_number(),
            Self::Caller(event) => event.kind_number(),
            Self::Fault(event) => event.kind_number(),
        }
    }

    /// Returns the process that handles the event, which is deferred while the node is frozen; none for events on
    /// links or outside of all processes.
    pub(super) fn target(&self) -> Option<EventTarget> {
        match self {
            Self::Tick(node, incarnation) => Some((*node, Some(*incarnation))),
            Self::Controller(event) => event.target(),
            Self::Daemon(event) => Some(event.target()),
            Self::Holder(event) => Some(event.target()),
            Self::Link(_)
            | Self::Platform(_)
            | Self::Operator(_)
            | Self::Caller(_)
            | Self::Fault(_) => None,
        }
    }
}

impl From<ControllerEvent> for Event {
    fn from(event: ControllerEvent) -> Self {
        Self::Controller(event)
    }
}

impl From<LinkEvent> for Event {
    fn from(event: LinkEvent) -> Self {
        Self::Link(event)
    }
}

impl From<DaemonEvent> for Event {
    fn from(event: DaemonEvent) -> Self {
        Self::Daemon(event)
    }
}

impl From<HolderEvent> for Event {
    fn from(event: HolderEvent) -> Self {
        Self::Holder(event)
    }
}

impl From<PlatformEvent> for Event {
    fn from(event: PlatformEvent) -> Self {
        Self::Platform(event)
    }
}

impl From<OperatorEvent> for Event {
    fn from(event: OperatorEvent) -> Self {
        Self::Operator(event)
    }
}

impl From<CallerEvent> for Event {
    fn from(event: CallerEvent) -> Self {
        Self::Caller(event)
    }
}

impl From<FaultEvent> for Event {
    fn from(event: FaultEvent) -> Self {
        Self::Fault(event)
    }
}
